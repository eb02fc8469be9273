#include "flamingoseam/worker/worker_link.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"

#include <utility>

namespace flamingoseam {

namespace {

constexpr milliseconds command_timeout{1000};
constexpr milliseconds retry_pause{50};
constexpr milliseconds stale_pause{500};

/// A worker's clock may run this much slower than ours.
milliseconds with_drift(milliseconds lease)
{
    return lease + lease / 4;
}

} // namespace

http_worker_link::http_worker_link(const worker_link_options& options, worker_listener& listener)
    : options_(options), listener_(listener), command_client_(options.worker),
      event_client_(options.worker), last_contact_(now())
{
    command_thread_ = std::thread([this] { run_commands(); });
    event_thread_ = std::thread([this] { run_events(); });
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
    command_thread_.join();
    event_thread_.join();
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

void http_worker_link::need_report()
{
    const std::lock_guard lock(mutex_);
    needs_report_ = true;
    accepts_starts_ = false;
    changed_.notify_all();
}

void http_worker_link::control(const task_stop& stop)
{
    const std::lock_guard lock(mutex_);
    pending_.stops.push_back(stop);
    changed_.notify_all();
}

void http_worker_link::pause(milliseconds length)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, length, [this] { return stopping_.load(); });
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

void http_worker_link::note_contact(std::uint64_t contact)
{
    const std::lock_guard lock(mutex_);
    last_contact_ = now();
    answered_ = std::max(answered_, contact);
}

void http_worker_link::check_lost()
{
    {
        const std::lock_guard lock(mutex_);
        if (!fenced_ || lost_ || now() - last_contact_ < with_drift(options_.lease)) {
            return;
        }
        lost_ = true;
        needs_report_ = true;
        accepts_starts_ = false;
    }
    refuse_unsent();
    listener_.on_lost(to_string(options_.worker));
}

void http_worker_link::refuse_unsent()
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

command_answer http_worker_link::call(const worker_command& command)
{
    const auto answer = command_client_.call({.method = "POST",
                                              .path = "/v1/command",
                                              .body = to_json(command),
                                              .timeout = command_timeout});
    if (answer.status != 200) {
        throw transport_error(305, "worker answered " + std::to_string(answer.status), true);
    }
    auto result = from_json<command_answer>(answer.body);
    if (result.accepted) {
        note_contact(result.contact);
    }
    return result;
}

void http_worker_link::run_commands()
{
    while (!stopping_) {
        if (needs_report_) {
            if (!send_report()) {
                check_lost();
                pause(retry_pause);
            }
            continue;
        }
        worker_command command;
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] {
                return stopping_ || needs_report_ || !pending_.starts.empty() ||
                       !pending_.stops.empty();
            });
            if (stopping_ || needs_report_) {
                continue;
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
}

bool http_worker_link::send_report()
{
    refuse_unsent();
    auto command = make_command();
    command.report = true;
    {
        const std::lock_guard lock(mutex_);
        command.session = ++session_;
    }
    command.lease = options_.lease;
    command.answered = answered_;
    command_answer answer;
    try {
        answer = call(command);
    } catch (const error&) {
        return false;
    }
    if (!answer.accepted && answer.reason != "stale_epoch") {
        return false;
    }
    if (!answer.accepted) {
        listener_.on_stale(to_string(options_.worker), answer.epoch);
        pause(stale_pause);
        return false;
    }
    {
        const std::lock_guard lock(mutex_);
        answered_ = answer.contact;
        incarnation_ = answer.incarnation;
        last_event_ = answer.last_event;
        needs_report_ = false;
        lost_ = false;
        fenced_ = true;
    }
    listener_.on_report(to_string(options_.worker), answer);
    changed_.notify_all();
    return true;
}

void http_worker_link::send_batch(worker_command command)
{
    while (!stopping_) {
        command.lease = options_.lease;
        command.answered = answered_;
        try {
            const auto answer = call(command);
            if (answer.accepted) {
                take_results(answer);
            } else {
                take_refusal(answer);
            }
            return;
        } catch (const error&) {
            check_lost();
            if (lost_) {
                return;
            }
            pause(retry_pause);
        }
    }
}

void http_worker_link::take_results(const command_answer& answer)
{
    bool refused = false;
    for (const auto& result : answer.results) {
        refused |= !result.started;
        if (result.started) {
            listener_.on_start_result(to_string(options_.worker), result);
        }
    }
    if (refused) {
        need_report();
    }
}

void http_worker_link::take_refusal(const command_answer& answer)
{
    need_report();
    if (answer.reason == "stale_epoch") {
        listener_.on_stale(to_string(options_.worker), answer.epoch);
    }
}

void http_worker_link::run_events()
{
    while (!stopping_) {
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
                          "&session=" + std::to_string(session) +
                          "&after=" + std::to_string(after) +
                          "&wait_ms=" + std::to_string(options_.poll_wait.count()) +
                          "&lease_ms=" + std::to_string(options_.lease.count()) +
                          "&answered=" + std::to_string(answered);
        event_batch batch;
        try {
            const auto answer = event_client_.call(
                {.path = path, .timeout = options_.poll_wait + options_.answer_timeout});
            batch = from_json<event_batch>(answer.body);
        } catch (const error&) {
            check_lost();
            pause(retry_pause);
            continue;
        }
        {
            const std::lock_guard lock(mutex_);
            if (session != session_) {
                continue;
            }
        }
        if (!batch.accepted || batch.incarnation != incarnation) {
            need_report();
            continue;
        }
        note_contact(batch.contact);
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
}

} // namespace flamingoseam
