#include "flamingoseam/node/cell_layout.hpp"

#include "flamingoseam/core/read_json.hpp"

#include <algorithm>

namespace flamingoseam::node {

namespace {

constexpr milliseconds commit_timeout{1'000};
/// Workers that an owner with one whole processor can drive.
constexpr double workers_per_processor = 300;

std::size_t read_shards(const std::string& text)
{
    return read_json(text, 141, "the layout of the cell", [](const nlohmann::json& value) {
        return static_cast<std::size_t>(
            read_integer(value, "shards", {.min = 1, .max = std::int64_t{1} << 16}));
    });
}

} // namespace

std::size_t shards_for(std::size_t workers, std::vector<double> processor_shares,
                       const layout_options& options)
{
    if (options.workers_per_shard > 0) {
        const auto needed = (workers + options.workers_per_shard - 1) / options.workers_per_shard;
        return std::clamp<std::size_t>(needed, 1, options.max_shards);
    }
    std::ranges::sort(processor_shares, std::ranges::greater());
    processor_shares.resize(std::min(processor_shares.size(), options.max_shards));
    std::size_t best = 1;
    double most_driven = 0;
    for (std::size_t owner = 0; owner < processor_shares.size(); ++owner) {
        const auto shards = owner + 1;
        const double driven =
            static_cast<double>(shards) * processor_shares[owner] * workers_per_processor;
        if (driven >= static_cast<double>(workers)) {
            return shards;
        }
        if (driven > most_driven) {
            best = shards;
            most_driven = driven;
        }
    }
    return best;
}

layout_agreement::layout_agreement(layout_options options, std::unique_ptr<shared_store> store,
                                   std::unique_ptr<worker_directory> workers)
    : options_(std::move(options)), store_(std::move(store)), workers_(std::move(workers))
{
}

/// Returns the stored number of shards, none if the cell has no layout.
std::optional<std::size_t> layout_agreement::read_layout()
{
    if (const auto stored = store_->get(options_.store_prefix + "layout")) {
        return read_shards(stored->value);
    }
    const bool has_older_state = !store_->list(options_.store_prefix + "head/", "").records.empty();
    return has_older_state ? std::optional<std::size_t>(1) : std::nullopt;
}

/// Returns the number of shards for the listed workers, none while their number still changes.
std::optional<std::size_t> layout_agreement::choose(const std::vector<double>& processor_shares,
                                                    time_point time)
{
    const auto workers = workers_->next();
    const auto listed = workers ? workers->size() : listed_;
    if (listed != listed_ || processor_shares.size() != nodes_) {
        listed_ = listed;
        nodes_ = processor_shares.size();
        unchanged_since_ = time;
    }
    if (listed_ == 0 || nodes_ == 0 || time - unchanged_since_ < options_.settling_time) {
        return std::nullopt;
    }
    return shards_for(listed_, processor_shares, options_);
}

std::optional<std::size_t> layout_agreement::try_agree(const std::vector<double>& processor_shares,
                                                       time_point time)
{
    if (const auto stored = read_layout()) {
        return stored;
    }
    const auto chosen = choose(processor_shares, time);
    if (!chosen) {
        return std::nullopt;
    }
    const auto key = options_.store_prefix + "layout";
    const auto text = nlohmann::json{{"shards", *chosen}}.dump();
    const auto result = store_->commit(
        {.conditions = {{.key = key, .revision = 0}}, .writes = {{key, text}}}, commit_timeout);
    return result.applied ? chosen : read_layout();
}

} // namespace flamingoseam::node
