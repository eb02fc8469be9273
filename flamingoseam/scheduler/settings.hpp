#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/resources.hpp"
#include "flamingoseam/http/http_client.hpp"

#include <string>
#include <vector>

namespace flamingoseam {

/// One shard of the cell: a group of racks in one zone. The list of shards must be the same in all
/// processes.
struct shard_setting {
    std::string id;
    std::string zone;
    std::vector<std::string> racks;
    bool initial_share = true; ///< False for a shard that is added to a running cell.
};

/// The layout of the cell.
struct cell_settings {
    std::vector<shard_setting> shards;
    resources capacity; ///< Total of all workers; limits the sum of guarantees.
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
    std::vector<std::string> operator_key_hashes; ///< BLAKE2b-256 in hexadecimal.
    std::string span_file;
    milliseconds store_timeout{1000};
    milliseconds member_lease{2000};    ///< After it has expired, others take over the shards.
    milliseconds worker_lease{6000};    ///< Workers stop tasks this long after the last renewal.
    milliseconds drain_timeout{20'000}; ///< Maximum wait for calls in progress on shutdown.
    milliseconds isolation_grace{3000}; ///< Calls are refused after this time without contact
                                        ///< to the store and to all peers.
    cell_settings cell;
};

/// Reads the settings of a scheduler from a TOML file. The layout of the cell is read from the file
/// that the key `cell` names, relative to the folder of the settings file.
/// Throws config_error (ids 201 to 205), which names file, key, value and bounds.
scheduler_settings read_scheduler_settings(const std::string& file);

/// Reads the layout of the cell. Throws config_error as read_scheduler_settings does.
cell_settings read_cell_settings(const std::string& file);

} // namespace flamingoseam
