#include "tests/driven_state.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace flamingoseam;
using namespace flamingoseam::workflow;

namespace {

const std::string deadly = "00000000000000dd";

/// One worker that crashes as soon as it starts a task of the deadly job, and is back after some
/// seconds. Other runs on it are lost with it, or end as done after a while.
class crashing_worker {
public:
    explicit crashing_worker(driven_state& driver) : driver_(driver) { driver_.make_usable(); }

    /// Lets time pass until nothing is left to do, at most for a minute.
    void run()
    {
        for (int step = 0; step < 600; ++step) {
            handle(driver_.next(milliseconds(100)));
            driver_.store();
        }
    }

    /// Replaces the owner by one that knows only what is stored.
    void replace_owner(std::vector<job_record> stored)
    {
        driver_.state = workflow_state({.epoch = 3, .streams = 3});
        auto leased = driver_.worker();
        leased.incarnation = incarnation_;
        leased.leaving = true;
        driver_.state.load(std::move(stored), {leased}, driver_.time, wall);
        list_worker();
        report();
    }

    /// Lets the worker crash now, whatever runs on it.
    void crash()
    {
        present_.clear();
        ++incarnation_;
        ++crashes;
        list_worker();
    }

    std::map<std::string, int> starts; ///< By job.
    int crashes = 0;
    bool keeps_running = false; ///< Runs of other jobs do not end.

private:
    void handle(const workflow_actions& actions)
    {
        for (const auto& order : actions.stops) {
            driver_.state.on_stop(0, order.name, driver_.time);
        }
        for (const auto& order : actions.starts) {
            ++starts[order.name.task.job];
            driver_.state.on_start(0, order.name, start_outcome::started, driver_.time);
            if (order.name.task.job == deadly) {
                crash();
                break;
            }
            present_.push_back({.name = order.name, .percent = 1});
        }
        driver_.time += milliseconds(1);
        report();
    }

    void list_worker()
    {
        auto entry = driver_.worker();
        entry.incarnation = incarnation_;
        driver_.state.on_worker_list({entry}, driver_.time);
    }

    void report()
    {
        worker_report report{.incarnation = incarnation_, .asked = driver_.time};
        if (keeps_running) {
            report.present = present_;
        } else {
            for (const auto& run : present_) {
                report.ended.push_back({.number = ++last_end_, .name = run.name});
            }
            present_.clear();
        }
        driver_.state.on_report(0, report, driver_.time, wall);
    }

    driven_state& driver_;
    std::int64_t incarnation_ = 1;
    std::int64_t last_end_ = 0;
    std::vector<present_run> present_;
};

} // namespace

TEST_CASE("a task that crashes each worker that starts it is given up")
{
    driven_state driver;
    crashing_worker worker(driver);
    driver.submit(driver.job(deadly, 1'000));
    worker.run();

    CHECK(driver.state.find(deadly) == job_phase::failed);
    CHECK(worker.starts[deadly] == 3);
}
