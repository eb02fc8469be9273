#include "flamingoseam/entry/entry.hpp"

#include "flamingoseam/contract/key.hpp"
#include "flamingoseam/core/error.hpp"
#include "flamingoseam/entry/caller_messages.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/job/request_id.hpp"
#include "flamingoseam/log/log.hpp"

#include <glog/logging.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

#include <thread>

namespace flamingoseam {

namespace {

constexpr milliseconds poll_interval{100};
constexpr std::size_t poll_thread_count = 2; ///< While one waits for an unreachable
///< scheduler, the other one continues.
constexpr milliseconds poll_timeout{500};
constexpr milliseconds job_timeout{5000};
constexpr milliseconds response_write_delay{100}; ///< For responses that are still being written.

const prometheus::Histogram::BucketBoundaries latency_buckets_seconds = {
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10, 60};

std::string path_suffix(const std::string& path, const std::string& prefix)
{
    return path.starts_with(prefix) ? path.substr(prefix.size()) : std::string();
}

} // namespace

entry::entry(entry_settings settings)
    : settings_(std::move(settings)), spans_(settings_.span_file), router_(map_, client_),
      registry_(std::make_shared<prometheus::Registry>())
{
    auto& outcomes = prometheus::BuildCounter()
                         .Name("flamingoseam_entry_answers_total")
                         .Help("Answers to callers, by verdict")
                         .Register(*registry_);
    for (const auto* verdict_name : {"not_run", "ran", "may_have_run"}) {
        outcome_counters_[verdict_name] = &outcomes.Add({{"verdict", verdict_name}});
    }
    latency_ = &prometheus::BuildHistogram()
                    .Name("flamingoseam_entry_seconds")
                    .Help("Time from a request's arrival to its answer")
                    .Register(*registry_)
                    .Add({}, latency_buckets_seconds);
    try {
        start_polling();
        start_server();
    } catch (...) {
        stopping_ = true; // Ends the threads that have been started.
        throw;
    }
    LOG(INFO) << "entry listens on " << settings_.address << ":" << settings_.port;
}

void entry::start_server()
{
    server_ = std::make_unique<http_server>(
        http_server_options{.address = settings_.address,
                            .port = settings_.port,
                            .max_threads = settings_.max_open_calls,
                            .max_body_bytes = settings_.max_body_bytes,
                            .read_timeout = settings_.sender_timeout},
        [this](const http_request& request) { return handle(request); });
}

entry::~entry()
{
    stopping_ = true;
    poll_threads_.clear();
    server_.reset();
}

void entry::start_polling()
{
    for (std::size_t i = 0; i < poll_thread_count; ++i) {
        const auto first_index = i * settings_.schedulers.size() / poll_thread_count;
        poll_threads_.emplace_back("polls", [this, first_index] { poll_schedulers(first_index); });
    }
}

void entry::shut_down()
{
    std::unique_lock lock(mutex_);
    draining_ = true;
    server_->close_after_answers();
    LOG(INFO) << "draining " << open_requests_ << " open calls";
    const bool idle =
        idle_.wait_for(lock, settings_.drain_timeout, [this] { return open_requests_ == 0; });
    lock.unlock();
    std::this_thread::sleep_for(response_write_delay);
    LOG(INFO) << (idle ? "all calls were answered" : "calls were still open at the drain timeout");
}

void entry::poll_schedulers(std::size_t first_index)
{
    const auto& schedulers = settings_.schedulers;
    for (auto next = first_index; !stopping_; ++next) {
        run_guarded("a poll of a scheduler",
                    [&] { poll_scheduler(schedulers[next % schedulers.size()]); });
        std::this_thread::sleep_for(poll_interval);
    }
}

void entry::poll_scheduler(const endpoint& scheduler)
{
    try {
        const auto response = client_.exchange(
            scheduler, {.revision = map_.revision(), .contracts = {}, .shards = {}}, poll_timeout);
        map_.apply(response);
        if (response.revision < map_.revision()) {
            client_.exchange(scheduler, map_.contracts_since(response.revision), poll_timeout);
        }
    } catch (const error&) {
        LOG_EVERY_N(WARNING, 100) << "scheduler " << to_string(scheduler) << " is unreachable";
    }
}

bool entry::begin_request()
{
    const std::lock_guard lock(mutex_);
    if (draining_) {
        return false;
    }
    ++open_requests_;
    return true;
}

void entry::end_request()
{
    const std::lock_guard lock(mutex_);
    --open_requests_;
    idle_.notify_all();
}

http_response entry::refuse(const std::string& reason, const std::string& detail)
{
    const outcome result{.kind = verdict::not_run, .reason = reason, .detail = detail};
    outcome_counters_.at("not_run")->Increment();
    return {.status = status_of(result),
            .body = to_json(caller_answer{.request_id = {}, .result = result})};
}

http_response entry::answer(const std::string& request_id, const outcome& result,
                            span& request_span)
{
    request_span.set("verdict", std::string(to_string(result.kind)));
    request_span.set("reason", result.reason);
    outcome_counters_.at(std::string(to_string(result.kind)))->Increment();
    return {.status = status_of(result),
            .body = to_json(caller_answer{.request_id = request_id, .result = result})};
}

http_response entry::handle(const http_request& request)
{
    if (request.path == "/metrics") {
        return {.body = prometheus::TextSerializer().Serialize(registry_->Collect()),
                .content_type = "text/plain; version=0.0.4"};
    }
    if (request.path == "/healthz") {
        const std::lock_guard lock(mutex_);
        return {.status = draining_ ? 503 : 200, .body = "{}"};
    }
    if (request.body_too_large) {
        return refuse("body_too_large", "a body may have at most " +
                                            std::to_string(settings_.max_body_bytes) + " bytes");
    }
    const auto terms = map_.contract_for_key(bearer_key(request.authorization));
    if (!terms) {
        return refuse("unknown_key", "the Authorization header contains no key of a customer");
    }
    if (!begin_request()) {
        return refuse("draining", "this entry is shutting down; retry at another one");
    }
    const auto start_time = now();
    span request_span(spans_, "entry " + request.method + " " + request.path, request.traceparent);
    request_span.set("customer", terms->customer);
    http_response response;
    try {
        response = dispatch(request, *terms, request_span);
    } catch (...) {
        const auto cause = describe_current_exception();
        LOG(ERROR) << "request failed: " << cause;
        response =
            answer("", {.kind = verdict::may_have_run, .reason = "internal_error", .detail = cause},
                   request_span);
    }
    latency_->Observe(std::chrono::duration<double>(now() - start_time).count());
    end_request();
    return response;
}

http_response entry::dispatch(const http_request& request, const contract& terms,
                              span& request_span)
{
    const bool is_call = request.path == "/v1/calls";
    if (is_call || request.path == "/v1/jobs") {
        if (request.method != "POST") {
            return refuse("bad_method", request.path + " supports POST, not " + request.method);
        }
        return submit(request, terms, !is_call, request_span);
    }
    const auto job = path_suffix(request.path, "/v1/jobs/");
    const auto call = path_suffix(request.path, "/v1/calls/");
    const auto& id = job.empty() ? call : job;
    if (id.empty()) {
        return refuse("unknown_path", request.path + " is not a known path");
    }
    if (request.method == "DELETE") {
        return answer(id, router_.cancel(terms, id, now() + job_timeout), request_span);
    }
    if (request.method != "GET") {
        return refuse("bad_method",
                      request.path + " supports GET or DELETE, not " + request.method);
    }
    const auto found = router_.find_job(terms, id, now() + job_timeout);
    if (!found) {
        return {.status = 404,
                .body = to_json(caller_answer{
                    .request_id = id,
                    .result = {.kind = verdict::may_have_run,
                               .reason = "unknown_request",
                               .detail = "no reachable shard has a record of the request"}})};
    }
    return {.body = *found};
}

http_response entry::submit(const http_request& request, const contract& terms, bool is_job,
                            span& request_span)
{
    work_request work;
    try {
        work = read_caller_request(request.body, is_job);
    } catch (const parse_error& cause) {
        return refuse("bad_request", cause.what());
    }
    if (work.request_id.empty()) {
        work.request_id = entry_id_prefix + make_request_id(wall_now());
    }
    work.traceparent = request_span.header();
    const auto limit = is_job ? job_timeout : settings_.call_timeout;
    request_span.set("request_id", work.request_id);
    const log_scope scope({.request_id = work.request_id, .customer = terms.customer});
    const auto result = router_.submit(work, terms, now() + limit);
    return answer(work.request_id, result, request_span);
}

} // namespace flamingoseam
