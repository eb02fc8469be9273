/// A stand-in for the platform's list of VMs. Reads the VMs from a TOML file at startup. Tests
/// change the state of a VM over HTTP; readers see a change only after a configured delay.
#include "flamingoseam/config/checked_table.hpp"
#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/log/log.hpp"
#include "flamingoseam/worker/vm_list.hpp"

#include <gflags/gflags.h>

#include <iostream>
#include <mutex>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 7200, "TCP port to listen on");
DEFINE_int32(lag_ms, 1000, "delay in milliseconds until readers see a change");
DEFINE_string(vms, "", "TOML file with [[vm]] tables: address, zone, rack");

namespace {

using namespace flamingoseam;

/// The list as readers see it, with the changes that they do not see yet.
class lagging_list {
public:
    lagging_list(vm_list vms, milliseconds lag) : vms_(std::move(vms)), lag_(lag) {}

    http_response handle(const http_request& request)
    {
        const std::lock_guard lock(mutex_);
        publish();
        if (request.path == "/v1/vms") {
            return {.body = to_json(vms_)};
        }
        if (request.path == "/v1/set") {
            pending_.push_back({.due = now() + lag_,
                                .address = request.query_or("address", ""),
                                .state = request.query_or("state", "live")});
            return {.body = "{}"};
        }
        return {.status = 404, .body = "{}"};
    }

private:
    struct change {
        time_point due;
        std::string address;
        std::string state;
    };

    /// Applies the changes that are due.
    void publish()
    {
        while (!pending_.empty() && pending_.front().due <= now()) {
            apply(pending_.front());
            pending_.erase(pending_.begin());
        }
    }

    void apply(const change& update)
    {
        if (update.state == "gone") {
            std::erase_if(vms_.vms,
                          [&update](const auto& vm) { return vm.address == update.address; });
            return;
        }
        for (auto& vm : vms_.vms) {
            if (vm.address == update.address) {
                vm.leaving = update.state == "leaving";
            }
        }
    }

    std::mutex mutex_;
    vm_list vms_;
    milliseconds lag_;
    std::vector<change> pending_;
};

vm_list read_vms(const std::string& file)
{
    vm_list result;
    auto root = read_toml_file(file);
    for (auto& table : root.get_tables("vm")) {
        result.vms.push_back({.address = table.get_required_string("address"),
                              .zone = table.get_required_string("zone"),
                              .rack = table.get_required_string("rack")});
        table.finish();
    }
    root.finish();
    return result;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for the platform's list of VMs");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    flamingoseam::init_logging(argv[0]);
    const auto signals = flamingoseam::block_shutdown_signals();
    try {
        lagging_list list(read_vms(FLAGS_vms), milliseconds(FLAGS_lag_ms));
        const http_server server({.address = FLAGS_address,
                                  .port = static_cast<unsigned short>(FLAGS_port),
                                  .max_threads = 64},
                                 [&list](const auto& request) { return list.handle(request); });
        flamingoseam::wait_for_shutdown_signal(signals);
    } catch (const std::exception& cause) {
        std::cerr << cause.what() << '\n';
        return 1;
    }
    return 0;
}
