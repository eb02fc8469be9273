#include "scenarios/load.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/entry/caller_messages.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/job/request_id.hpp"

#include <iomanip>
#include <sstream>

namespace flamingoseam::scenario {

namespace {

std::string job_id(std::int64_t number)
{
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << number;
    return text.str();
}

} // namespace

load::load(load_options options) : options_(std::move(options)), next_job_(options_.first_job)
{
    for (int i = 0; i < options_.connections; ++i) {
        threads_.emplace_back([this, i] { run(static_cast<std::size_t>(i)); });
    }
}

load::~load()
{
    stopping_ = true;
    for (auto& thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

std::vector<load_result> load::finish()
{
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
    return results_;
}

std::string load::body_with(const std::string& request_id, bool first_attempt) const
{
    if (!options_.client_ids) {
        return options_.body;
    }
    return R"({"request_id":")" + request_id + R"(","first_attempt":)" +
           (first_attempt ? "true," : "false,") + options_.body.substr(1);
}

void load::run(std::size_t connection)
{
    http_client client(options_.entries.at(connection % options_.entries.size()));
    while (!stopping_) {
        if (options_.count > 0 && sent_++ >= options_.count) {
            return;
        }
        auto result = send(connection, client);
        {
            const std::lock_guard lock(mutex_);
            results_.push_back(std::move(result));
        }
        std::this_thread::sleep_for(options_.interval);
    }
}

load_result load::send(std::size_t connection, http_client& client)
{
    load_result result;
    const auto id = options_.client_ids ? make_request_id(wall_now()) : std::string();
    const auto started = now();
    result.request_id = id;
    result.began_ms = wall_now().count();
    http_call call{.method = "POST",
                   .path = options_.path,
                   .body = {},
                   .authorization = "Bearer " + options_.key,
                   .timeout = options_.timeout};
    if (options_.first_job != 0) {
        result.request_id = job_id(next_job_++);
        call.path += result.request_id;
    }
    const int max_attempts = options_.client_ids ? 2 : 1;
    for (int attempt = 0; attempt < max_attempts && result.status == 0; ++attempt) {
        call.body = body_with(id, attempt == 0);
        try {
            const auto next_entry = options_.entries.at((connection + 1) % options_.entries.size());
            http_client second_client(next_entry);
            const auto answer = attempt == 0 ? client.call(call) : second_client.call(call);
            result.status = answer.status;
            if (options_.first_job != 0) {
                return result;
            }
            const auto message = from_json<caller_answer>(answer.body);
            result.request_id = message.request_id;
            result.verdict = to_string(message.result.kind);
            result.reason = message.result.reason;
            result.output = message.result.output;
        } catch (const error& cause) {
            result.reason = cause.what();
        }
    }
    result.wait_ms = std::chrono::duration_cast<milliseconds>(now() - started).count();
    return result;
}

} // namespace flamingoseam::scenario
