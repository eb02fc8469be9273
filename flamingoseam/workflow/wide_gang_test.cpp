#include "tests/gang_jobs.hpp"
#include "tests/permission_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr std::size_t workers = 270;
constexpr std::int64_t worker_cpus = 16'000;
constexpr milliseconds tick{50};
/// A step that has room for all its tasks twice over, while less than half of the capacity is in
/// use, must start within this time.
constexpr milliseconds max_wait_with_room{3'000};

const permission_simulation_options cell{
    .workers = workers, .call_slots = 19, .milli_cpus = worker_cpus, .permitted_share = 0.3};
const permission_terms advice{fractional_ms(715), fractional_ms(10.14), milliseconds(1'500)};
const queue_terms filling_terms{.name = "filling", .service = "service", .priority = 0};
const queue_terms gang_terms{.name = "gangs",
                             .service = "service",
                             .priority = 1,
                             .max_attempts = 3,
                             .stretch = 2.2,
                             .target = milliseconds(1'000),
                             .permission = advice};
const queue_terms single_terms{.name = "singles",
                               .service = "service",
                               .priority = 2,
                               .stretch = 4,
                               .target = milliseconds(3'000)};

/// The work beside the wide gangs.
struct traffic {
    double gangs_per_second = 0;
    double singles_per_second = 0;
};

/// What was observed of a play.
struct play_result {
    int left = 0;                   ///< Wide gangs that have not started.
    milliseconds longest_wait{0};   ///< Of a wide gang, from when the first workers became free.
    milliseconds wait_with_room{0}; ///< Longest time with room twice over and half of the capacity.
    double used_share = 0;          ///< Mean share of the processors in use.
    int calls = 0;                  ///< Answered calls for the wide gangs.
    double calls_per_second = 0;    ///< For all jobs.
    int others_started = 0;         ///< Of the other gangs.
    milliseconds others_wait{0};    ///< Mean time until these started.
};

/// Submits wide gangs to a full shard, where they become too late to be of use. When the runs end,
/// other work arrives steadily, which is on time.
class wide_gangs_play {
public:
    wide_gangs_play(const traffic& load, unsigned seed) : load_(load), random_(seed), play_(cell) {}

    play_result run(int wide_gangs)
    {
        constexpr milliseconds until_room{15'000};
        constexpr milliseconds traffic_before_room{2'000};
        constexpr milliseconds length_with_room{40'000};
        fill_workers(until_room);
        submit_wide_gangs(wide_gangs);
        play_.advance(until_room - traffic_before_room);
        room_at_ = play_.time() + traffic_before_room;
        while (play_.time() < room_at_ + length_with_room) {
            submit_traffic();
            play_.advance(tick);
            observe();
        }
        return finish();
    }

private:
    /// A wide gang that has not started.
    struct waiting_gang {
        int tasks = 0;
        std::optional<time_point> has_room_since;
    };

    int between(int least, int most)
    {
        return std::uniform_int_distribution<int>(least, most)(random_);
    }

    [[nodiscard]] milliseconds since(time_point moment) const
    {
        return std::chrono::duration_cast<milliseconds>(play_.time() - moment);
    }

    /// Fills the workers with runs that end one after the other from the given time on.
    void fill_workers(milliseconds until_room)
    {
        for (std::size_t worker = 0; worker < workers; ++worker) {
            const auto length = until_room + milliseconds(between(0, 8'000));
            play_.submit(job_of(job_id('f', static_cast<int>(worker)), filling_terms, 1,
                                worker_cpus, length),
                         filling_terms, length);
        }
        play_.advance(tick);
    }

    void submit_wide_gangs(int count)
    {
        for (int number = 0; number < count; ++number) {
            const milliseconds length(between(2'000, 6'000));
            const int tasks = between(52, 66);
            const auto id = job_id('w', number);
            play_.submit(job_of(id, gang_terms, tasks, between(4'000, 6'000), length / 2),
                         gang_terms, length);
            waiting_[id] = {.tasks = tasks};
            wide_ids_.push_back(id);
        }
    }

    void observe()
    {
        const auto used = play_.used_processors();
        const double share =
            static_cast<double>(std::accumulate(used.begin(), used.end(), std::int64_t{0})) /
            static_cast<double>(workers * worker_cpus);
        used_sum_ += share;
        ++samples_;
        std::erase_if(waiting_,
                      [this](const auto& entry) { return play_.first_start(entry.first); });
        for (auto& [id, gang] : waiting_) {
            result_.longest_wait = std::max(result_.longest_wait, since(room_at_));
            if (share >= 0.5 || play_.places(id, used) < 2 * gang.tasks) {
                gang.has_room_since.reset();
                continue;
            }
            gang.has_room_since = gang.has_room_since.value_or(play_.time());
            result_.wait_with_room = std::max(result_.wait_with_room, since(*gang.has_room_since));
        }
    }

    play_result finish()
    {
        result_.left = static_cast<int>(waiting_.size());
        result_.used_share = used_sum_ / samples_;
        for (const auto& id : wide_ids_) {
            result_.calls += play_.answered_calls(id);
        }
        result_.calls_per_second =
            1'000.0 * play_.answered_calls() / static_cast<double>(since(room_at_).count());
        milliseconds wait{0};
        for (const auto& id : other_ids_) {
            if (play_.first_start(id)) {
                ++result_.others_started;
                wait += play_.start_wait(id);
            }
        }
        result_.others_wait = wait / std::max(1, result_.others_started);
        return result_;
    }

    /// Submits the jobs that arrive within a tick.
    void submit_traffic()
    {
        const auto arrivals = [this](double per_second) {
            const double mean = per_second * std::chrono::duration<double>(tick).count();
            return std::poisson_distribution<int>(mean)(random_);
        };
        for (int count = arrivals(load_.gangs_per_second); count > 0; --count) {
            const milliseconds length(between(3'000, 9'000));
            other_ids_.push_back(job_id('g', ++number_));
            play_.submit(job_of(other_ids_.back(), gang_terms, between(7, 20),
                                between(3'000, 6'000), length * between(50, 150) / 100),
                         gang_terms, length);
        }
        for (int count = arrivals(load_.singles_per_second); count > 0; --count) {
            const milliseconds length(between(1'000, 5'000));
            play_.submit(
                job_of(job_id('s', ++number_), single_terms, 1, between(1'000, 5'000), length),
                single_terms, length);
        }
    }

    traffic load_;
    std::mt19937 random_;
    permission_simulation play_;
    int number_ = 0;       ///< Of the last job of the traffic.
    time_point room_at_{}; ///< When the first workers become free.
    std::map<std::string, waiting_gang> waiting_;
    std::vector<std::string> wide_ids_;
    std::vector<std::string> other_ids_; ///< Of the other gangs.
    double used_sum_ = 0;
    int samples_ = 0;
    play_result result_;
};

void check_play(const traffic& load, int wide_gangs, milliseconds max_wait, unsigned seed)
{
    const auto result = wide_gangs_play(load, seed).run(wide_gangs);
    INFO("seed " << seed << ", " << load.gangs_per_second
                 << " other gangs a second: " << result.left << " left, longest wait "
                 << result.longest_wait.count() << " ms, with room twice over "
                 << result.wait_with_room.count() << " ms, " << result.used_share
                 << " of the processors in use, " << result.calls << " calls for wide gangs, "
                 << result.calls_per_second << " calls a second in all, " << result.others_started
                 << " other gangs started after " << result.others_wait.count() << " ms");
    CHECK(result.left == 0);
    CHECK(result.longest_wait <= max_wait);
    CHECK(result.wait_with_room <= max_wait_with_room);
}

/// Traffic that keeps about 65 % of the processors in use.
constexpr traffic steady{.gangs_per_second = 5, .singles_per_second = 60};
/// Traffic that needs more permission calls than there are call slots for.
constexpr traffic excessive{.gangs_per_second = 7, .singles_per_second = 80};

} // namespace

// Guards against gangs that wait for as long as others keep arriving: narrower ones, which are on
// time, took each call slot and each worker that became free.
TEST_CASE("a wide gang that is late starts beside a steady stream of narrower gangs")
{
    constexpr milliseconds max_wait{15'000};
    for (unsigned seed = 1; seed <= 6; ++seed) {
        check_play(steady, 1, max_wait, seed);
        check_play(excessive, 1, max_wait, seed);
    }
}

// Guards against a gang that starts only because no other one waits for as long as it does.
TEST_CASE("several wide gangs that are late start beside a steady stream of narrower gangs")
{
    constexpr milliseconds max_wait{30'000};
    for (unsigned seed = 1; seed <= 4; ++seed) {
        check_play(excessive, 6, max_wait, seed);
    }
}
