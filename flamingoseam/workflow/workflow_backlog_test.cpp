#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <cstdio>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

constexpr std::size_t worker_count = 350;
constexpr std::int64_t tasks_per_worker = 8;
constexpr int event_count = 200;
/// An owner that has 0.12 of a processor and spends half of it on placement has 57 us for each of
/// 1,050 starts per second. That is enough to examine this many items at 20 ns each.
constexpr std::int64_t max_examined_per_event = 2'850;

/// A fleet fully occupied by the tasks of one job, with a backlog of waiting jobs.
class crowded_state {
public:
    explicit crowded_state(std::optional<permission_terms> permission) : permission_(permission)
    {
        std::vector<worker_entry> entries;
        for (std::size_t index = 0; index < worker_count; ++index) {
            auto entry = driven_.worker();
            entry.id = "w" + std::to_string(index);
            entries.push_back(std::move(entry));
        }
        driven_.state.on_worker_list(entries, driven_.time);
        for (std::size_t index = 0; index < worker_count; ++index) {
            driven_.state.on_report(index, {.incarnation = 1}, driven_.time, wall);
        }
        ends_.resize(worker_count);
        driven_.store();
    }

    void fill()
    {
        driven_.submit(
            driven_.job(next_id(), 1'000, static_cast<int>(worker_count * tasks_per_worker)));
        running_ = driven_.next().starts;
        for (const auto& order : running_) {
            driven_.state.on_start(order.worker, order.name, start_outcome::started, driven_.time);
        }
    }

    void add_backlog(int jobs, bool gangs)
    {
        auto terms = driven_.terms();
        terms.permission = permission_;
        for (int count = 0; count < jobs; ++count) {
            auto job = driven_.job(next_id(), 1'000, gangs ? 20 : 3);
            job.steps[0].gang = gangs;
            driven_.state.submit(1, job, terms, driven_.time, wall);
        }
        driven_.store();
        driven_.next();
    }

    /// Ends runs one by one and returns the average number of items examined for each.
    std::int64_t examined_per_event()
    {
        const auto before = driven_.state.counts().examined;
        for (int count = 0; count < event_count; ++count) {
            end_run(running_.at(static_cast<std::size_t>(count)));
            driven_.next(milliseconds(1));
        }
        return (driven_.state.counts().examined - before) / event_count;
    }

    std::size_t running() const { return running_.size(); }
    std::int64_t starts() const { return driven_.state.counts().starts; }

private:
    std::string next_id()
    {
        std::string id(16, '0');
        std::snprintf(id.data(), id.size() + 1, "%016x", ++last_id_);
        return id;
    }

    void end_run(const start_order& order)
    {
        const ended_run end{.number = ++ends_.at(order.worker), .name = order.name};
        driven_.state.on_report(order.worker, {.incarnation = 1, .ended = {end}}, driven_.time,
                                wall);
    }

    driven_state driven_;
    std::optional<permission_terms> permission_;
    std::vector<start_order> running_;
    std::vector<std::int64_t> ends_; ///< Number of the latest end of each worker.
    unsigned last_id_ = 0;
};

} // namespace

// Guards against scheduling passes whose cost grows with the backlog until they take all the time.
TEST_CASE("the cost of an event does not grow with the backlog")
{
    const int backlog = GENERATE(100, 1'000, 3'000);
    CAPTURE(backlog);

    SECTION("when the workers are full")
    {
        crowded_state crowded(std::nullopt);
        crowded.fill();
        REQUIRE(crowded.running() == worker_count * tasks_per_worker);
        crowded.add_backlog(backlog, false);
        const auto starts = crowded.starts();
        CHECK(crowded.examined_per_event() <= max_examined_per_event);
        CHECK(crowded.starts() - starts >= event_count - 1);
    }
    SECTION("when gangs wait for capacity")
    {
        crowded_state crowded(std::nullopt);
        crowded.fill();
        crowded.add_backlog(backlog, true);
        CHECK(crowded.examined_per_event() <= max_examined_per_event);
    }
    SECTION("when steps wait for permission")
    {
        crowded_state crowded(
            permission_terms{fractional_ms(100), fractional_ms(1), milliseconds(2'000)});
        crowded.fill();
        crowded.add_backlog(backlog, false);
        CHECK(crowded.examined_per_event() <= max_examined_per_event);
    }
}
