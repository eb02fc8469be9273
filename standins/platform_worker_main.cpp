/// A stand-in for one worker of the users' platform, as a process of its own. It registers itself
/// in the store, and appends what happens to its runs to a file that several workers may share.
#include "flamingoseam/core/error.hpp"
#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "platform/kv_store.hpp"
#include "standins/platform_worker.hpp"

#include <gflags/gflags.h>
#include <glog/logging.h>

#include <fcntl.h>
#include <unistd.h>

DEFINE_string(id, "w1", "id of the worker in the store");
DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 7100, "TCP port to listen on");
DEFINE_string(registered_address, "", "ADDRESS:PORT under which nodes reach the worker");
DEFINE_string(store, "", "ADDRESS:PORT of the store");
DEFINE_string(record, "", "file to which the record of runs is appended");
DEFINE_string(service, "service", "service whose tasks the worker runs");
DEFINE_int32(processors, 16, "processors of the worker");
DEFINE_int32(ticket_validity_ms, 0,
             "time for which a ticket of the permission service is valid, 0 if none is needed");

namespace flamingoseam::standin {

namespace {

using nlohmann::json;

constexpr milliseconds heartbeat{1'500};
constexpr milliseconds entry_lifetime{4'500}; ///< Three heartbeats.
constexpr milliseconds write_timeout{1'000};
constexpr milliseconds retry_interval{200};
constexpr milliseconds leaving_notice{2'000};
constexpr unsigned server_threads = 16; ///< For orders and for long polls.

/// Appends one line of JSON for each event of a run or of the worker's lease.
class run_record final : public run_observer {
public:
    explicit run_record(const std::string& file)
        : descriptor_(::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
    {
        write({{"event", "up"}});
    }
    ~run_record() override { ::close(descriptor_); }
    run_record(const run_record&) = delete;
    run_record& operator=(const run_record&) = delete;

    /// Gives an order of unknown age no `age_ms`.
    void on_begin(const run_id& run, const run_order& order) override
    {
        json fields = {{"event", "begin"}, {"task", run.task}, {"run", run.number}};
        fields["token"] = order.token;
        if (order.age) {
            fields["age_ms"] = order.age->count();
        }
        write(std::move(fields));
    }
    void on_end(std::int64_t number, const run_id& run, const std::string& how) override
    {
        write({{"event", "end"},
               {"task", run.task},
               {"run", run.number},
               {"how", how},
               {"number", number}});
    }
    void on_acknowledged(const run_id& run, const std::string& how, std::int64_t token) override
    {
        write({{"event", "acknowledged"},
               {"task", run.task},
               {"run", run.number},
               {"how", how},
               {"token", token}});
    }
    void on_lease_lapsed(wall_time time) override { write({{"event", "lease_lapsed"}}, time); }
    void on_late_start() override { write({{"event", "late_start"}}); }
    void on_start_without_ticket(const run_id& run) override
    {
        write({{"event", "no_ticket"}, {"task", run.task}, {"run", run.number}});
    }

private:
    void write(json fields, wall_time time = wall_now())
    {
        fields["worker"] = FLAGS_id;
        fields["life"] = life_.count();
        fields["time_ms"] = time.count();
        const auto line = fields.dump() + "\n";
        if (::write(descriptor_, line.data(), line.size()) < 0) {
            PLOG(ERROR) << "can't write the record of runs";
        }
    }

    wall_time life_ = wall_now(); ///< When the worker was started.
    int descriptor_;
};

json entry_of(const platform_worker& worker)
{
    return {{"service", FLAGS_service},
            {"address", FLAGS_registered_address},
            {"zone", "zone"},
            {"state", "ready"},
            {"born", worker.start_wall_ms()},
            {"capacity", {{"cpu", FLAGS_processors * 1000}, {"memMb", 32'000}, {"gpu", 0}}},
            {"labels", {"a", "r1"}}};
}

/// Keeps the worker's entry in the store under a lease.
[[noreturn]] void keep_registered(const platform_worker& worker)
{
    platform::kv_store store(endpoint_from_string(FLAGS_store));
    std::uint64_t lease = 0;
    while (true) {
        try {
            if (lease == 0 || !store.renew_lease(lease)) {
                lease = store.grant_lease(entry_lifetime);
                shared_transaction entry;
                entry.writes.push_back({"servers/" + FLAGS_id, entry_of(worker).dump(), lease});
                store.commit(entry, write_timeout);
            }
            std::this_thread::sleep_for(heartbeat);
        } catch (const error& cause) {
            LOG(WARNING) << "the store does not answer: " << cause.what();
            lease = 0;
            std::this_thread::sleep_for(retry_interval);
        }
    }
}

void serve()
{
    const auto signals = block_shutdown_signals();
    run_record record(FLAGS_record);
    const auto validity = FLAGS_ticket_validity_ms > 0
                              ? std::optional(milliseconds(FLAGS_ticket_validity_ms))
                              : std::nullopt;
    platform_worker worker(FLAGS_id, leaving_notice, record, validity);
    const http_server server({.address = FLAGS_address,
                              .port = static_cast<unsigned short>(FLAGS_port),
                              .max_threads = server_threads,
                              .kept_headers = {"X-Expect-Instance"}},
                             [&](const http_request& request) { return worker.handle(request); });
    std::thread([&worker] { keep_registered(worker); }).detach();
    wait_for_shutdown_signal(signals);
    std::_Exit(0);
}

} // namespace

} // namespace flamingoseam::standin

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for one worker of the users' platform");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return flamingoseam::run_daemon(argv[0], flamingoseam::standin::serve);
}
