#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/http/http_server.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace flamingoseam::standin {

/// A run as it is named in orders.
struct run_id {
    std::string task;
    std::int64_t number = 0;
};

/// What a worker knows of the order for a run.
struct run_order {
    std::int64_t token = 0; ///< Its fencing token.

    /// How long ago it was sent, if its deadline is the longest lease after that, as nodes choose
    /// it. None if the deadline is later than that, as in an order meant for an earlier
    /// incarnation.
    std::optional<milliseconds> age;
};

/// Receives what happens to the runs of a worker. Called with the worker's lock held.
class run_observer {
public:
    virtual ~run_observer() = default;

    /// Called when a run begins.
    virtual void on_begin(const run_id& run, const run_order& order) = 0;

    /// Called when a run has ended as `how`, the end with this number on its worker.
    virtual void on_end(std::int64_t number, const run_id& run, const std::string& how) = 0;

    /// Called when an owner with this fencing token has acknowledged an end, which is then
    /// forgotten.
    virtual void on_acknowledged(const run_id& run, const std::string& how, std::int64_t token) = 0;

    /// Called once for each lease that has run out, before the ends of the runs that this stops.
    /// `time` is when it ran out on the worker's clock, which may be noticed later.
    virtual void on_lease_lapsed(wall_time time) = 0;

    /// Called for a start on a worker that announced long before that it leaves.
    virtual void on_late_start() = 0;

    /// Called for an order to start a run that was refused for want of a ticket.
    virtual void on_start_without_ticket(const run_id& /*run*/) {}
};

/// Counts the starts and ends of all runs on all workers of the stand-in, so that tests can find
/// tasks that ran concurrently or ran again after they were done. Thread-safe.
class run_ledger final : public run_observer {
public:
    void on_begin(const run_id& run, const run_order& order) override;
    void on_end(std::int64_t number, const run_id& run, const std::string& how) override;
    void on_acknowledged(const run_id& /*run*/, const std::string& /*how*/,
                         std::int64_t /*token*/) override
    {
    }
    void on_lease_lapsed(wall_time /*time*/) override {}
    void on_late_start() override;

    /// Returns as JSON the number of starts, of tasks done, of starts while the task was already
    /// running, of starts after the task was done and of late starts on leaving workers.
    [[nodiscard]] nlohmann::json to_json() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, int> running_;
    std::map<std::string, int> done_;
    int starts_ = 0;
    int concurrent_starts_ = 0;
    int repeated_starts_ = 0;
    int late_starts_ = 0;
};

/// A stand-in for one worker of the users' platform with a lease, fencing tokens and run numbers.
/// It reports the end of a run until the owner acknowledges it. The payload of a task states its
/// run time, for example "ms=300", and may state how many of its runs in a hundred fail,
/// for example "ms=300 fail=20"; which ones depends on the task and on the run's number.
class platform_worker {
public:
    /// `notice` is the time after the announcement that it leaves within which the worker may be
    /// given work. A ticket is valid for `ticket_validity`; without that none is needed.
    platform_worker(std::string id, milliseconds notice, run_observer& observer,
                    std::optional<milliseconds> ticket_validity = std::nullopt);
    ~platform_worker();
    platform_worker(const platform_worker&) = delete;
    platform_worker& operator=(const platform_worker&) = delete;

    /// Handles a request to the worker.
    http_response handle(const http_request& request);

    /// Returns when the worker was started, which it reports as its incarnation.
    [[nodiscard]] std::int64_t start_wall_ms() const { return start_wall_ms_; }

    /// Records that the store has accepted the announcement that the worker leaves.
    void begin_leaving();

private:
    struct active_run {
        std::string task;
        std::int64_t number = 0;
        time_point began{};
        time_point ends{};
        bool fails = false;
    };

    http_response start(const nlohmann::json& body);
    http_response stop(const nlohmann::json& body);
    http_response hold(std::unique_lock<std::mutex>& lock, const nlohmann::json& body);
    [[nodiscard]] http_response refuse(const char* reason) const;
    [[nodiscard]] bool has_ticket(const nlohmann::json& body) const;
    [[nodiscard]] std::optional<milliseconds> age_of_order(std::int64_t lease_until_ms) const;
    [[nodiscard]] nlohmann::json status() const;
    [[nodiscard]] std::int64_t clock_ms() const; ///< Since the start of this worker.
    bool accepts(const nlohmann::json& body);
    void extend_lease(std::int64_t until_ms);
    void end_run(std::size_t index, const char* result);
    void advance(); ///< Ends the runs whose time is over, or all if the lease has run out.
    void lapse();

    std::string id_;
    milliseconds notice_;
    run_observer& observer_;
    std::optional<milliseconds> ticket_validity_;
    std::optional<time_point> leaving_since_;
    std::mutex mutex_;
    std::condition_variable changed_;
    time_point start_time_ = now();
    std::int64_t start_wall_ms_ = wall_now().count();
    std::int64_t token_ = 0; ///< Highest fencing token received.
    /// On clock_ms(). Empty while no lease has been granted since the last one lapsed.
    std::optional<std::int64_t> lease_until_ms_;
    std::vector<active_run> runs_;
    /// Maps a task to the highest run number whose start is refused; lower ones are refused too.
    std::map<std::string, std::int64_t> last_refused_run_;
    std::vector<nlohmann::json> ended_; ///< Ends of runs that the owner has not acknowledged.
    std::int64_t next_end_ = 1;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace flamingoseam::standin
