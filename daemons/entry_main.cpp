#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/entry/entry.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "TOML file with the entry's settings");
DEFINE_bool(check, false, "validate the settings and exit with 0 when they are valid, else with 1");

namespace {

void run()
{
    using namespace flamingoseam;
    const auto settings = read_entry_settings(FLAGS_settings);
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": good\n";
        return;
    }
    const auto signals = block_shutdown_signals();
    entry daemon(settings);
    wait_for_shutdown_signal(signals);
    daemon.shut_down();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "runs an entry, which accepts requests of callers and forwards them to schedulers\n"
        "usage: flamingoseam-entry --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return flamingoseam::run_daemon(argv[0], run);
}
