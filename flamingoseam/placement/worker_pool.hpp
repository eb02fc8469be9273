#pragma once

#include "flamingoseam/core/resources.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingoseam {

/// Whether a worker may be given new tasks.
enum class worker_status {
    unfenced,    ///< It has not yet accepted this owner's epoch; nothing is started on it.
    active,      ///< It may be given any task.
    leaving,     ///< The platform is taking it away; its tasks end or move.
    quarantined, ///< It failed too many tasks in a row.
    lost,        ///< It has not answered for longer than its lease.
};

/// Returns the status's name in lower case. Complexity: constant.
const char* to_string(worker_status value);

/// A worker as placement sees it.
struct pool_worker {
    std::string address;
    std::string zone;
    std::string rack;
    std::string incarnation; ///< Empty until the worker has answered.
    resources capacity;      ///< Zero until known.
    resources reserved;      ///< Held by tasks that were started and have not ended.
    resources claimed;       ///< Promised to work that waits for others to yield.
    worker_status status = worker_status::unfenced;

    /// Returns what a new task may take. Fields may be negative after a worker has shrunk.
    [[nodiscard]] resources free() const { return capacity - reserved - claimed; }

    /// Tells whether new tasks may be placed here. Complexity: constant.
    [[nodiscard]] bool accepts() const { return status == worker_status::active; }
};

/// The workers of one shard and what is reserved on them. Indices stay valid for the pool's life.
class worker_pool {
public:
    /// Adds a worker or returns the index that its address already has; a zone and rack that were
    /// unknown are filled in. Complexity: constant.
    std::size_t add(const std::string& address, const std::string& zone, const std::string& rack);

    /// Returns the index of an address, none when unknown. Complexity: constant.
    [[nodiscard]] std::optional<std::size_t> find(const std::string& address) const;

    [[nodiscard]] const std::vector<pool_worker>& workers() const { return workers_; }
    [[nodiscard]] const pool_worker& at(std::size_t index) const { return workers_.at(index); }
    [[nodiscard]] std::size_t size() const { return workers_.size(); }

    /// Sets the status of a worker. Complexity: constant.
    void set_status(std::size_t index, worker_status status);

    /// Sets what a worker has, as it reported it. Complexity: constant.
    void set_capacity(std::size_t index, const std::string& incarnation, const resources& capacity);

    void reserve(std::size_t index, const resources& size);
    void release(std::size_t index, const resources& size);
    void claim(std::size_t index, const resources& size);
    void unclaim(std::size_t index, const resources& size);

    /// Returns what active workers have in all. Complexity: constant.
    [[nodiscard]] const resources& active_capacity() const { return active_capacity_; }

    /// Returns what is free on active workers in all. Complexity: constant.
    [[nodiscard]] const resources& active_free() const { return active_free_; }

    /// Tells whether an empty worker of any known shape could hold `size`. Complexity: linear.
    [[nodiscard]] bool could_ever_fit(const resources& size) const;

private:
    template <typename Change> void change(std::size_t index, Change&& apply);

    std::vector<pool_worker> workers_;
    std::unordered_map<std::string, std::size_t> index_;
    resources active_capacity_;
    resources active_free_;
};

} // namespace flamingoseam
