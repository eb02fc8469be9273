#include "flamingoseam/worker/worker_link.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"

#include <utility>

namespace flamingoseam {

namespace {

constexpr milliseconds command_timeout{1000};
constexpr milliseconds retry_delay{50};
constexpr milliseconds stale_epoch_delay{500};

/// Returns the lease plus a quarter, because a worker's clock may run that much slower than the
/// local clock.
milliseconds with_clock_drift(milliseconds lease)
{
    return lease + lease / 4;
}

} // namespace

http_worker_link::http_worker_link(const worker_link_options& options, worker_listener& listener)
    : options_(options), listener_(listener), command_client_(options.worker),
      event_client_(options.worker), last_contact_(now())
{
    command_thread_ = service_thread("commands", [this] { run_commands(); });
    try {
        event_thread_ = service_thread("worker events", [this] { run_events(); });
    } catch (...) {
        request_stop();
        throw;
    }
}

void http_worker_link::request_stop()
{
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
}

http_worker_link::~http_worker_link()
{
    request_stop();
}

void http_worker_link::start(const task_start& task)
{
    {
        const std::lock_guard lock(mutex_);
        if (accepts_starts_) {
            pending_.starts.push_back(task);
            changed_.notify_all();
            return;
        }
    }
    refuse(task, "unreachable");
}

void http_worker_link::resume()
{
    const std::lock_guard lock(mutex_);
    accepts_starts_ = !needs_report_;
}

void http_worker_link::refuse(const task_start& task, const std::string& reason)
{
    listener_.on_start_result(to_string(options_.worker),
                              {.task_id = task.task_id, .started = false, .reason = reason});
}

void http_worker_link::require_report()
{
    const std::lock_guard lock(mutex_);
    needs_report_ = true;
    accepts_starts_ = false;
    changed_.notify_all();
}

void http_worker_link::control(const task_control_request& request)
{
    const std::lock_guard lock(mutex_);
    pending_.stops.push_back(request);
    changed_.notify_all();
}

void http_worker_link::pause(milliseconds duration)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, duration, [this] { return stopping_.load(); });
}

worker_command http_worker_link::make_command() const
{
    return {.shard = options_.shard,
            .owner = options_.owner,
            .epoch = options_.epoch,
            .incarnation = {},
            .lease = {},
            .starts = {},
            .stops = {}};
}

void http_worker_link::record_contact(std::uint64_t contact)
{
    const std::lock_guard lock(mutex_);
    last_contact_ = now();
    answered_ = std::max(answered_, contact);
}

void http_worker_link::check_lost()
{
    {
        const std::lock_guard lock(mutex_);
        if (!fenced_ || lost_ || now() - last_contact_ < with_clock_drift(options_.lease)) {
            return;
        }
        lost_ = true;
        needs_report_ = true;
        accepts_starts_ = false;
    }
    try {
        refuse_unsent_starts();
        listener_.on_lost(to_string(options_.worker));
    } catch (...) {
        const std::lock_guard lock(mutex_);
        lost_ = false; // It is reported again.
        throw;
    }
}

void http_worker_link::refuse_unsent_starts()
{
    worker_command unsent;
    {
        const std::lock_guard lock(mutex_);
        unsent = std::exchange(pending_, {});
    }
    for (const auto& task : unsent.starts) {
        refuse(task, "unreachable");
    }
}

command_response http_worker_link::call(const worker_command& command)
{
    const auto response = command_client_.call({.method = "POST",
                                                .path = "/v1/command",
                                                .body = to_json(command),
                                                .timeout = command_timeout});
    if (response.status != 200) {
        throw transport_error(305, "worker returned HTTP status " + std::to_string(response.status),
                              true);
    }
    auto result = from_json<command_response>(response.body);
    if (result.accepted) {
        record_contact(result.contact);
    }
    return result;
}

/// Continues after an exception that is no error of a call. Commands in flight may have reached the
/// worker, and events may not have reached the listener, so a report is needed.
void http_worker_link::recover()
{
    require_report();
    run_guarded("the check of a worker's lease", [this] { check_lost(); });
    pause(retry_delay);
}

void http_worker_link::run_commands()
{
    while (!stopping_) {
        if (!run_guarded("the commands to a worker", [this] { send_commands(); })) {
            recover();
        }
    }
}

