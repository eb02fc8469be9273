#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace flamingoseam;
using namespace flamingoseam::workflow;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t workers = 4;
constexpr milliseconds run_time{2'500};

/// Four workers with a stream of small tasks that run 25 times as long as estimated.
struct busy_workers : driven_state {
    busy_workers()
    {
        std::vector<worker_entry> list;
        for (std::size_t index = 0; index < workers; ++index) {
            list.push_back(worker());
            list.back().id = "w" + std::to_string(index);
        }
        state.on_worker_list(list, time);
        report_all();
        store();
    }

    void report_all()
    {
        std::vector<worker_report> reports(workers, {.incarnation = 1, .asked = time});
        for (auto run = runs.begin(); run != runs.end();) {
            const auto& [worker, end] = run->second;
            auto& report = reports[worker];
            if (end <= time) {
                report.ended.push_back({.number = ++ends[worker], .name = run->first});
                run = runs.erase(run);
            } else {
                const auto done = 100 - static_cast<int>(100 * (end - time) / run_time);
                report.present.push_back({.name = run->first, .percent = done});
                ++run;
            }
        }
        for (std::size_t worker = 0; worker < workers; ++worker) {
            state.on_report(worker, reports[worker], time, wall);
        }
    }

    /// Lets 50 ms pass. Returns whether the gang has started.
    bool step()
    {
        const auto actions = next(50ms);
        bool gang_started = false;
        for (const auto& start : actions.starts) {
            state.on_start(start.worker, start.name, start_outcome::started, time);
            runs[start.name] = {start.worker, time + run_time};
            gang_started = gang_started || start.name.task.job == "gang";
        }
        report_all();
        store();
        return gang_started;
    }

    void submit_small()
    {
        auto small = job("small" + std::to_string(++jobs), 3'000);
        small.steps[0].estimate = 100ms;
        submit(small);
    }

    std::map<run_name, std::pair<std::size_t, time_point>> runs; ///< Worker and end, by run.
    std::map<std::size_t, std::int64_t> ends;
    int jobs = 0;
};

} // namespace

// A gang that needed several empty workers was overtaken by smaller work for good: the runs on its
// reserved workers took longer than estimated, the reservation expired, and others took the room.
TEST_CASE("a gang that needs empty workers starts although estimates are far too short")
{
    busy_workers cell;
    std::optional<milliseconds> waited;
    for (int step = 0; step < 800 && !waited; ++step) {
        if (step % 6 == 0) {
            cell.submit_small();
        }
        if (step == 40) {
            auto gang = cell.job("gang", 8'000, 3);
            gang.steps[0].gang = true;
            cell.submit(gang);
            REQUIRE(cell.state.find("gang"));
        }
        if (cell.step()) {
            waited = (step - 40) * 50ms;
        }
    }
    REQUIRE(waited);
    const auto spec = cell.job("gang", 8'000);
    CHECK(*waited < late_multiple * target_time(spec, cell.terms())); // It is still of use.
}
