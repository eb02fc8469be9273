#include "flamingoseam/workflow/worker_assignment.hpp"

#include "flamingoseam/core/read_json.hpp"

namespace flamingoseam::workflow {

namespace {

constexpr std::int64_t max_shard = 65'535;
constexpr std::int64_t max_token_base = std::int64_t{1} << 52;

} // namespace

std::string write_assignment(const worker_assignment& value)
{
    return nlohmann::json{{"shard", value.shard}, {"token_base", value.token_base}}.dump();
}

worker_assignment read_assignment(const std::string& text)
{
    return read_json(text, 142, "the assignment of a worker", [](const nlohmann::json& value) {
        return worker_assignment{.shard = static_cast<std::size_t>(
                                     read_integer(value, "shard", {.min = 0, .max = max_shard})),
                                 .token_base = static_cast<std::uint64_t>(read_integer(
                                     value, "token_base", {.min = 1, .max = max_token_base}))};
    });
}

} // namespace flamingoseam::workflow
