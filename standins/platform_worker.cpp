#include "standins/platform_worker.hpp"

#include "standins/platform_ticket.hpp"

#include <algorithm>
#include <utility>

namespace flamingoseam::standin {

namespace {

using nlohmann::json;

constexpr milliseconds advance_interval{10}; ///< A worker checks for ended runs this often.
constexpr milliseconds default_run_time{200};
constexpr std::int64_t max_lease_ms = 6'000;

/// Returns the number after `name` in a payload, or `fallback` if it is absent.
int number_in(const std::string& payload, const std::string& name, int fallback)
{
    const auto found = payload.find(name);
    return found == std::string::npos ? fallback : std::stoi(payload.substr(found + name.size()));
}

milliseconds run_time_of(const std::string& payload)
{
    return milliseconds(number_in(payload, "ms=", static_cast<int>(default_run_time.count())));
}

/// Checks whether a run is among the share of runs that fail.
bool fails(const std::string& payload, const std::string& task, std::int64_t number)
{
    const auto percent = static_cast<unsigned>(number_in(payload, "fail=", 0));
    return is_refused(task, std::to_string(number), percent);
}

} // namespace

void run_ledger::on_begin(const run_id& run, const run_order& /*order*/)
{
    const std::lock_guard lock(mutex_);
    ++starts_;
    concurrent_starts_ += running_[run.task]++ > 0 ? 1 : 0;
    repeated_starts_ += done_.contains(run.task) ? 1 : 0;
}

void run_ledger::on_end(std::int64_t /*number*/, const run_id& run, const std::string& how)
{
    const std::lock_guard lock(mutex_);
    --running_[run.task];
    if (how == "done") {
        ++done_[run.task];
    }
}

void run_ledger::on_late_start()
{
    const std::lock_guard lock(mutex_);
    ++late_starts_;
}

json run_ledger::to_json() const
{
    const std::lock_guard lock(mutex_);
    return {{"starts", starts_},
            {"done", done_.size()},
            {"doubled", concurrent_starts_},
            {"started_again", repeated_starts_},
            {"late_on_leaving", late_starts_}};
}

platform_worker::platform_worker(std::string id, milliseconds notice, run_observer& observer,
                                 std::optional<milliseconds> ticket_validity)
    : id_(std::move(id)), notice_(notice), observer_(observer), ticket_validity_(ticket_validity)
{
    thread_ = std::thread([this] {
        std::unique_lock lock(mutex_);
        while (!stopping_) {
            advance();
            changed_.wait_for(lock, advance_interval);
        }
    });
}

platform_worker::~platform_worker()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

void platform_worker::begin_leaving()
{
    const std::lock_guard lock(mutex_);
    leaving_since_ = now();
}

std::int64_t platform_worker::clock_ms() const
{
    return std::chrono::duration_cast<milliseconds>(now() - start_time_).count() + 1;
}

http_response platform_worker::handle(const http_request& request)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (body.is_discarded()) {
        return {.status = 400, .body = "{}"};
    }
    const auto expected = request.headers.find("X-Expect-Instance");
    if (expected != request.headers.end() && !expected->second.empty() && expected->second != id_) {
        return {.status = 421, .body = "{}"};
    }
    std::unique_lock lock(mutex_);
    advance();
    if (!accepts(body)) {
        return refuse("fence");
    }
    if (request.path == "/api/run-start") {
        return start(body);
    }
    if (request.path == "/api/run-stop") {
        return stop(body);
    }
    if (request.path == "/api/hold") {
        return hold(lock, body);
    }
    return {.status = 404, .body = "{}"};
}

bool platform_worker::accepts(const json& body)
{
    const auto token = body.value("fencingToken", std::int64_t{0});
    if (token < token_) {
        return false;
    }
    token_ = token;
    return true;
}

http_response platform_worker::refuse(const char* reason) const
{
    return {.status = 409, .body = json{{"clockMs", clock_ms()}, {"reason", reason}}.dump()};
}

http_response platform_worker::start(const json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::int64_t>();
    const auto lease_until = body.at("deadlineMs").get<std::int64_t>();
    const auto answer = json{{"clockMs", clock_ms()}}.dump();
    const bool is_running = std::any_of(runs_.begin(), runs_.end(), [&](const active_run& run) {
        return run.task == task && run.number == number;
    });
    if (is_running) {
        return {.status = 200, .body = answer};
    }
    if (number <= last_refused_run_[task]) {
        return refuse("old");
    }
    if (lease_until <= clock_ms()) {
        return refuse("late");
    }
    if (!has_ticket(body)) {
        observer_.on_start_without_ticket({task, number});
        return refuse("ticket");
    }
    extend_lease(lease_until);
    const auto payload = body.value("spec", "");
    runs_.push_back({.task = task,
                     .number = number,
                     .began = now(),
                     .ends = now() + run_time_of(payload),
                     .fails = fails(payload, task, number)});
    observer_.on_begin({task, number}, {.token = token_, .age = age_of_order(lease_until)});
    if (leaving_since_ && now() - *leaving_since_ > notice_) {
        observer_.on_late_start();
    }
    changed_.notify_all();
    return {.status = 200, .body = answer};
}

