#include "flamingoseam/scheduler/settings.hpp"

#include "flamingoseam/config/checked_table.hpp"
#include "flamingoseam/config/settings_helpers.hpp"
#include "flamingoseam/core/error.hpp"

namespace flamingoseam {

cell_settings read_cell_settings(const std::string& file)
{
    cell_settings cell;
    auto root = read_toml_file(file);
    for (auto& table : root.get_tables("shard")) {
        shard_setting shard;
        shard.id = table.get_required_string("id");
        shard.zone = table.get_required_string("zone");
        shard.racks = table.get_strings("racks");
        shard.initial_share = table.get_integer("initial_share", 1, {0, 1}) == 1;
        table.finish();
        cell.shards.push_back(std::move(shard));
    }
    if (cell.shards.empty()) {
        root.fail(204, "shard", "at least one [[shard]] is required");
    }
    auto capacity = root.get_table("capacity");
    cell.capacity.milli_cpus = capacity.get_integer("processors", 0, {1, 100'000'000}) * 1000;
    cell.capacity.memory_mb = capacity.get_integer("memory_gb", 0, {1, 1'000'000'000}) * 1000;
    cell.capacity.accelerators = capacity.get_integer("accelerators", 0, {0, 10'000'000});
    cell.capacity.slots = capacity.get_integer("slots", 0, {1, 100'000'000});
    capacity.finish();
    root.finish();
    return cell;
}

scheduler_settings read_scheduler_settings(const std::string& file)
{
    scheduler_settings settings;
    auto root = read_toml_file(file);
    settings.address = root.get_required_string("address");
    settings.zone = root.get_required_string("zone");
    settings.rpc_port = detail::read_port(root, "rpc_port", settings.rpc_port);
    settings.operator_port = detail::read_port(root, "operator_port", settings.operator_port);
    settings.store = detail::read_endpoint(root, "store");
    settings.vm_list = detail::read_endpoint(root, "vm_list");
    settings.peers = detail::read_endpoints(root, "peers");
    settings.operator_key_hashes = root.get_strings("operator_key_hashes");
    settings.span_file = root.get_string("span_file", "");
    settings.store_timeout =
        root.get_duration("store_timeout_ms", settings.store_timeout, {50, 60'000});
    settings.member_lease =
        root.get_duration("member_lease_ms", settings.member_lease, {500, 60'000});
    settings.worker_lease =
        root.get_duration("worker_lease_ms", settings.worker_lease, {1500, 600'000});
    settings.drain_timeout =
        root.get_duration("drain_timeout_ms", settings.drain_timeout, {0, 600'000});
    settings.isolation_grace =
        root.get_duration("isolation_grace_ms", settings.isolation_grace, {500, 60'000});
    const auto cell = root.get_required_string("cell");
    root.finish();
    settings.cell = read_cell_settings(detail::resolve_path(file, cell));
    return settings;
}

} // namespace flamingoseam
