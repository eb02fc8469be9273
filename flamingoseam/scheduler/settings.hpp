#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"
#include "flamingoseam/http/http_client.hpp"

#include <string>
#include <vector>

namespace flamingoseam {

/// One shard of the cell: a group of racks in one zone. Every process has the same list.
struct shard_setting {
    std::string id;
    std::string zone;
    std::vector<std::string> racks;
    bool initial_share = true; ///< False for a shard added to a cell that already runs.
};

/// The layout of the cell.
struct cell_settings {
    std::vector<shard_setting> shards;
    resources capacity; ///< Of all workers together; bounds the sum of guarantees.
};

/// Settings of flamingoseam-scheduler.
struct scheduler_settings {
    std::string address;
    std::string zone;
    unsigned short rpc_port = 7400;
    unsigned short operator_port = 7401;
    endpoint store;
    endpoint vm_list;
    std::vector<endpoint> peers;                  ///< RPC interfaces of the other schedulers.
    std::vector<std::string> operator_key_hashes; ///< BLAKE2b-256, hexadecimal.
    std::string span_file;
    milliseconds store_timeout{1000};
    milliseconds member_lease{2000};    ///< Others take shards over after it has lapsed.
    milliseconds worker_lease{6000};    ///< Workers stop tasks that long after the last renewal.
    milliseconds drain_timeout{20'000}; ///< Longest wait for calls in progress on shutdown.
    milliseconds isolation_grace{3000}; ///< Without store and peers, calls are refused after it.
    cell_settings cell;
};

/// Reads settings of a scheduler from a TOML file; the layout comes from the file that its key
/// `cell` names, relative to the settings' own folder.
/// Throws config_error (ids 201 to 205) that names file, key, value and bounds.
scheduler_settings read_scheduler_settings(const std::string& file);

/// Reads the layout of the cell. Throws as above.
cell_settings read_cell_settings(const std::string& file);

} // namespace flamingoseam
