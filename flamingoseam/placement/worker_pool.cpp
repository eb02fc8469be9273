#include "flamingoseam/placement/worker_pool.hpp"

#include <algorithm>

namespace flamingoseam {

const char* to_string(worker_status value)
{
    switch (value) {
    case worker_status::unfenced:
        return "unfenced";
    case worker_status::active:
        return "active";
    case worker_status::leaving:
        return "leaving";
    case worker_status::quarantined:
        return "quarantined";
    case worker_status::lost:
        break;
    }
    return "lost";
}

std::size_t worker_pool::add(const std::string& address, const std::string& zone,
                             const std::string& rack)
{
    const auto [entry, is_new] = index_.emplace(address, workers_.size());
    if (is_new) {
        pool_worker worker;
        worker.address = address;
        worker.zone = zone;
        worker.rack = rack;
        workers_.push_back(std::move(worker));
    }
    auto& worker = workers_.at(entry->second);
    if (worker.zone.empty()) {
        worker.zone = zone;
        worker.rack = rack;
    }
    return entry->second;
}

std::optional<std::size_t> worker_pool::find(const std::string& address) const
{
    const auto found = index_.find(address);
    if (found == index_.end()) {
        return std::nullopt;
    }
    return found->second;
}

template <typename Change> void worker_pool::change(std::size_t index, Change&& apply)
{
    auto& worker = workers_.at(index);
    if (worker.accepts()) {
        active_capacity_ -= worker.capacity;
        active_free_ -= worker.free();
    }
    apply(worker);
    if (worker.accepts()) {
        active_capacity_ += worker.capacity;
        active_free_ += worker.free();
    }
}

void worker_pool::set_status(std::size_t index, worker_status status)
{
    change(index, [status](pool_worker& worker) { worker.status = status; });
}

void worker_pool::set_capacity(std::size_t index, const std::string& incarnation,
                               const resources& capacity)
{
    change(index, [&](pool_worker& worker) {
        worker.incarnation = incarnation;
        worker.capacity = capacity;
    });
}

void worker_pool::reserve(std::size_t index, const resources& size)
{
    change(index, [&size](pool_worker& worker) { worker.reserved += size; });
}

void worker_pool::release(std::size_t index, const resources& size)
{
    change(index, [&size](pool_worker& worker) { worker.reserved -= size; });
}

void worker_pool::claim(std::size_t index, const resources& size)
{
    change(index, [&size](pool_worker& worker) { worker.claimed += size; });
}

void worker_pool::unclaim(std::size_t index, const resources& size)
{
    change(index, [&size](pool_worker& worker) { worker.claimed -= size; });
}

bool worker_pool::could_ever_fit(const resources& size) const
{
    return std::ranges::any_of(
        workers_, [&size](const pool_worker& worker) { return fits(size, worker.capacity); });
}

} // namespace flamingoseam
