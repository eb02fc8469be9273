/// An in-memory stand-in for the platform's configuration store with compare-and-swap, leases,
/// watches, and faults that tests select.
#include "flamingoseam/core/error.hpp"
#include "flamingoseam/daemon/daemon.hpp"
#include "flamingoseam/http/http_server.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/log/log.hpp"
#include "flamingoseam/store/messages.hpp"

#include <gflags/gflags.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 7100, "TCP port to listen on");

namespace flamingoseam::standin {

/// The faults that a test can select.
enum class fault { none, down, slow, lose_answers };

/// Number of calls by kind. The platform counts each call, so tests check the numbers.
struct call_counts {
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    std::int64_t leases = 0;
    std::int64_t watches = 0;
    std::int64_t waiting_watches = 0;
    std::int64_t largest_value_bytes = 0;
};

void operator<<=(cxxtools::SerializationInfo& info, const call_counts& value)
{
    info.addMember("reads") <<= value.reads;
    info.addMember("writes") <<= value.writes;
    info.addMember("leases") <<= value.leases;
    info.addMember("watches") <<= value.watches;
    info.addMember("waiting_watches") <<= value.waiting_watches;
    info.addMember("largest_value_bytes") <<= value.largest_value_bytes;
}

/// The state of the store and its HTTP interface. Thread-safe.
class memory_store {
public:
    http_response handle(const http_request& request)
    {
        if (request.path == "/v1/fault") {
            return set_fault(request);
        }
        if (request.path == "/v1/counters") {
            const std::lock_guard lock(mutex_);
            return {.body = to_json(counts_)};
        }
        const auto mode = current_fault();
        if (mode == fault::down) {
            return {.status = 503, .body = "{}"};
        }
        if (mode == fault::slow) {
            std::this_thread::sleep_for(delay());
        }
        auto response = dispatch(request);
        if (mode == fault::lose_answers && request.path == "/v1/cas" && take_lost_answer()) {
            return {.status = 504, .body = "{}"};
        }
        return response;
    }

private:
    http_response dispatch(const http_request& request)
    {
        if (request.path == "/v1/kv") {
            return {.body = to_json(get(request.query_or("key", "")))};
        }
        if (request.path == "/v1/list") {
            return {.body = to_json(list(request.query_or("prefix", "")))};
        }
        if (request.path == "/v1/cas") {
            return {.body = to_json(swap(from_json<swap_request>(request.body)))};
        }
        if (request.path == "/v1/lease") {
            return {.body = to_json(keep_alive(from_json<lease_message>(request.body)))};
        }
        if (request.path == "/v1/watch") {
            return {.body = to_json(watch(request))};
        }
        return {.status = 404, .body = "{}"};
    }

    http_response set_fault(const http_request& request)
    {
        const auto name = request.query_or("mode", "none");
        const std::lock_guard lock(mutex_);
        fault_ = name == "down"           ? fault::down
                 : name == "slow"         ? fault::slow
                 : name == "lose_answers" ? fault::lose_answers
                                          : fault::none;
        delay_ = milliseconds(std::stoi(request.query_or("delay_ms", "0")));
        answers_to_lose_ = std::stoi(request.query_or("count", "0"));
        changed_.notify_all();
        return {.body = "{}"};
    }

    fault current_fault()
    {
        const std::lock_guard lock(mutex_);
        return fault_;
    }

    milliseconds delay()
    {
        const std::lock_guard lock(mutex_);
        return delay_;
    }

    bool take_lost_answer()
    {
        const std::lock_guard lock(mutex_);
        return answers_to_lose_-- > 0;
    }

    get_response get(const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        ++counts_.reads;
        expire_leases();
        const auto found = records_.find(key);
        if (found == records_.end() || found->second.deleted) {
            return {};
        }
        return {.found = true, .record = found->second};
    }

