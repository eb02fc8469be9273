/// Measures the processor time that an owner spends outside of its decisions: on start orders and
/// polls of workers, which are encoded, sent, answered and decoded by the sessions. The workers are
/// those of a running standin-platform.
#include "flamingoseam/core/thread_times.hpp"
#include "flamingoseam/log/log.hpp"
#include "flamingoseam/node/worker_session.hpp"
#include "platform/worker_api.hpp"

#include <gflags/gflags.h>

#include <atomic>
#include <iostream>
#include <thread>

DEFINE_string(network, "127.0.61.",
              "first three numbers of the workers' IP addresses, with the last dot");
DEFINE_int32(port, 7100, "TCP port of the workers");
DEFINE_int32(workers, 100, "number of workers, whose addresses end in 1 and up");
DEFINE_int32(starts_per_s, 300, "start orders per second, spread evenly over the workers");
DEFINE_int32(run_ms, 2'000, "run time of each task, in milliseconds");
DEFINE_int32(seconds, 10, "measured time, in seconds");

namespace flamingoseam::bench {

namespace {

constexpr milliseconds warm_up{3'000};

/// Counts the answers of the workers and lets them discard all ends.
class counting_listener final : public node::worker_listener {
public:
    void on_report(const node::session_id& session, workflow::worker_report report) override
    {
        ++reports;
        ends += static_cast<std::int64_t>(report.ended.size());
        if (is_open && !report.ended.empty()) {
            sessions.at(session.worker)
                ->forget({.worker = session.worker,
                          .incarnation = report.incarnation,
                          .up_to = report.ended.back().number,
                          .all_stored = true});
        }
    }
    void on_start(std::size_t /*worker*/, const workflow::run_name& /*name*/,
                  workflow::start_outcome outcome) override
    {
        ++(outcome == workflow::start_outcome::started ? started : refused);
    }
    void on_stop(std::size_t /*worker*/, const workflow::run_name& /*name*/) override {}
    void on_unreachable_changed(const node::session_id& /*session*/, bool /*unreachable*/,
                                time_point /*silent_since*/) override
    {
    }
    void on_emptied(const node::session_id& /*session*/,
                    workflow::emptied_reason /*reason*/) override
    {
    }
    void on_fenced(std::size_t /*worker*/) override {}
    [[nodiscard]] bool may_start() const override { return true; }
    [[nodiscard]] bool may_renew() const override { return true; }

    node::worker_io io;
    std::vector<std::unique_ptr<node::worker_session>> sessions;
    std::atomic<bool> is_open{false}; ///< All sessions are open.
    std::atomic<std::int64_t> started{0};
    std::atomic<std::int64_t> refused{0};
    std::atomic<std::int64_t> reports{0};
    std::atomic<std::int64_t> ends{0};
};

void open_sessions(counting_listener& listener)
{
    const auto channels = [](io_loop& loop, const workflow::worker_entry& worker) {
        return std::make_unique<platform::worker_api>(loop, worker);
    };
    for (int worker = 0; worker < FLAGS_workers; ++worker) {
        const auto number = std::to_string(worker + 1);
        const workflow::worker_entry entry{
            .id = "w" + number,
            .address = {FLAGS_network + number, static_cast<unsigned short>(FLAGS_port)}};
        listener.sessions.push_back(std::make_unique<node::worker_session>(
            node::worker_session_options{.id = {.worker = static_cast<std::size_t>(worker)},
                                         .epoch = 1},
            entry, listener.io.next_loops(), channels, listener));
    }
    listener.is_open = true;
}

/// Orders starts at the given rate until `end`.
void order_starts(counting_listener& listener, int& next, time_point end)
{
    const auto interval = std::chrono::nanoseconds(std::chrono::seconds(1)) / FLAGS_starts_per_s;
    auto due = now();
    while (due < end) {
        std::this_thread::sleep_until(due);
        due += interval;
        char job[17];
        std::snprintf(job, sizeof(job), "%016x", next);
        const auto worker = static_cast<std::size_t>(next++ % FLAGS_workers);
        listener.sessions[worker]->start({.worker = worker,
                                          .name = {{job, 0, 0}, 1},
                                          .payload = "ms=" + std::to_string(FLAGS_run_ms),
                                          .ticket = "ticket-of-this-step"});
    }
}

void run()
{
    counting_listener listener;
    open_sessions(listener);
    int next = static_cast<int>(wall_now().count() % 1'000'000) * 1'000;
    order_starts(listener, next, now() + warm_up);
    const auto before = read_process_time();
    const auto started = listener.started.load();
    const auto reports = listener.reports.load();
    order_starts(listener, next, now() + std::chrono::seconds(FLAGS_seconds));
    const auto used =
        std::chrono::duration<double, std::micro>(read_process_time() - before).count();
    const auto starts = static_cast<double>(listener.started - started);
    const auto polls = static_cast<double>(listener.reports - reports);
    std::cout << "starts/s " << starts / FLAGS_seconds << ", polls/s " << polls / FLAGS_seconds
              << ", refused " << listener.refused << "\nprocessor percent "
              << used / FLAGS_seconds / 1e4 << ", microseconds per start or poll "
              << used / (starts + polls) << "\n";
    for (auto& session : listener.sessions) {
        session->request_stop();
    }
}

} // namespace

} // namespace flamingoseam::bench

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures the processor time of sessions with workers");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    flamingoseam::init_logging(argv[0]);
    flamingoseam::bench::run();
    return 0;
}