/// Waits for commands and sends them, or asks for a report if one is needed.
void http_worker_link::send_commands()
{
    if (needs_report_) {
        if (!send_report()) {
            check_lost();
            pause(retry_delay);
        }
        return;
    }
    worker_command command;
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] {
            return stopping_ || needs_report_ || !pending_.starts.empty() ||
                   !pending_.stops.empty();
        });
        if (stopping_ || needs_report_) {
            return;
        }
        command = make_command();
        command.incarnation = incarnation_;
        command.session = session_;
        command.starts = std::move(pending_.starts);
        command.stops = std::move(pending_.stops);
        pending_ = {};
    }
    send_batch(std::move(command));
}

bool http_worker_link::send_report()
{
    refuse_unsent_starts();
    auto command = make_command();
    command.report = true;
    {
        const std::lock_guard lock(mutex_);
        command.session = ++session_;
    }
    command.lease = options_.lease;
    command.answered = answered_;
    command_response response;
    try {
        response = call(command);
    } catch (const error&) {
        return false;
    }
    if (!response.accepted && response.reason != "stale_epoch") {
        return false;
    }
    if (!response.accepted) {
        listener_.on_stale_epoch(to_string(options_.worker), response.epoch);
        pause(stale_epoch_delay);
        return false;
    }
    {
        const std::lock_guard lock(mutex_);
        answered_ = response.contact;
        incarnation_ = response.incarnation;
        last_event_ = response.last_event;
        needs_report_ = false;
        lost_ = false;
        fenced_ = true;
    }
    listener_.on_report(to_string(options_.worker), response);
    changed_.notify_all();
    return true;
}

void http_worker_link::send_batch(worker_command command)
{
    while (!stopping_) {
        command.lease = options_.lease;
        command.answered = answered_;
        try {
            const auto response = call(command);
            if (response.accepted) {
                handle_results(response);
            } else {
                handle_refusal(response);
            }
            return;
        } catch (const error&) {
            check_lost();
            if (lost_) {
                return;
            }
            pause(retry_delay);
        }
    }
}

void http_worker_link::handle_results(const command_response& response)
{
    bool refused = false;
    for (const auto& result : response.results) {
        refused |= !result.started;
        if (result.started) {
            listener_.on_start_result(to_string(options_.worker), result);
        }
    }
    if (refused) {
        require_report();
    }
}

void http_worker_link::handle_refusal(const command_response& response)
{
    require_report();
    if (response.reason == "stale_epoch") {
        listener_.on_stale_epoch(to_string(options_.worker), response.epoch);
    }
}

void http_worker_link::run_events()
{
    while (!stopping_) {
        if (!run_guarded("the events of a worker", [this] { receive_events(); })) {
            recover();
        }
    }
}

/// Waits for events and passes them to the listener.
void http_worker_link::receive_events()
{
    std::uint64_t after = 0;
    std::string incarnation;
    std::uint64_t session = 0;
    std::uint64_t answered = 0;
    {
        std::unique_lock lock(mutex_);
        changed_.wait(lock, [this] { return stopping_ || !needs_report_; });
        if (stopping_) {
            return;
        }
        after = last_event_;
        incarnation = incarnation_;
        session = session_;
        answered = answered_;
    }
    const auto path = "/v1/events?epoch=" + std::to_string(options_.epoch) +
                      "&session=" + std::to_string(session) + "&after=" + std::to_string(after) +
                      "&wait_ms=" + std::to_string(options_.poll_wait.count()) +
                      "&lease_ms=" + std::to_string(options_.lease.count()) +
                      "&answered=" + std::to_string(answered);
    event_batch batch;
    try {
        const auto response = event_client_.call(
            {.path = path, .timeout = options_.poll_wait + options_.response_timeout});
        batch = from_json<event_batch>(response.body);
    } catch (const error&) {
        check_lost();
        pause(retry_delay);
        return;
    }
    {
        const std::lock_guard lock(mutex_);
        if (session != session_) {
            return;
        }
    }
    if (!batch.accepted || batch.incarnation != incarnation) {
        require_report();
        return;
    }
    record_contact(batch.contact);
    for (const auto& event : batch.events) {
        listener_.on_event(to_string(options_.worker), event);
    }
    if (!batch.events.empty()) {
        const std::lock_guard lock(mutex_);
        if (!needs_report_ && incarnation_ == batch.incarnation) {
            last_event_ = std::max(last_event_, batch.events.back().sequence);
        }
    }
}

} // namespace flamingoseam