    store_events list(const std::string& prefix)
    {
        const std::lock_guard lock(mutex_);
        ++counts_.reads;
        expire_leases();
        store_events events{.revision = revision_, .records = {}};
        for (const auto& [key, record] : records_) {
            if (key.starts_with(prefix) && !record.deleted) {
                events.records.push_back(record);
            }
        }
        return events;
    }

    swap_result swap(const swap_request& request)
    {
        const std::lock_guard lock(mutex_);
        ++counts_.writes;
        expire_leases();
        auto& record = records_[request.key];
        const auto version = record.deleted ? 0 : record.version;
        const bool lease_gone = !request.lease.empty() && !leases_.contains(request.lease);
        if (version != request.expected_version || lease_gone) {
            return {.swapped = false, .current = record};
        }
        counts_.largest_value_bytes =
            std::max(counts_.largest_value_bytes, static_cast<std::int64_t>(request.value.size()));
        record.key = request.key;
        record.value = request.value;
        record.version = version + 1;
        record.revision = ++revision_;
        record.deleted = false;
        if (!request.lease.empty()) {
            lease_of_[request.key] = request.lease;
        }
        changed_.notify_all();
        return {.swapped = true, .current = record};
    }

    lease_message keep_alive(const lease_message& message)
    {
        const std::lock_guard lock(mutex_);
        ++counts_.leases;
        expire_leases();
        auto id = message.id;
        if (id.empty()) {
            id = "lease-" + std::to_string(++next_lease_);
        } else if (!leases_.contains(id)) {
            return {};
        }
        leases_[id] = now() + message.time_to_live;
        return {.id = id, .time_to_live = message.time_to_live};
    }

    store_events watch(const http_request& request)
    {
        const auto prefix = request.query_or("prefix", "");
        const auto after = std::stoull(request.query_or("after", "0"));
        const auto until = now() + milliseconds(std::stoi(request.query_or("wait_ms", "0")));
        std::unique_lock lock(mutex_);
        ++counts_.watches;
        ++counts_.waiting_watches;
        while (true) {
            expire_leases();
            store_events events{.revision = revision_, .records = {}};
            for (const auto& [key, record] : records_) {
                if (record.revision > after && key.starts_with(prefix)) {
                    events.records.push_back(record);
                }
            }
            if (!events.records.empty() || now() >= until || fault_ == fault::down) {
                --counts_.waiting_watches;
                return events;
            }
            changed_.wait_until(lock, std::min(until, now() + milliseconds(100)));
        }
    }

    void expire_leases()
    {
        const auto time = now();
        for (auto it = lease_of_.begin(); it != lease_of_.end();) {
            const auto lease = leases_.find(it->second);
            if (lease != leases_.end() && lease->second > time) {
                ++it;
                continue;
            }
            auto& record = records_[it->first];
            record.deleted = true;
            record.value.clear();
            record.revision = ++revision_;
            it = lease_of_.erase(it);
            changed_.notify_all();
        }
        std::erase_if(leases_, [time](const auto& entry) { return entry.second <= time; });
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, store_record> records_;
    std::map<std::string, std::string> lease_of_; ///< By key of the record.
    std::map<std::string, time_point> leases_;    ///< Expiry by id.
    std::uint64_t revision_ = 0;
    int next_lease_ = 0;
    fault fault_ = fault::none;
    milliseconds delay_{0};
    int answers_to_lose_ = 0;
    call_counts counts_;
};

} // namespace flamingoseam::standin

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("stand-in for the platform's configuration store");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    flamingoseam::init_logging(argv[0]);
    const auto signals = flamingoseam::block_shutdown_signals();
    flamingoseam::standin::memory_store store;
    const flamingoseam::http_server server(
        {.address = FLAGS_address,
         .port = static_cast<unsigned short>(FLAGS_port),
         .max_threads = 128,
         .max_body_bytes = 2'000'000},
        [&store](const auto& request) { return store.handle(request); });
    flamingoseam::wait_for_shutdown_signal(signals);
    return 0;
}
