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

namespace flamingoseam {

namespace {

constexpr milliseconds follow_interval{100};
constexpr std::size_t follower_count = 2; ///< One goes on while the other waits for a silent one.
constexpr milliseconds follow_timeout{500};
constexpr milliseconds job_timeout{5000};
constexpr milliseconds drain_poll{100};

const prometheus::Histogram::BucketBoundaries latency_bounds_seconds = {
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10, 60};

std::string name_after(const std::string& path, const std::string& prefix)
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
    for (const auto* what : {"not_run", "ran", "may_have_run"}) {
        outcomes_[what] = &outcomes.Add({{"verdict", what}});
    }
    latency_ = &prometheus::BuildHistogram()
                    .Name("flamingoseam_entry_seconds")
                    .Help("Time from a request's arrival to its answer")
                    .Register(*registry_)
                    .Add({}, latency_bounds_seconds);
    for (std::size_t i = 0; i < follower_count; ++i) {
        const auto first = i * settings_.schedulers.size() / follower_count;
        followers_.emplace_back([this, first] { follow(first); });
    }
    server_ = std::make_unique<http_server>(
        http_server_options{.address = settings_.address,
                            .port = settings_.port,
                            .max_threads = settings_.max_open_calls,
                            .max_body_bytes = settings_.max_body_bytes,
                            .read_timeout = settings_.sender_timeout},
        [this](const http_request& request) { return handle(request); });
    LOG(INFO) << "entry listens on " << settings_.address << ":" << settings_.port;
}

entry::~entry()
{
    stopping_ = true;
    for (auto& follower : followers_) {
        follower.join();
    }
    server_.reset();
}

void entry::shut_down()
{
    std::unique_lock lock(mutex_);
    draining_ = true;
    server_->close_after_answers();
    LOG(INFO) << "draining " << open_ << " open calls";
    const bool idle = idle_.wait_for(lock, settings_.drain_timeout, [this] { return open_ == 0; });
    lock.unlock();
    std::this_thread::sleep_for(drain_poll);
    LOG(INFO) << (idle ? "every call was answered" : "calls were still open at the drain timeout");
}

void entry::follow(std::size_t first)
{
    const auto& schedulers = settings_.schedulers;
    for (auto next = first; !stopping_; ++next) {
        follow_once(schedulers[next % schedulers.size()]);
        std::this_thread::sleep_for(follow_interval);
    }
}

void entry::follow_once(const endpoint& scheduler)
{
    try {
        const auto theirs = client_.exchange(
            scheduler, {.revision = map_.revision(), .contracts = {}, .shards = {}},
            follow_timeout);
        map_.apply(theirs);
        if (theirs.revision < map_.revision()) {
            client_.exchange(scheduler, map_.newer_than(theirs.revision), follow_timeout);
        }
    } catch (const error&) {
        LOG_EVERY_N(WARNING, 100) << "scheduler " << to_string(scheduler) << " does not answer";
    }
}

bool entry::begin()
{
    const std::lock_guard lock(mutex_);
    if (draining_) {
        return false;
    }
    ++open_;
    return true;
}

void entry::end()
{
    const std::lock_guard lock(mutex_);
    --open_;
    idle_.notify_all();
}

http_response entry::refuse(const std::string& reason, const std::string& detail)
{
    const outcome result{.kind = verdict::not_run, .reason = reason, .detail = detail};
    outcomes_.at("not_run")->Increment();
    return {.status = status_of(result),
            .body = to_json(caller_answer{.request_id = {}, .result = result})};
}

http_response entry::answer(const std::string& request_id, const outcome& result, span& hop)
{
    hop.set("verdict", std::string(to_string(result.kind)));
    hop.set("reason", result.reason);
    outcomes_.at(std::string(to_string(result.kind)))->Increment();
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
        return refuse("unknown_key", "the Authorization header carries no customer's key");
    }
    if (!begin()) {
        return refuse("draining", "this entry is shutting down; another one will serve you");
    }
    const auto began = now();
    span hop(spans_, "entry " + request.method + " " + request.path, request.traceparent);
    hop.set("customer", terms->customer);
    http_response response;
    try {
        response = dispatch(request, *terms, hop);
    } catch (const parse_error& cause) {
        response = refuse("bad_request", cause.what());
    } catch (const std::exception& cause) {
        LOG(ERROR) << "request failed: " << cause.what();
        response = answer(
            "", {.kind = verdict::may_have_run, .reason = "internal_error", .detail = cause.what()},
            hop);
    }
    latency_->Observe(std::chrono::duration<double>(now() - began).count());
    end();
    return response;
}

http_response entry::dispatch(const http_request& request, const contract& terms, span& hop)
{
    const bool is_call = request.path == "/v1/calls";
    if (is_call || request.path == "/v1/jobs") {
        if (request.method != "POST") {
            return refuse("bad_method", request.path + " takes POST, not " + request.method);
        }
        return submit(request, terms, !is_call, hop);
    }
    const auto job = name_after(request.path, "/v1/jobs/");
    const auto call = name_after(request.path, "/v1/calls/");
    const auto& id = job.empty() ? call : job;
    if (id.empty()) {
        return refuse("unknown_path", request.path + " is not known");
    }
    if (request.method == "DELETE") {
        return answer(id, router_.cancel(terms, id, now() + job_timeout), hop);
    }
    if (request.method != "GET") {
        return refuse("bad_method", request.path + " takes GET or DELETE, not " + request.method);
    }
    const auto found = router_.find_job(terms, id, now() + job_timeout);
    if (!found) {
        return {.status = 404,
                .body = to_json(caller_answer{
                    .request_id = id,
                    .result = {.kind = verdict::may_have_run,
                               .reason = "unknown_request",
                               .detail = "no shard that could be reached knows the request"}})};
    }
    return {.body = *found};
}

http_response entry::submit(const http_request& request, const contract& terms, bool is_job,
                            span& hop)
{
    auto work = read_caller_request(request.body, is_job);
    if (work.request_id.empty()) {
        work.request_id = entry_id_prefix + make_request_id(wall_now());
    }
    work.traceparent = hop.header();
    const auto limit = is_job ? job_timeout : settings_.call_timeout;
    hop.set("request_id", work.request_id);
    const log_scope scope({.request_id = work.request_id, .customer = terms.customer});
    const auto result = router_.submit(work, terms, now() + limit);
    return answer(work.request_id, result, hop);
}

} // namespace flamingoseam
