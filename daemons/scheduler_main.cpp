#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/scheduler/scheduler.hpp"
#include "flamingoseam/store/http_config_store.hpp"

#include <gflags/gflags.h>

#include <iostream>
#include <thread>

DEFINE_string(settings, "", "TOML file with the scheduler's settings");
DEFINE_bool(check, false, "check the settings and exit: 0 when they are good, 1 when not");

namespace {

void run()
{
    using namespace flamingoseam;
    const auto settings = read_scheduler_settings(FLAGS_settings);
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": good\n";
        return;
    }
    const auto signals = block_end_signals();
    auto store = std::make_unique<http_config_store>(settings.store, settings.store_timeout);
    scheduler daemon(settings, std::move(store));
    std::thread waiter([&daemon, &signals] {
        wait_for_end(signals);
        daemon.shut_down();
    });
    daemon.run();
    waiter.join();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("owns shards and decides placements\n"
                            "usage: flamingoseam-scheduler --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return flamingoseam::run_daemon(argv[0], run);
}
