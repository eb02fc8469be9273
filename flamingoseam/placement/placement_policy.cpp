#include "flamingoseam/placement/placement_policy.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace flamingoseam {

namespace {

bool is_candidate(const pool_worker& worker, std::size_t index, const placement_query& query)
{
    if (!worker.accepts() || !fits(query.size, worker.free())) {
        return false;
    }
    const bool zone_allowed =
        query.zones.empty() || std::ranges::find(query.zones, worker.zone) != query.zones.end();
    return zone_allowed && !(query.skip && query.skip(index));
}

/// Returns the index of the candidate with the lowest score, or none if there is no candidate. Ties
/// go to the lowest index.
template <typename Score>
std::optional<std::size_t> lowest(const worker_pool& pool, const placement_query& query,
                                  Score&& score)
{
    std::optional<std::size_t> best;
    decltype(score(pool.workers().front())) best_score{};
    for (std::size_t i = 0; i < pool.size(); ++i) {
        const auto& worker = pool.workers()[i];
        if (!is_candidate(worker, i, query)) {
            continue;
        }
        const auto value = score(worker);
        if (!best || value < best_score) {
            best = i;
            best_score = value;
        }
    }
    return best;
}

double share(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

/// Returns the fractions of a worker's processors and memory that stay free after a task of this
/// size is placed on it, summed. A low value is a tight fit.
double leftover(const pool_worker& worker, const resources& size)
{
    const auto rest = worker.free() - size;
    return share(rest.milli_cpus, worker.capacity.milli_cpus) +
           share(rest.memory_mb, worker.capacity.memory_mb);
}

bool wastes_accelerators(const pool_worker& worker, const resources& size)
{
    return size.accelerators == 0 && worker.capacity.accelerators > 0;
}

class least_loaded_policy : public placement_policy {
public:
    std::optional<std::size_t> choose(const worker_pool& pool,
                                      const placement_query& query) override
    {
        return lowest(pool, query, [&query](const pool_worker& worker) {
            return std::tuple(wastes_accelerators(worker, query.size),
                              dominant_share(worker.capacity - worker.free(), worker.capacity));
        });
    }
};

class best_fit_policy : public placement_policy {
public:
    std::optional<std::size_t> choose(const worker_pool& pool,
                                      const placement_query& query) override
    {
        return lowest(pool, query, [&query](const pool_worker& worker) {
            return std::tuple(wastes_accelerators(worker, query.size),
                              leftover(worker, query.size));
        });
    }
};

int count_of(const std::map<std::string, int>& counts, const std::string& key)
{
    const auto found = counts.find(key);
    return found == counts.end() ? 0 : found->second;
}

class spread_policy : public placement_policy {
public:
    std::optional<std::size_t> choose(const worker_pool& pool,
                                      const placement_query& query) override
    {
        static const job_spread none;
        const auto& spread = query.spread == nullptr ? none : *query.spread;
        return lowest(pool, query, [&query, &spread](const pool_worker& worker) {
            return std::tuple(
                count_of(spread.per_rack, worker.rack), count_of(spread.per_zone, worker.zone),
                wastes_accelerators(worker, query.size), leftover(worker, query.size));
        });
    }
};

class first_fit_policy : public placement_policy {
public:
    std::optional<std::size_t> choose(const worker_pool& pool,
                                      const placement_query& query) override
    {
        for (std::size_t i = 0; i < pool.size(); ++i) {
            if (is_candidate(pool.workers()[i], i, query)) {
                return i;
            }
        }
        return std::nullopt;
    }
};

class random_policy : public placement_policy {
public:
    explicit random_policy(std::uint64_t seed) : engine_(seed) {}

    std::optional<std::size_t> choose(const worker_pool& pool,
                                      const placement_query& query) override
    {
        std::vector<std::size_t> candidates;
        for (std::size_t i = 0; i < pool.size(); ++i) {
            if (is_candidate(pool.workers()[i], i, query)) {
                candidates.push_back(i);
            }
        }
        if (candidates.empty()) {
            return std::nullopt;
        }
        std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
        return candidates[pick(engine_)];
    }

private:
    std::mt19937_64 engine_;
};

} // namespace

std::unique_ptr<placement_policy> make_least_loaded_policy()
{
    return std::make_unique<least_loaded_policy>();
}

std::unique_ptr<placement_policy> make_best_fit_policy()
{
    return std::make_unique<best_fit_policy>();
}

std::unique_ptr<placement_policy> make_spread_policy()
{
    return std::make_unique<spread_policy>();
}

std::unique_ptr<placement_policy> make_first_fit_policy()
{
    return std::make_unique<first_fit_policy>();
}

std::unique_ptr<placement_policy> make_random_policy(std::uint64_t seed)
{
    return std::make_unique<random_policy>(seed);
}

std::vector<std::size_t> place_all_or_none(worker_pool& pool, placement_policy& policy,
                                           const placement_query& query, int count)
{
    std::vector<std::size_t> chosen;
    for (int i = 0; i < count; ++i) {
        const auto worker = policy.choose(pool, query);
        if (!worker) {
            for (const auto index : chosen) {
                pool.release(index, query.size);
            }
            return {};
        }
        pool.reserve(*worker, query.size);
        chosen.push_back(*worker);
    }
    return chosen;
}

} // namespace flamingoseam
