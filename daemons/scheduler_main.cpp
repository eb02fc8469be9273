#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/scheduler/scheduler.hpp"
#include "flamingoseam/store/http_config_store.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(settings, "", "TOML file with the scheduler's settings");
DEFINE_bool(check, false, "validate the settings and exit with 0 when they are valid, else with 1");

namespace {

void run()
{
    using namespace flamingoseam;
    const auto settings = read_scheduler_settings(FLAGS_settings);
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": good\n";
        return;
    }
    const auto signals = block_shutdown_signals();
    auto store = std::make_unique<http_config_store>(settings.store, settings.store_timeout);
    scheduler daemon(settings, std::move(store));
    const service_thread shutdown_thread("shutdown", [&daemon, &signals] {
        wait_for_shutdown_signal(signals);
        daemon.shut_down();
    });
    try {
        daemon.run();
    } catch (...) {
        std::raise(SIGTERM); // Ends the other thread.
        throw;
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs a scheduler, which owns shards and places tasks on workers\n"
                            "usage: flamingoseam-scheduler --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return flamingoseam::run_daemon(argv[0], run);
}
