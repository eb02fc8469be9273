#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/entry/entry.hpp"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(settings, "", "TOML file with the entry's settings");
DEFINE_bool(check, false, "check the settings and exit: 0 when they are good, 1 when not");

namespace {

void run()
{
    using namespace flamingoseam;
    const auto settings = read_entry_settings(FLAGS_settings);
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": good\n";
        return;
    }
    const auto signals = block_end_signals();
    entry daemon(settings);
    wait_for_end(signals);
    daemon.shut_down();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("meets callers and brings their requests to schedulers\n"
                            "usage: flamingoseam-entry --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return flamingoseam::run_daemon(argv[0], run);
}
