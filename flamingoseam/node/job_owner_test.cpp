#include "flamingoseam/node/job_owner.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/thread_name.hpp"
#include "flamingoseam/node/owner_claim.hpp"
#include "flamingoseam/node/ownership_proof.hpp"
#include "tests/blocking_channel.hpp"
#include "tests/memory_store.hpp"

#include <catch2/catch.hpp>

#include <fcntl.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <stdexcept>

using namespace flamingoseam;
using namespace flamingoseam::node;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds worker_lease{300};
constexpr milliseconds max_wait{10'000};
constexpr int max_percent = 90;

bool wait_until(const std::function<bool()>& condition, milliseconds limit = max_wait)
{
    const auto end = now() + limit;
    while (!condition() && now() < end) {
        std::this_thread::sleep_for(5ms);
    }
    return condition();
}

/// A worker with a lease, fencing tokens and numbered ends, like that of the platform.
class leased_worker {
public:
    /// Sets the longest lease that the worker grants. To be called before it is used.
    void set_max_lease(milliseconds lease) { max_lease_ = lease; }

    struct begun_run {
        std::uint64_t token = 0;
        workflow::run_name name;
        time_point began;
        std::optional<time_point> ended;
        bool done = false;
    };

    order_answer start(const start_call& call)
    {
        const std::lock_guard lock(mutex_);
        expire();
        if (!accepts(call.epoch)) {
            return {.outcome = workflow::start_outcome::fenced, .clock = clock()};
        }
        if (call.lease_until <= clock()) {
            return {.outcome = workflow::start_outcome::rejected, .clock = clock()};
        }
        extend(call.lease_until);
        runs_.push_back({.token = call.epoch, .name = call.name, .began = now()});
        return {.outcome = workflow::start_outcome::started, .clock = clock()};
    }

    order_answer stop(const workflow::run_name& name, std::uint64_t token)
    {
        const std::lock_guard lock(mutex_);
        expire();
        if (!accepts(token)) {
            return {.outcome = workflow::start_outcome::fenced, .clock = clock()};
        }
        for (auto& run : runs_) {
            if (run.name == name && !run.ended) {
                end(run, workflow::run_end::stopped);
            }
        }
        return {.outcome = workflow::start_outcome::started, .clock = clock()};
    }

    renew_answer renew(const renew_call& call)
    {
        const std::lock_guard lock(mutex_);
        expire();
        if (!accepts(call.epoch)) {
            return {.outcome = renew_answer::kind::fenced, .clock = clock()};
        }
        std::erase_if(ended_, [&](const auto& run) { return run.number <= call.forget_up_to; });
        if (call.forget_up_to > 0) {
            acknowledgement_ = call;
        }
        extend(call.lease_until);
        percent_ = percent_ % max_percent + 1; // All runs make progress and never stall.
        renew_answer answer{.clock = clock()};
        answer.report.incarnation = incarnation_;
        answer.report.ended = ended_;
        for (const auto& run : runs_) {
            if (!run.ended) {
                answer.report.present.push_back(
                    {.name = run.name, .checkpoint = "", .percent = percent_});
            }
        }
        return answer;
    }

    /// Ends the process and starts it again under the same id.
    void restart()
    {
        const std::lock_guard lock(mutex_);
        ++incarnation_;
        begin_life();
    }

    /// The same, but the new life has the number of the earlier one, as after the time of day was
    /// set back.
    void restart_with_same_number()
    {
        const std::lock_guard lock(mutex_);
        begin_life();
    }

    void finish_all()
    {
        const std::lock_guard lock(mutex_);
        expire();
        for (auto& run : runs_) {
            if (!run.ended) {
                run.done = true;
                end(run, workflow::run_end::done);
            }
        }
    }

    /// Carries out the newest poll that acknowledged ends once more, as a late one.
    void repeat_acknowledgement()
    {
        const auto call = [this] {
            const std::lock_guard lock(mutex_);
            return acknowledgement_;
        }();
        renew(call);
    }

    /// Returns all runs that were begun, in their order.
    std::vector<begun_run> runs()
    {
        const std::lock_guard lock(mutex_);
        expire();
        return runs_;
    }

    std::int64_t incarnation()
    {
        const std::lock_guard lock(mutex_);
        return incarnation_;
    }

    /// Returns the newest owner's token that the present life of the worker has accepted.
    std::uint64_t token()
    {
        const std::lock_guard lock(mutex_);
        return token_;
    }

    std::size_t unacknowledged_ends()
    {
        const std::lock_guard lock(mutex_);
        return ended_.size();
    }

private:
    void begin_life()
    {
        for (auto& run : runs_) {
            run.ended = run.ended ? run.ended : std::optional(now());
        }
        ended_.clear();
        next_end_ = 1;
        token_ = 0;
        leased_until_ = worker_time(0);
        started_ = now();
    }

    [[nodiscard]] worker_time clock() const
    {
        return worker_time(1) + std::chrono::duration_cast<milliseconds>(now() - started_);
    }

    bool accepts(std::uint64_t token)
    {
        if (token < token_) {
            return false;
        }
        token_ = token;
        return true;
    }

    void extend(worker_time until)
    {
        leased_until_ = std::max(leased_until_, std::min(until, clock() + max_lease_));
    }

    void expire()
    {
        if (clock() <= leased_until_) {
            return;
        }
        for (auto& run : runs_) {
            if (!run.ended) {
                end(run, workflow::run_end::lapsed);
                run.ended = started_ + leased_until_;
            }
        }
    }

    void end(begun_run& run, workflow::run_end how)
    {
        run.ended = now();
        ended_.push_back({.number = next_end_++, .name = run.name, .how = how, .checkpoint = ""});
    }

    std::mutex mutex_;
    milliseconds max_lease_ = worker_lease;
    std::int64_t incarnation_ = 1;
    std::uint64_t token_ = 0;
    time_point started_ = now();
    worker_time leased_until_{0};
    std::vector<begun_run> runs_;
    std::vector<workflow::ended_run> ended_;
    std::int64_t next_end_ = 1;
    renew_call acknowledgement_; ///< The newest poll that acknowledged ends.
    int percent_ = 0;
};

using paths = std::array<std::atomic<bool>, 3>; ///< Whether an owner reaches each worker.

std::atomic<bool> honours_waits{false}; ///< Workers hold polls while they have no ends.

/// Which calls of an owner are held up on their way until the flag is false.
struct held_calls {
    std::atomic<bool> starts{false};
    std::atomic<bool> polls{false};
};

class path_channel final : public tests::blocking_channel {
public:
    path_channel(leased_worker& worker, const std::atomic<bool>& reachable, const held_calls& held)
        : worker_(worker), reachable_(reachable), held_(held)
    {
    }
    order_answer start(const start_call& call, milliseconds /*timeout*/) override
    {
        wait_while(held_.starts);
        throw_if_unreachable();
        return worker_.start(call);
    }
    order_answer stop(const workflow::run_name& name, std::uint64_t epoch,
                      milliseconds /*timeout*/) override
    {
        throw_if_unreachable();
        return worker_.stop(name, epoch);
    }
    renew_answer renew(const renew_call& call, milliseconds /*timeout*/) override
    {
        std::this_thread::sleep_for(10ms);
        wait_while(held_.polls);
        const auto end = now() + call.wait;
        while (honours_waits && now() < end && worker_.unacknowledged_ends() == 0) {
            std::this_thread::sleep_for(5ms);
        }
        throw_if_unreachable();
        return worker_.renew(call);
    }

private:
    static void wait_while(const std::atomic<bool>& held)
    {
        while (held) {
            std::this_thread::sleep_for(5ms);
        }
    }

    void throw_if_unreachable() const
    {
        if (!reachable_) {
            throw transport_error(304, "no answer", true);
        }
    }

    leased_worker& worker_;
    const std::atomic<bool>& reachable_;
    const held_calls& held_;
};

workflow::worker_entry entry_of(std::size_t index, std::int64_t incarnation)
{
    return {.id = "w" + std::to_string(index),
            .incarnation = incarnation,
            .service = "service",
            .address = {"127.0.0.1", static_cast<unsigned short>(index + 1)},
            .capacity = {.milli_cpus = 2'000, .memory_mb = 16'000}};
}

/// Lists all workers, each with the incarnation that it had when the list was updated last.
class all_workers final : public worker_directory {
public:
    all_workers(std::array<leased_worker, 3>& workers, const std::atomic<bool>& is_updated)
        : workers_(workers), is_updated_(is_updated)
    {
    }

    std::optional<std::vector<workflow::worker_entry>> next() override
    {
        if (!is_updated_ && !listed_.empty()) {
            return std::nullopt;
        }
        std::vector<std::int64_t> incarnations;
        std::vector<workflow::worker_entry> entries;
        for (auto& worker : workers_) {
            incarnations.push_back(worker.incarnation());
            entries.push_back(entry_of(entries.size(), incarnations.back()));
        }
        if (std::exchange(listed_, incarnations) == incarnations) {
            return std::nullopt;
        }
        return entries;
    }
    time_point confirmed_at() const override { return now(); }

private:
    std::array<leased_worker, 3>& workers_;
    const std::atomic<bool>& is_updated_;
    std::vector<std::int64_t> listed_;
};

/// The store, the workers and what every owner of the cell uses.
struct cell {
    explicit cell(milliseconds lease = worker_lease) : max_lease(lease)
    {
        for (auto& worker : workers) {
            worker.set_max_lease(lease);
        }
    }

    const milliseconds max_lease;
    memory_records records;
    std::array<leased_worker, 3> workers;
    int sink = open("/dev/null", O_WRONLY | O_CLOEXEC);
    std::atomic<bool> opens_channels{true};
    std::string failing_event;  ///< The log throws an exception when this event is written.
    std::string failing_thread; ///< The first connection that it opens to the store fails.
    std::atomic<bool> has_failed{false}; ///< Whether that has happened.
    event_log log{{.program = "test",
                   .node = "test",
                   .descriptor = sink,
                   .observer = [this](const log_event& event) {
                       if (event.event == failing_event) {
                           throw std::out_of_range("no such job");
                       }
                   }}};
    node_metrics metrics;
};

constexpr std::size_t all = 3; ///< Number of the workers.

/// An owner with paths of its own to the store and to each worker.
class owner_process {
public:
    /// The owner reaches the first `reached` workers at first.
    owner_process(cell& shared, std::uint64_t earlier_epoch, std::size_t reached,
                  const shard_identity& shard = {}, milliseconds earlier_certainty = 0ms)
        : cell_(shared)
    {
        for (std::size_t worker = 0; worker < reached; ++worker) {
            reaches.at(worker) = true;
        }
        const auto earlier = store()->get("owner");
        const auto claimed = claim_ownership(
            *store(), {.owner_key = "owner",
                       .head_keys = {"head/0"},
                       .self = {.name = "n" + std::to_string(earlier_epoch), .incarnation = "i"},
                       .expected_epoch = earlier_epoch,
                       .expected_revision = earlier ? earlier->revision : 0});
        auto stored = read_stored_state([this] { return store(); }, keys);
        owner = std::make_unique<job_owner>(
            job_owner_start{.head = claimed->head,
                            .revision = claimed->revision,
                            .claim_sent = claimed->sent,
                            .jobs = std::move(stored.jobs),
                            .leased_workers = std::move(stored.leased_workers),
                            .earlier_certainty =
                                earlier ? std::optional(earlier_certainty) : std::nullopt},
            job_owner_dependencies{
                .head_keys = {"head/0"},
                .stores = [this] { return store(); },
                .keys = keys,
                .worker_lease = cell_.max_lease,
                .io = tests::shared_worker_io(),
                .channels = tests::on_own_threads([this](const workflow::worker_entry& entry) {
                    const auto index = entry.address.port - 1U;
                    if (!cell_.opens_channels) {
                        throw std::system_error(EAGAIN, std::generic_category());
                    }
                    return std::make_unique<path_channel>(cell_.workers.at(index),
                                                          reaches.at(index), held);
                }),
                .directory =
                    [this] { return std::make_unique<all_workers>(cell_.workers, updates_list); },
                .permissions = [](const std::string&) -> permission_call {
                    return [](const auto&) -> permission_answer {
                        throw transport_error(304, "no service", false);
                    };
                },
                .shard = shard,
                .borrow_workers = [](const workflow::worker_request&) {},
                .log = &cell_.log,
                .metrics = &cell_.metrics,
                .is_certain = [this] { return is_certain.load(); },
                .on_store_unreachable = [] {},
                .on_superseded = [this] { superseded = true; },
                .on_failed = [this] { failed = true; }});
    }

    /// Submits a job with tasks that each take half a worker.
    void submit(const std::string& id, int tasks)
    {
        owner->submit(
            {.id = id,
             .queue = "queue",
             .payload = {},
             .steps = {{.tasks = tasks,
                        .size = {.milli_cpus = 1'000, .memory_mb = 1},
                        .estimate = milliseconds(60'000)}}},
            {.name = "queue", .service = "service", .max_attempts = 3, .stretch = 2, .target = 60s},
            [](const owner_answer&) {});
    }

    std::unique_ptr<shared_store> store()
    {
        if (thread_name() == cell_.failing_thread && !cell_.has_failed.exchange(true)) {
            throw std::runtime_error("no descriptor is left");
        }
        return std::make_unique<memory_store>(cell_.records, reaches_store);
    }

    const workflow::record_keys keys{.prefix = "fs/"};
    paths reaches{};
    held_calls held;
    std::atomic<bool> updates_list{true}; ///< Otherwise it learns of no restart from the list.
    std::atomic<bool> reaches_store{true};
    std::atomic<bool> is_certain{true};
    std::atomic<bool> superseded{false};
    std::atomic<bool> failed{false};
    cell& cell_;
    std::unique_ptr<job_owner> owner;
};

std::size_t count_begun(cell& shared)
{
    std::size_t begun = 0;
    for (auto& worker : shared.workers) {
        begun += worker.runs().size();
    }
    return begun;
}

std::vector<leased_worker::begun_run> all_runs(cell& shared)
{
    std::vector<leased_worker::begun_run> runs;
    for (auto& worker : shared.workers) {
        for (const auto& run : worker.runs()) {
            runs.push_back(run);
        }
    }
    return runs;
}

/// Returns how many pairs of runs of one task took place at the same time.
std::size_t count_concurrent(cell& shared)
{
    const auto runs = all_runs(shared);
    std::size_t pairs = 0;
    for (std::size_t first = 0; first < runs.size(); ++first) {
        for (std::size_t second = first + 1; second < runs.size(); ++second) {
            const auto ends = [](const auto& run) { return run.ended.value_or(now()); };
            const bool overlap =
                runs[first].began < ends(runs[second]) && runs[second].began < ends(runs[first]);
            pairs += overlap && runs[first].name.task == runs[second].name.task ? 1 : 0;
        }
    }
    return pairs;
}

/// Cuts an owner off from the store while one of its writes is in flight, so that it can't record
/// what happens to its workers from then on.
void cut_off_from_store(owner_process& process)
{
    process.reaches_store = false;
    process.is_certain = false;
    process.submit("in-flight", 1);
    std::this_thread::sleep_for(100ms);
}

} // namespace

TEST_CASE("a cut-off owner starts nothing on a worker that has seen no token since its restart")
{
    cell shared;
    owner_process earlier(shared, 0, all);
    earlier.submit("job", 2);
    REQUIRE(wait_until([&] { return count_begun(shared) == 2; }));

    cut_off_from_store(earlier);
    for (auto& path : earlier.reaches) {
        path = false;
    }
    owner_process later(shared, 1, 2);
    for (auto& worker : shared.workers) {
        worker.finish_all();
    }
    REQUIRE(wait_until([&] {
        return std::ranges::all_of(shared.workers, [](auto& worker) {
            return worker.runs().empty() || worker.unacknowledged_ends() == 0;
        });
    }));
    std::this_thread::sleep_for(3 * worker_lease); // The earlier owner takes all runs for lost.

    shared.workers[2].restart();
    earlier.reaches[2] = true;
    std::this_thread::sleep_for(1s);
    CHECK(count_begun(shared) == 2);
    CHECK(shared.workers[2].runs().empty());
}

TEST_CASE("runs go on while the store is away, and nothing is started")
{
    cell shared;
    owner_process process(shared, 0, all);
    process.submit("job", 4);
    REQUIRE(wait_until([&] { return count_begun(shared) == 4; }));

    cut_off_from_store(process);
    process.submit("later", 1);
    std::this_thread::sleep_for(10 * worker_lease);
    CHECK(count_begun(shared) == 4);
    const auto runs = all_runs(shared);
    CHECK(std::ranges::none_of(runs, [](const auto& run) { return run.ended.has_value(); }));
}

TEST_CASE("a worker that only a cut-off owner reaches is not taken for empty while it is leased")
{
    cell shared;
    owner_process earlier(shared, 0, all);
    earlier.submit("job", 6);
    REQUIRE(wait_until([&] { return count_begun(shared) == 6; }));

    cut_off_from_store(earlier);
    earlier.reaches[0] = false;
    earlier.reaches[1] = false;
    owner_process later(shared, 1, 2);
    shared.workers[0].finish_all();
    shared.workers[1].finish_all();
    // Its tasks on the unreachable worker are started again at last.
    CHECK(wait_until([&] { return count_begun(shared) > 6; }));
    CHECK(count_concurrent(shared) == 0);
}

// Guards against a second run of a task: the silence of a worker was stored as a time of day, and
// the clocks of the two owners differed.
TEST_CASE("a worker is not taken for empty early because the clocks of two owners differ")
{
    constexpr milliseconds lease{2'500};
    constexpr milliseconds clock_step{2'400};
    cell shared(lease);
    owner_process earlier(shared, 0, all);
    earlier.submit("job", 6);
    REQUIRE(wait_until([&] { return count_begun(shared) == 6; }));

    cut_off_from_store(earlier);
    for (auto& path : earlier.reaches) {
        path = false;
    }
    const auto silent_since = wall_now() - clock_step;
    const auto entry = [](std::size_t worker, wall_time silence) {
        return "[\"w" + std::to_string(worker) + "\",1,\"127.0.0.1\"," +
               std::to_string(worker + 1) + ",\"service\",\"\"," + std::to_string(silence.count()) +
               ",0]";
    };
    shared_transaction silence;
    silence.writes.push_back({earlier.keys.leased_workers(),
                              "[" + entry(0, wall_time(0)) + "," + entry(1, wall_time(0)) + "," +
                                  entry(2, silent_since) + "]",
                              0});
    const std::atomic<bool> reachable = true;
    memory_store(shared.records, reachable).commit(silence, 1s);

    owner_process later(shared, 1, 2);
    shared.workers[0].finish_all();
    shared.workers[1].finish_all();
    CHECK(wait_until([&] { return count_begun(shared) > 6; }));
    CHECK(count_concurrent(shared) == 0);
}

TEST_CASE("an exception of a decision ends the ownership, and not the process")
{
    cell shared;
    shared.failing_event = "ownership_uncertain";
    owner_process process(shared, 0, all);
    process.submit("job", 2);
    REQUIRE(wait_until([&] { return count_begun(shared) == 2; }));

    process.is_certain = false;
    REQUIRE(wait_until([&] { return process.failed.load(); }));
    process.is_certain = true;
    std::promise<owner_answer> answered;
    process.owner->submit({.id = "later"}, {},
                          [&](const owner_answer& answer) { answered.set_value(answer); });
    CHECK(answered.get_future().get().verdict == owner_verdict::no_owner);

    // The next owner goes on from the state in the store.
    shared.failing_event.clear();
    owner_process later(shared, 1, all);
    std::this_thread::sleep_for(2 * worker_lease);
    CHECK(count_begun(shared) == 2);
    CHECK(count_concurrent(shared) == 0);
}

TEST_CASE("the owner of a shard without a connection for its assignments tries to open it again")
{
    cell shared;
    shared.failing_thread = "assignments";
    owner_process process(shared, 0, all, {.index = 0, .count = 2});
    process.submit("job", 1);
    CHECK(wait_until([&] { return count_begun(shared) == 1; }));
    CHECK(shared.has_failed);
}

// Guards against steps that used what an exception had left incomplete.
TEST_CASE("an owner that has failed uses its state no more")
{
    cell shared;
    shared.failing_event = "ownership_uncertain";
    owner_process process(shared, 0, all);
    process.submit("job", 2);
    REQUIRE(wait_until([&] { return count_begun(shared) == 2; }));
    process.is_certain = false;
    REQUIRE(wait_until([&] { return process.failed.load(); }));
    process.is_certain = true;

    const auto verdict_of = [](const auto& call) {
        std::promise<owner_verdict> verdict;
        call([&](const owner_answer& answer) { verdict.set_value(answer.verdict); });
        return verdict.get_future().get();
    };
    CHECK(verdict_of([&](auto reply) { process.owner->find("job", reply); }) ==
          owner_verdict::no_owner);
    CHECK(verdict_of([&](auto reply) { process.owner->cancel("job", reply); }) ==
          owner_verdict::no_owner);
    CHECK(verdict_of([&](auto reply) { process.owner->count_pending("queue", reply); }) ==
          owner_verdict::no_owner);
}

TEST_CASE("a session with a worker that can't be opened ends the ownership, and not the process")
{
    cell shared;
    shared.opens_channels = false;
    {
        owner_process process(shared, 0, all);
        REQUIRE(wait_until([&] { return process.failed.load(); }));
    }
    shared.opens_channels = true;
    owner_process later(shared, 1, all);
    later.submit("job", 2);
    CHECK(wait_until([&] { return count_begun(shared) == 2; }));
}

// Guards against a second run of a task: its end in the next incarnation of its worker, with the
// same number, was forgotten unread.
TEST_CASE("a poll that is carried out in the next incarnation of its worker acknowledges nothing")
{
    cell shared;
    owner_process process(shared, 0, all);
    process.submit("job", 6);
    REQUIRE(wait_until([&] { return count_begun(shared) == 6; }));
    auto& worker = shared.workers[0];
    worker.finish_all();
    REQUIRE(wait_until([&] { return worker.unacknowledged_ends() == 0; }));

    worker.restart();
    process.submit("later", 2);
    REQUIRE(wait_until([&] { return count_begun(shared) == 8; }));
    process.reaches[0] = false;
    worker.finish_all();
    worker.repeat_acknowledgement();
    process.reaches[0] = true;
    std::this_thread::sleep_for(2s);
    CHECK(count_begun(shared) == 8);
}

TEST_CASE("an owner that hears nothing of its successor starts nothing once its proof is old")
{
    cell shared;
    owner_process earlier(shared, 0, all);
    earlier.submit("job", 6);
    REQUIRE(wait_until([&] { return count_begun(shared) == 6; }));

    earlier.reaches[0] = false;
    earlier.reaches[1] = false;
    std::this_thread::sleep_for(3 * worker_lease); // The silence of both workers is stored.
    owner_process later(shared, 1, 2);
    std::this_thread::sleep_for(2s); // The earlier owner has nothing to write meanwhile.
    shared.workers[2].restart();
    std::this_thread::sleep_for(1s);
    CHECK(shared.workers[2].runs().size() == 2);
}

TEST_CASE("an owner that gets no proof from the store starts nothing once its last one is old")
{
    cell shared;
    owner_process process(shared, 0, 1);
    process.submit("job", 2);
    REQUIRE(wait_until([&] { return count_begun(shared) == 2; }));

    process.reaches_store = false; // Its lease and its view show nothing yet.
    process.submit("in-flight", 1);
    std::this_thread::sleep_for(1'600ms);
    shared.workers[0].restart();
    std::this_thread::sleep_for(1s);
    CHECK(count_begun(shared) == 2);
}

namespace {

/// Lets an owner that has a recent proof, but gets no answer from the store any more, be replaced
/// by one that has a report of the only worker at work. That worker restarts then, and only the
/// earlier owner reaches it at first.
void restart_unseen_by_later_owner(cell& shared, owner_process& earlier,
                                   std::unique_ptr<owner_process>& later)
{
    earlier.submit("job", 2);
    REQUIRE(wait_until([&] { return count_begun(shared) == 2; }));
    earlier.reaches_store = false;
    earlier.submit("in-flight", 1);
    std::this_thread::sleep_for(100ms);
    earlier.reaches[0] = false;
    later = std::make_unique<owner_process>(shared, 1, all, shard_identity{}, 1'600ms);
    REQUIRE(wait_until([&] { return shared.workers[0].token() / tokens_per_epoch == 2; }));
    std::this_thread::sleep_for(50ms); // The report arrives.
    later->reaches[0] = false;
    shared.workers[0].restart();
    earlier.reaches[0] = true;
    REQUIRE(wait_until([&] { return shared.workers[0].runs().size() > 2; }, 1s));
}

} // namespace

TEST_CASE("what an earlier owner may still start in a worker's new life is not started elsewhere")
{
    cell shared;
    owner_process earlier(shared, 0, 1);
    std::unique_ptr<owner_process> later;
    restart_unseen_by_later_owner(shared, earlier, later);

    SECTION("if the later owner reaches the worker again soon")
    {
        std::this_thread::sleep_for(3 * worker_lease); // The worker is taken for empty meanwhile.
        later->reaches[0] = true;
        REQUIRE(wait_until([&] { return shared.workers[0].token() / tokens_per_epoch == 2; }));
        std::this_thread::sleep_for(1s);
    }
    SECTION("if the later owner does not reach it while it is leased")
    {
        CHECK(wait_until([&] {
            const auto runs = all_runs(shared);
            return std::ranges::any_of(
                runs, [](const auto& run) { return run.token / tokens_per_epoch == 2; });
        }));
    }
    const auto runs = all_runs(shared);
    CHECK(std::ranges::count_if(runs, [](const auto& run) { return !run.ended; }) == 2);
    CHECK(count_concurrent(shared) == 0);
}

TEST_CASE("a successor starts loaded tasks once the earlier owner has said that it has stopped")
{
    cell shared;
    owner_process earlier(shared, 0, 0);
    earlier.submit("job", 2);
    REQUIRE(wait_until([&] {
        const std::lock_guard lock(shared.records.mutex);
        return std::ranges::any_of(shared.records.records, [](const auto& record) {
            return record.first.find("job") != std::string::npos;
        });
    }));
    std::this_thread::sleep_for(300ms); // The list of leased workers is stored as well.
    owner_process later(shared, 1, all, {}, 60s);
    later.submit("new", 1);
    REQUIRE(wait_until([&] { return count_begun(shared) == 1; }));
    std::this_thread::sleep_for(500ms);
    CHECK(count_begun(shared) == 1);
    CHECK_FALSE(later.owner->have_earlier_ended());

    earlier.owner->report_superseded();
    CHECK(earlier.owner->have_earlier_ended());
    later.owner->confirm_earlier_stopped();
    CHECK(wait_until([&] { return count_begun(shared) == 3; }));
    CHECK(later.owner->have_earlier_ended());
    const auto runs = all_runs(shared);
    CHECK(std::ranges::all_of(runs,
                              [](const auto& run) { return run.token / tokens_per_epoch == 2; }));
}

TEST_CASE("an idle owner keeps its proof recent with one read of the store a second at most")
{
    cell shared;
    owner_process process(shared, 0, all);
    std::this_thread::sleep_for(500ms); // The list of leased workers is stored.
    const int reads = shared.records.single_reads;
    const auto began = now();
    while (now() - began < 3'500ms) {
        std::promise<owner_verdict> verdict;
        process.owner->find("unknown",
                            [&](const owner_answer& answer) { verdict.set_value(answer.verdict); });
        CHECK(verdict.get_future().get() == owner_verdict::not_found); // That needs a proof.
        std::this_thread::sleep_for(100ms);
    }
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(now() - began).count();
    CHECK(shared.records.single_reads - reads >= 2);
    CHECK(shared.records.single_reads - reads <= seconds);
}

namespace {

/// Asks an earlier owner to stop, as the node of a later one does.
void ask_to_stop(owner_process& earlier, owner_process& later)
{
    earlier.owner->report_superseded();
    if (earlier.owner->have_earlier_ended()) {
        later.owner->confirm_earlier_stopped();
    }
}

/// Lets the runs on the last two workers, which only an earlier owner reaches, end as done under a
/// lease that it renews. The later owner reaches these workers after it had time to take them for
/// empty.
void finish_behind_later_owner(cell& shared, owner_process& later)
{
    std::this_thread::sleep_for(100ms);
    shared.workers[1].finish_all();
    shared.workers[2].finish_all();
    std::this_thread::sleep_for(3 * shared.max_lease);
    later.reaches[1] = true;
    later.reaches[2] = true;
    CHECK(wait_until([&] {
        return std::ranges::all_of(shared.workers,
                                   [](auto& worker) { return worker.unacknowledged_ends() == 0; });
    }));
}

/// Checks that no task has been started again, although no lease has lapsed.
void check_each_done_once(cell& shared, std::size_t tasks)
{
    const auto runs = all_runs(shared);
    CHECK(runs.size() == tasks);
    CHECK(std::ranges::all_of(
        runs, [](const auto& run) { return run.done || run.token / tokens_per_epoch > 1; }));
}

} // namespace

// Guards against a second run of a task: the word of the owner between them was taken for that of
// the first owner, which still renewed the lease of a worker that both later ones did not reach.
TEST_CASE("the stop of an owner says nothing of the leases that an earlier one still renews")
{
    cell shared(1'000ms);
    owner_process first(shared, 0, all);
    first.submit("job", 6);
    REQUIRE(wait_until([&] { return count_begun(shared) == 6; }));
    cut_off_from_store(first);
    first.reaches[0] = false;

    owner_process second(shared, 1, 1, {}, 100ms);
    shared.workers[0].finish_all();
    REQUIRE(wait_until([&] {
        return shared.workers[0].unacknowledged_ends() == 0 && second.owner->have_earlier_ended();
    }));
    owner_process third(shared, 2, 1, {}, 60s);
    SECTION("if it stops when it is asked to")
    {
        ask_to_stop(second, third);
    }
    SECTION("if it has stopped before")
    {
        second.owner->request_stop();
        ask_to_stop(second, third);
    }
    finish_behind_later_owner(shared, third);
    check_each_done_once(shared, 6);
}

// Guards against a second run of a task: an owner said that it had stopped before its sessions did.
TEST_CASE("an owner that has stopped renews no lease, even if its decisions take long")
{
    cell shared;
    owner_process earlier(shared, 0, all);
    earlier.submit("job", 6);
    REQUIRE(wait_until([&] { return count_begun(shared) == 6; }));

    std::promise<void> decided;
    earlier.owner->find("job",
                        [end = decided.get_future().share()](const owner_answer&) { end.wait(); });
    earlier.reaches[0] = false;
    owner_process later(shared, 1, 1, {}, 60s);
    shared.workers[0].finish_all();
    earlier.is_certain = false;
    earlier.owner->request_stop();
    REQUIRE(earlier.owner->have_earlier_ended());
    later.owner->confirm_earlier_stopped();
    std::this_thread::sleep_for(4 * worker_lease);
    const auto runs = all_runs(shared);
    CHECK(std::ranges::all_of(
        runs, [](const auto& run) { return run.ended || run.token / tokens_per_epoch == 2; }));
    CHECK(count_concurrent(shared) == 0);
    decided.set_value();
}

TEST_CASE("an owner that is cut off learns of no end of a run that a later owner has started")
{
    cell shared(2'000ms);
    owner_process earlier(shared, 0, all);
    REQUIRE(wait_until([&] { return shared.workers[2].token() > 0; }));
    cut_off_from_store(earlier);
    for (auto& path : earlier.reaches) {
        path = false;
    }
    shared.workers[2].restart(); // It knows no token any more.
    owner_process later(shared, 1, all);
    later.submit("job", 6);
    REQUIRE(wait_until([&] { return count_begun(shared) == 6; }));

    later.reaches[2] = false;
    shared.workers[2].finish_all();
    earlier.reaches[2] = true;
    CHECK(wait_until([&] { return earlier.superseded.load(); }));
    CHECK(shared.workers[2].unacknowledged_ends() == 2);
    later.reaches[2] = true;
    CHECK(wait_until([&] { return shared.workers[2].unacknowledged_ends() == 0; }));
    std::this_thread::sleep_for(300ms);
    CHECK(count_begun(shared) == 6);
}

// Guards against a second run of a task: ends were passed over, as their numbers were known from
// the earlier life, and acknowledged.
TEST_CASE("the ends of a worker whose next life has the same number are read")
{
    cell shared;
    owner_process process(shared, 0, all);
    process.submit("job", 6);
    REQUIRE(wait_until([&] { return count_begun(shared) == 6; }));
    auto& worker = shared.workers[0];
    worker.finish_all();
    REQUIRE(wait_until([&] { return worker.unacknowledged_ends() == 0; }));

    worker.restart_with_same_number();
    std::this_thread::sleep_for(200ms);
    process.submit("later", 2);
    REQUIRE(wait_until([&] { return count_begun(shared) == 8; }));
    worker.finish_all();
    CHECK(wait_until([&] { return worker.unacknowledged_ends() == 0; }));
    std::this_thread::sleep_for(1s);
    CHECK(count_begun(shared) == 8);
}

// Guards against a second run of a task: the later owner started it once the earlier one could
// start nothing any more, but had not asked the restarted worker what it runs.
TEST_CASE(
    "a waiting task that an earlier owner starts in a worker's new life is not started elsewhere")
{
    cell shared(1'000ms);
    owner_process earlier(shared, 0, 1);
    earlier.submit("job", 2);
    REQUIRE(wait_until([&] { return count_begun(shared) == 2; }));
    earlier.submit("waiting", 2);
    std::this_thread::sleep_for(200ms); // It is stored.
    earlier.reaches_store = false;
    earlier.submit("in-flight", 1);
    std::this_thread::sleep_for(100ms);
    earlier.owner->cancel("job", [](const owner_answer&) {}); // So that the other job is next.
    earlier.reaches[0] = false;
    owner_process later(shared, 1, all, {}, max_earlier_certainty);
    REQUIRE(wait_until([&] { return shared.workers[0].token() / tokens_per_epoch == 2; }));
    std::this_thread::sleep_for(50ms); // The report arrives.
    later.reaches[0] = false;
    later.updates_list = GENERATE(true, false);
    shared.workers[0].restart();
    earlier.reaches[0] = true;
    REQUIRE(wait_until([&] { return shared.workers[0].runs().size() == 4; }, 1s));
    SECTION("once the proof of the earlier owner is too old")
    {
        std::this_thread::sleep_for(2s); // The earlier owner extends the lease meanwhile.
    }
    SECTION("once the earlier owner has said that it has stopped")
    {
        ask_to_stop(earlier, later);
        std::this_thread::sleep_for(400ms);
    }
    shared.workers[0].finish_all();
    later.reaches[0] = true;
    CHECK(wait_until([&] { return shared.workers[0].unacknowledged_ends() == 0; }));
    std::vector<leased_worker::begun_run> runs;
    std::ranges::copy_if(all_runs(shared), std::back_inserter(runs),
                         [](const auto& run) { return run.name.task.job == "waiting"; });
    CHECK(runs.size() == 2);
    // No lease has lapsed.
    CHECK(std::ranges::count_if(runs, &leased_worker::begun_run::done) == 2);
}

// Guards against a second run of a task: an acknowledgement that was decided together with the news
// of the restart reached the next life, whose end with the same number nobody had read.
TEST_CASE(
    "an end in a worker's next life is not acknowledged together with ends of the earlier one")
{
    cell shared(5'000ms);
    owner_process process(shared, 0, 1);
    auto& worker = shared.workers[0];
    process.submit("job", 2);
    REQUIRE(wait_until([&] { return count_begun(shared) == 2; }));
    process.submit("next", 2);
    std::this_thread::sleep_for(300ms); // It is stored.

    // The result of the first job is not stored yet, and its place is given to the next one.
    process.reaches_store = false;
    process.held.starts = true;
    worker.finish_all();
    std::this_thread::sleep_for(100ms);
    process.held.polls = true;
    std::this_thread::sleep_for(400ms);
    std::promise<void> decided;
    process.owner->find("job",
                        [end = decided.get_future().share()](const owner_answer&) { end.wait(); });

    // The starts reach the next life, of which the owner learns together with that result.
    worker.restart();
    process.held.starts = false;
    REQUIRE(wait_until([&] { return count_begun(shared) == 4; }));
    worker.finish_all();
    process.reaches_store = true;
    std::this_thread::sleep_for(700ms);
    decided.set_value();
    std::this_thread::sleep_for(200ms);
    process.held.polls = false;
    CHECK(wait_until([&] { return worker.unacknowledged_ends() == 0; }));
    std::this_thread::sleep_for(1s);
    CHECK(count_begun(shared) == 4);
}

// Guards against tasks that wait for an idle worker's next answer, which it holds for 1.8 s.
TEST_CASE("loaded tasks are started soon after the earlier owner can start none")
{
    cell shared(6'000ms);
    owner_process earlier(shared, 0, 0);
    earlier.submit("job", 2);
    std::this_thread::sleep_for(600ms);
    honours_waits = true;
    const auto began = now();
    owner_process later(shared, 1, all, {}, max_earlier_certainty);
    const bool is_asked_to_stop = GENERATE(false, true);
    if (is_asked_to_stop) {
        std::this_thread::sleep_for(20ms);
        earlier.owner->report_superseded();
        later.owner->confirm_earlier_stopped();
    }
    CHECK(wait_until([&] { return count_begun(shared) == 2; }));
    const auto took = std::chrono::duration_cast<milliseconds>(now() - began);
    honours_waits = false;
    CHECK(took < (is_asked_to_stop ? 1'000ms : 2'500ms));
}
