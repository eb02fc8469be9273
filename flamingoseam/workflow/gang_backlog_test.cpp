#include "tests/gang_jobs.hpp"
#include "tests/permission_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <random>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr std::size_t workers = 270; ///< Of the shard, once it has got all of them.
constexpr std::int64_t worker_cpus = 16'000;
/// Those of the whole service, whose other shards are idle.
constexpr std::int64_t service_cpus = 350 * worker_cpus;
constexpr milliseconds tick{50};
/// A step that has room for all its tasks twice over, while less than half of the
/// service's capacity is in use, must start within this time.
constexpr milliseconds max_wait_with_room{3'000};

const permission_simulation_options cell{
    .workers = workers, .call_slots = 19, .milli_cpus = worker_cpus, .permitted_share = 0.3};
const permission_terms advice{fractional_ms(715), fractional_ms(10.14), milliseconds(1'500)};
const queue_terms other_terms{.name = "others", .service = "service", .priority = 0};
const queue_terms gang_terms{.name = "gangs",
                             .service = "service",
                             .priority = 1,
                             .max_attempts = 3,
                             .stretch = 2.2,
                             .target = milliseconds(1'000),
                             .permission = advice};

job_spec single_task(int number, milliseconds estimate)
{
    job_spec job{.id = job_id('f', number), .queue = other_terms.name, .payload = {}};
    job.steps.push_back(
        {.tasks = 1, .size = {.milli_cpus = worker_cpus, .memory_mb = 1}, .estimate = estimate});
    return job;
}

job_spec gang(int number, int tasks, std::int64_t milli_cpus, milliseconds estimate)
{
    job_spec job{.id = job_id('b', number), .queue = gang_terms.name, .payload = {}};
    job.steps.push_back({.tasks = tasks,
                         .size = {.milli_cpus = milli_cpus, .memory_mb = 1},
                         .estimate = estimate,
                         .gang = true});
    return job;
}

/// Observes for how long gangs wait although they have room for all tasks twice over and less than
/// half of the service's capacity is in use.
class wait_observer {
public:
    explicit wait_observer(permission_simulation& play) : play_(&play) {}

    void submit(const job_spec& job, milliseconds length)
    {
        play_->submit(job, gang_terms, length);
        if (!play_->refused(job.id)) {
            waiting_.emplace(job.id, waiting_gang{job.steps.front().tasks, std::nullopt});
        }
    }

    void advance(milliseconds length)
    {
        for (const auto end = play_->time() + length; play_->time() < end;) {
            play_->advance(tick);
            observe();
        }
    }

    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }
    [[nodiscard]] milliseconds longest_wait() const { return longest_; }
    [[nodiscard]] const std::string& longest_waiter() const { return longest_id_; }

private:
    struct waiting_gang {
        int tasks = 0;
        std::optional<time_point> has_room_since;
    };

    void observe()
    {
        std::erase_if(waiting_,
                      [this](const auto& entry) { return play_->first_start(entry.first); });
        const auto used = play_->used_processors();
        const auto all_used = std::accumulate(used.begin(), used.end(), std::int64_t{0});
        const bool is_half_free = 2 * all_used < service_cpus;
        for (auto& [id, gang] : waiting_) {
            if (!is_half_free || play_->places(id, used) < 2 * gang.tasks) {
                gang.has_room_since.reset();
                continue;
            }
            gang.has_room_since = gang.has_room_since.value_or(play_->time());
            const auto waited =
                std::chrono::duration_cast<milliseconds>(play_->time() - *gang.has_room_since);
            if (waited > longest_) {
                longest_ = waited;
                longest_id_ = id;
            }
        }
    }

    permission_simulation* play_;
    std::map<std::string, waiting_gang> waiting_;
    milliseconds longest_{0};
    std::string longest_id_;
};

/// Fills each worker with one task of a length that `choose_length` returns.
template <typename Choice>
void fill_workers(permission_simulation& play, std::size_t count, const Choice& choose_length)
{
    for (std::size_t worker = 0; worker < count; ++worker) {
        const milliseconds length = choose_length();
        play.submit(single_task(static_cast<int>(worker), length), other_terms, length);
    }
    play.advance(tick);
}

struct backlog_result {
    int accepted = 0;
    std::size_t left = 0;    ///< Gangs that have not started.
    milliseconds longest{0}; ///< Longest wait of a gang that had room.
    std::string longest_id;
    milliseconds last_start{0}; ///< From when the first workers became free.
    int calls = 0;              ///< Answered permission calls.
};

/// Submits gangs to a full shard, whose runs then end one after the other, and which then gets more
/// workers. The estimates of the runs are wrong.
backlog_result play_backlog(int gangs, unsigned seed)
{
    constexpr std::size_t workers_at_first = 130;
    constexpr std::size_t workers_lent = 10; ///< At a time.
    constexpr milliseconds lending_interval{900};
    constexpr milliseconds until_room{25'000};
    std::mt19937 random(seed);
    const auto between = [&random](int least, int most) {
        return std::uniform_int_distribution<int>(least, most)(random);
    };
    auto options = cell;
    options.workers = workers_at_first;
    permission_simulation play(options);
    const auto room_at = play.time() + until_room;
    wait_observer observer(play);
    fill_workers(play, workers_at_first,
                 [&] { return until_room + milliseconds(between(0, 8'000)); });
    for (int index = 0; index < gangs; ++index) {
        const milliseconds length(between(2'000, 10'000));
        const auto estimate = length * between(20, 200) / 100;
        observer.submit(gang(index, between(20, 66), between(4'000, 6'000), estimate), length);
        observer.advance(milliseconds(between(50, 200)));
    }
    const auto accepted = static_cast<int>(observer.waiting());
    observer.advance(until_room);
    for (auto count = workers_at_first; count < workers; count += workers_lent) {
        play.add_workers(workers_lent);
        observer.advance(lending_interval);
    }
    constexpr milliseconds max_time{90'000};
    while (observer.waiting() > 0 && play.time() < room_at + max_time) {
        observer.advance(tick);
    }
    return {.accepted = accepted,
            .left = observer.waiting(),
            .longest = observer.longest_wait(),
            .longest_id = observer.longest_waiter(),
            .last_start = std::chrono::duration_cast<milliseconds>(play.time() - room_at),
            .calls = play.answered_calls()};
}

void check_backlog(int gangs, unsigned seed)
{
    const auto result = play_backlog(gangs, seed);
    INFO(gangs << " gangs, seed " << seed << ": " << result.accepted << " accepted, " << result.left
               << " left, longest wait with room " << result.longest.count() << " ms by "
               << result.longest_id << ", last start after room " << result.last_start.count()
               << " ms, " << result.calls << " calls");
    CHECK(result.accepted >= gangs / 2);
    CHECK(result.left == 0);
    CHECK(result.longest <= max_wait_with_room);
}

} // namespace

// Gangs that were too late to be of use waited for more than 10 s while much of the room was free:
// each asked about the workers that were new in the shard only when it could be expected to start
// with them at once, and reservations for gangs that could not start held other workers idle.
TEST_CASE("gangs of a backlog start when there is twice the room that they need")
{
    for (unsigned seed = 1; seed <= 8; ++seed) {
        check_backlog(25, seed);
    }
}

TEST_CASE("gangs of a long backlog start when there is twice the room that they need")
{
    for (unsigned seed = 1; seed <= 4; ++seed) {
        check_backlog(60, seed);
    }
}

// A gang that had asked about most of the workers while they were occupied asked about the others
// only when these and its free workers were expected to suffice.
TEST_CASE("a gang that has asked about most workers starts in an idle shard")
{
    constexpr std::size_t known_workers = workers * 85 / 100;
    constexpr milliseconds until_room{10'000};
    for (unsigned seed = 1; seed <= 10; ++seed) {
        auto options = cell;
        options.workers = known_workers;
        permission_simulation play(options);
        wait_observer observer(play);
        fill_workers(play, known_workers, [&] { return until_room; });
        const milliseconds length(5'000);
        observer.submit(gang(static_cast<int>(seed), 30, 6'000, length), length);
        observer.advance(until_room / 2);
        play.add_workers(workers - known_workers);
        observer.advance(until_room);
        INFO("seed " << seed << ": waited " << observer.longest_wait().count() << " ms");
        CHECK(observer.waiting() == 0);
        CHECK(observer.longest_wait() <= max_wait_with_room);
    }
}