bool platform_worker::has_ticket(const json& body) const
{
    return !ticket_validity_ ||
           permits(body.value("ticket", ""), body.at("task").get<std::string>(), id_,
                   wall_time(start_wall_ms_), wall_now(), *ticket_validity_);
}

std::optional<milliseconds> platform_worker::age_of_order(std::int64_t lease_until_ms) const
{
    constexpr std::int64_t clock_error_ms = 300; // The sender knows the clock by earlier answers.
    const auto age_ms = clock_ms() + max_lease_ms - lease_until_ms;
    return age_ms < -clock_error_ms
               ? std::nullopt
               : std::optional(milliseconds(std::max<std::int64_t>(age_ms, 0)));
}

http_response platform_worker::stop(const json& body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("run").get<std::int64_t>();
    last_refused_run_[task] = std::max(last_refused_run_[task], number);
    for (std::size_t index = runs_.size(); index-- > 0;) {
        if (runs_[index].task == task && runs_[index].number <= number) {
            end_run(index, "stopped");
        }
    }
    return {.status = 200, .body = json{{"clockMs", clock_ms()}}.dump()};
}

http_response platform_worker::hold(std::unique_lock<std::mutex>& lock, const json& body)
{
    const auto acknowledged = body.value("lastSeen", std::int64_t{0});
    std::erase_if(ended_, [this, acknowledged](const json& ended) {
        const bool is_acknowledged = ended.at(0).get<std::int64_t>() <= acknowledged;
        if (is_acknowledged) {
            observer_.on_acknowledged({ended.at(1), ended.at(2)}, ended.at(3), token_);
        }
        return is_acknowledged;
    });
    if (body.contains("deadlineMs")) {
        extend_lease(body.at("deadlineMs").get<std::int64_t>());
    }
    const auto deadline = now() + milliseconds(body.value("waitMs", 0));
    changed_.wait_until(lock, deadline,
                        [&] { return stopping_ || !ended_.empty() || now() >= deadline; });
    return {.status = 200, .body = status().dump()};
}

json platform_worker::status() const
{
    json running = json::array();
    for (const auto& run : runs_) {
        const auto percent =
            100 * (now() - run.began) / std::max(run.ends - run.began, time_point::duration(1));
        running.push_back({run.task, run.number, "", std::min<std::int64_t>(99, percent)});
    }
    return {
        {"clockMs", clock_ms()}, {"born", start_wall_ms_}, {"running", running}, {"ended", ended_}};
}

void platform_worker::end_run(std::size_t index, const char* result)
{
    const auto run = runs_[index];
    runs_.erase(runs_.begin() + static_cast<std::ptrdiff_t>(index));
    last_refused_run_[run.task] = std::max(last_refused_run_[run.task], run.number);
    observer_.on_end(next_end_, {run.task, run.number}, result);
    ended_.push_back({next_end_++, run.task, run.number, result, ""});
    changed_.notify_all();
}

void platform_worker::extend_lease(std::int64_t until_ms)
{
    if (until_ms > clock_ms()) {
        const auto bounded_ms = std::min(until_ms, clock_ms() + max_lease_ms);
        lease_until_ms_ = std::max(lease_until_ms_.value_or(0), bounded_ms);
    }
}

void platform_worker::advance()
{
    if (lease_until_ms_ && clock_ms() > *lease_until_ms_) {
        lapse();
        return;
    }
    for (std::size_t index = runs_.size(); index-- > 0;) {
        if (runs_[index].ends <= now()) {
            end_run(index, runs_[index].fails ? "failed" : "done");
        }
    }
}

void platform_worker::lapse()
{
    const auto lapsed_at = start_time_ + milliseconds(*lease_until_ms_);
    observer_.on_lease_lapsed(wall_now() -
                              std::chrono::duration_cast<milliseconds>(now() - lapsed_at));
    lease_until_ms_.reset();
    for (std::size_t index = runs_.size(); index-- > 0;) {
        end_run(index, "lapsed");
    }
}

} // namespace flamingoseam::standin
