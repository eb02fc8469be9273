#pragma once

#include "flamingoseam/core/resources.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace flamingoseam {

/// State of a worker, which decides whether new tasks may be placed on it.
enum class worker_status {
    unfenced,    ///< It has not yet accepted this owner's epoch; no task is started on it.
    active,      ///< It accepts new tasks.
    leaving,     ///< The platform is removing it; its tasks end or move.
    quarantined, ///< Too many tasks in a row failed on it.
    lost,        ///< It has not answered for longer than the length of its lease.
};

/// Returns the status's name in lower case. Complexity: constant.
const char* to_string(worker_status value);

/// Properties and allocated capacity of a worker, as used for placement.
struct pool_worker {
    std::string address;
    std::string zone;
    std::string rack;
    std::string incarnation; ///< Empty until the worker has answered.
    resources capacity;      ///< Zero until the worker has reported it.
    resources reserved;      ///< Allocated to tasks that were started and have not ended.
    resources claimed;       ///< Earmarked for work that waits until other runs are preempted.
    worker_status status = worker_status::unfenced;

    /// Returns the capacity that is available to new tasks. Fields may be negative after a worker's
    /// capacity has decreased.
    [[nodiscard]] resources free() const { return capacity - reserved - claimed; }

    /// Checks whether new tasks may be placed here. Complexity: constant.
    [[nodiscard]] bool accepts() const { return status == worker_status::active; }
};

/// The workers of one shard and the capacity reserved on them. Indices stay valid for the lifetime
/// of the pool.
class worker_pool {
public:
    /// Adds a worker and returns its index, or returns the existing index if the address is known.
    /// Fills in the zone and rack if they were unknown. Complexity: constant.
    std::size_t add(const std::string& address, const std::string& zone, const std::string& rack);

    /// Returns the index of the worker with this address, or none if it is unknown. Complexity:
    /// constant.
    [[nodiscard]] std::optional<std::size_t> find(const std::string& address) const;

    [[nodiscard]] const std::vector<pool_worker>& workers() const { return workers_; }
    [[nodiscard]] const pool_worker& at(std::size_t index) const { return workers_.at(index); }
    [[nodiscard]] std::size_t size() const { return workers_.size(); }

    /// Sets the status of a worker. Complexity: constant.
    void set_status(std::size_t index, worker_status status);

    /// Sets the incarnation and capacity that a worker has reported. Complexity: constant.
    void set_capacity(std::size_t index, const std::string& incarnation, const resources& capacity);

    void reserve(std::size_t index, const resources& size);
    void release(std::size_t index, const resources& size);
    void claim(std::size_t index, const resources& size);
    void unclaim(std::size_t index, const resources& size);

    /// Returns the total capacity of all active workers. Complexity: constant.
    [[nodiscard]] const resources& active_capacity() const { return active_capacity_; }

    /// Returns the total free capacity of all active workers. Complexity: constant.
    [[nodiscard]] const resources& active_free() const { return active_free_; }

    /// Checks whether `size` fits on any known worker when that worker is empty. Complexity:
    /// linear.
    [[nodiscard]] bool could_ever_fit(const resources& size) const;

private:
    template <typename Change> void change(std::size_t index, Change&& apply);

    std::vector<pool_worker> workers_;
    std::unordered_map<std::string, std::size_t> index_;
    resources active_capacity_;
    resources active_free_;
};

} // namespace flamingoseam
