#include "flamingoseam/workflow/permission_queue.hpp"

#include "flamingoseam/workflow/workflow_state.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr wall_time wall{1'000'000};
constexpr std::size_t workers = 48;
constexpr std::size_t lanes = 8;
constexpr milliseconds step{10};
constexpr std::int64_t worker_cpus = 64'000;

std::string worker_id(std::size_t worker)
{
    return "w" + std::to_string(worker);
}

std::string job_id(int number)
{
    return std::string(14, '0') + std::to_string(100 + number).substr(1);
}

queue_terms terms_of(int priority, std::optional<permission_terms> permission)
{
    return {.name = "queue" + std::to_string(priority),
            .service = "service",
            .priority = priority,
            .most_attempts = 3,
            .stretch = 2.2,
            .target = milliseconds(1'000),
            .permission = permission};
}

const permission_terms quick_advice{fractional_ms(7), fractional_ms(0.1), milliseconds(2'000)};
const permission_terms slow_advice{fractional_ms(410), fractional_ms(5.9), milliseconds(2'000)};

job_spec job_of(const std::string& id, int tasks, std::int64_t milli_cpus)
{
    return {.id = id,
            .queue = "queue",
            .payload = {},
            .steps = {{.tasks = tasks,
                       .size = {.milli_cpus = milli_cpus, .memory_mb = 1},
                       .estimate = milliseconds(60'000)}}};
}

/// An owner with its workers and its lanes to the permission service, in simulated time.
class permission_play {
public:
    permission_play()
    {
        std::vector<worker_entry> entries;
        for (std::size_t worker = 0; worker < workers; ++worker) {
            entries.push_back({.id = worker_id(worker),
                               .life = 1,
                               .service = "service",
                               .address = {"127.0.0.1", 1},
                               .capacity = {.milli_cpus = worker_cpus, .memory_mb = 100'000}});
        }
        state_.set_permission_lanes(lanes);
        state_.on_worker_list(entries, time_);
        for (std::size_t worker = 0; worker < workers; ++worker) {
            state_.on_report(worker, {.life = 1}, time_, wall);
        }
        store();
    }

    /// Submits a job whose tasks run for so long.
    void submit(const job_spec& spec, const queue_terms& terms, milliseconds length)
    {
        submitted_[spec.id] = {time_, length};
        state_.submit(1, spec, terms, time_, wall);
        store();
    }

    void play(milliseconds length)
    {
        for (const auto end = time_ + length; time_ < end;) {
            time_ += step;
            end_runs();
            answer();
            pump();
        }
    }

    void cancel(const std::string& id)
    {
        state_.cancel(1, id, wall);
        store();
    }

    [[nodiscard]] time_point time() const { return time_; }
    [[nodiscard]] int requests_out() const { return requests_out_; }
    [[nodiscard]] int answered() const { return answered_; }

    /// Returns when a job's first task was started, none when it still waits.
    [[nodiscard]] std::optional<time_point> begun(const std::string& id) const
    {
        const auto found = begun_.find(id);
        return found == begun_.end() ? std::nullopt : std::optional(found->second);
    }

    [[nodiscard]] milliseconds waited(const std::string& id) const
    {
        return std::chrono::duration_cast<milliseconds>(begun(id).value_or(time_) -
                                                        submitted_.at(id).first);
    }

private:
    struct call {
        time_point end;
        permission_request request;
    };

    void pump()
    {
        state_.tick(time_);
        auto actions = state_.take_actions();
        for (auto& order : actions.starts) {
            begun_.try_emplace(order.name.task.job, time_);
            state_.on_start(order.worker, order.name, start_outcome::started, time_);
            const auto end = time_ + submitted_.at(order.name.task.job).second;
            running_.push_back({end, std::move(order)});
        }
        for (auto& request : actions.permissions) {
            ++requests_out_;
            queue_.add(std::move(request));
        }
        for (const auto number : actions.withdrawn_permissions) {
            --requests_out_;
            queue_.drop(number);
        }
        while (calls_.size() < lanes) {
            auto request = queue_.take(lanes, time_);
            if (!request) {
                break;
            }
            calls_.push_back({time_ + request->service_time, std::move(*request)});
        }
        store();
    }

    void end_runs()
    {
        std::map<std::size_t, worker_report> reports;
        for (auto& [end, order] : std::exchange(running_, {})) {
            if (end > time_) {
                running_.emplace_back(end, std::move(order));
                continue;
            }
            reports[order.worker].ended.push_back(
                {.number = ++last_end_[order.worker], .name = order.name});
        }
        for (const auto& [end, order] : running_) {
            const auto report = reports.find(order.worker);
            if (report != reports.end()) {
                report->second.present.push_back({.name = order.name, .percent = 1});
            }
        }
        for (auto& [worker, report] : reports) {
            report.life = 1;
            report.asked = time_;
            state_.on_report(worker, report, time_, wall);
        }
    }

    void answer()
    {
        for (auto& one : std::exchange(calls_, {})) {
            if (one.end > time_) {
                calls_.push_back(std::move(one));
                continue;
            }
            queue_.finish(one.request);
            ++answered_;
            --requests_out_;
            state_.on_permission(one.request.number, grants_of(one.request), time_);
        }
    }

    /// Three in ten workers may run a step, always the same ones.
    static std::vector<ticket_grant> grants_of(const permission_request& request)
    {
        std::vector<ticket_grant> grants;
        for (const auto& worker : request.workers) {
            std::mt19937_64 draw(std::hash<std::string>()(request.job + worker));
            if (std::bernoulli_distribution(0.3)(draw)) {
                grants.push_back({worker, "ticket"});
            }
        }
        return grants;
    }

    void store()
    {
        while (state_.has_changes(0, time_)) {
            state_.take_batch(0, 30, time_, wall);
            state_.on_stored(0);
        }
    }

    workflow_state state_{{.epoch = 2}};
    permission_queue queue_;
    time_point time_{std::chrono::hours(1)};
    std::vector<call> calls_;
    int answered_ = 0;
    int requests_out_ = 0; ///< As the owner knows them.
    std::map<std::string, std::pair<time_point, milliseconds>> submitted_;
    std::map<std::string, time_point> begun_;
    std::vector<std::pair<time_point, start_order>> running_; ///< By when they end.
    std::map<std::size_t, std::int64_t> last_end_;
};

constexpr int gangs = 30;
constexpr milliseconds gang_length{500};

/// Lets gangs wait, and learn where they may run, while other work fills all workers.
void let_gangs_wait(permission_play& play, milliseconds wait)
{
    for (std::size_t worker = 0; worker < workers; ++worker) {
        play.submit(job_of("f" + job_id(static_cast<int>(worker)).substr(1), 1, worker_cpus),
                    terms_of(0, std::nullopt), wait);
    }
    for (int number = 0; number < gangs; ++number) {
        auto job = job_of(job_id(number), 3 + number % 5, 30'000);
        job.steps[0].gang = true;
        job.steps[0].estimate = milliseconds(4'000);
        play.submit(job, terms_of(1, slow_advice), gang_length);
    }
    play.play(wait);
}

} // namespace

// Issue 16: gangs of 3 to 7 tasks waited beside idle workers until the day ended. The bound is a
// target derived from the service's time: each gang asks once more, for the tickets of four
// workers, 8 calls at a time; twice that.
TEST_CASE("waiting gangs begin within the time that the permission service needs for them")
{
    permission_play play;
    let_gangs_wait(play, milliseconds(6'000));
    const auto room_since = play.time();
    const int asked_before = play.answered();
    const auto target = 2 * gangs * slow_advice.service_time(4) / lanes;
    play.play(milliseconds(30'000));
    auto last = room_since;
    for (int number = 0; number < gangs; ++number) {
        const auto begun = play.begun(job_id(number));
        INFO("gang " << number);
        CHECK(begun.has_value());
        last = std::max(last, begun.value_or(play.time()));
    }
    CHECK(std::chrono::duration_cast<milliseconds>(last - room_since) <= target);
    CHECK(play.answered() - asked_before <= gangs * 3 / 2);
}

TEST_CASE("the next request to the permission service")
{
    permission_queue queue;
    const time_point time{std::chrono::hours(1)};
    const auto request = [&](std::uint64_t number, milliseconds service, milliseconds left) {
        return permission_request{.number = number,
                                  .job = job_id(static_cast<int>(number)),
                                  .order = {.on_time_until = time + left,
                                            .useful_until = time + left + milliseconds(1'000),
                                            .priority = static_cast<int>(number),
                                            .due = time + left},
                                  .service_time = service};
    };
    constexpr milliseconds quick{7};
    constexpr milliseconds slow{430};

    SECTION("is the most urgent at that moment")
    {
        queue.add(request(1, quick, milliseconds(100)));
        queue.add(request(2, quick, milliseconds(500)));
        queue.add(request(3, quick, milliseconds(500)));
        CHECK(queue.take(lanes, time + milliseconds(200))->number == 2);
        CHECK(queue.take(lanes, time + milliseconds(200))->number == 3);
        CHECK(queue.take(lanes, time + milliseconds(200))->number == 1);
    }
    SECTION("is none that was taken back")
    {
        queue.add(request(1, quick, milliseconds(100)));
        queue.drop(1);
        CHECK_FALSE(queue.take(lanes, time));
    }
    SECTION("is a long one on every lane but one while no short ones come")
    {
        for (std::uint64_t number = 1; number <= lanes; ++number) {
            queue.add(request(number, slow, milliseconds(100)));
            CHECK(queue.take(lanes, time).has_value() == (number < lanes));
        }
        queue.add(request(20, quick, milliseconds(100)));
        CHECK(queue.take(lanes, time)->number == 20);
    }
    SECTION("is a long one on three of four lanes while short ones come")
    {
        queue.add(request(20, quick, milliseconds(100)));
        REQUIRE(queue.take(lanes, time));
        for (std::uint64_t number = 1; number <= lanes; ++number) {
            queue.add(request(number, slow, milliseconds(100)));
            CHECK(queue.take(lanes, time).has_value() == (number <= 6));
        }
        CHECK(queue.take(lanes, time + milliseconds(1'100)));
    }
}

// Issue 16: gangs that wait must not make short work wait for the permission service.
TEST_CASE("single tasks are not kept waiting by the calls of gangs")
{
    permission_play play;
    let_gangs_wait(play, milliseconds(6'000));
    constexpr int checks = 40;
    for (int number = 0; number < checks; ++number) {
        play.submit(job_of("c" + job_id(number).substr(1), 1, 1'000), terms_of(0, quick_advice),
                    milliseconds(600));
        play.play(milliseconds(50));
    }
    for (int number = 1; number < checks; ++number) {
        INFO("check " << number);
        CHECK(play.waited("c" + job_id(number).substr(1)) <= milliseconds(100));
    }
    // The first one finds long calls on all lanes; the longest takes 0.7 s.
    CHECK(play.waited("c" + job_id(0).substr(1)) <= milliseconds(800));
}

TEST_CASE("a request for a job that is cancelled is taken back")
{
    permission_play play;
    play.submit(job_of(job_id(1), 1, 1'000), terms_of(1, slow_advice), milliseconds(600));
    play.play(step);
    REQUIRE(play.requests_out() == 1);
    play.cancel(job_id(1));
    play.play(milliseconds(200));
    CHECK(play.requests_out() == 0);
}
