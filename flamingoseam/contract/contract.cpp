#include "flamingoseam/contract/contract.hpp"

#include "flamingoseam/config/checked_table.hpp"
#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace flamingoseam {

namespace {

constexpr std::int64_t max_processors = 10'000'000;
constexpr std::int64_t max_memory_gb = 100'000'000;
constexpr std::int64_t max_accelerators = 1'000'000;
constexpr std::int64_t max_slots = 10'000'000;
constexpr std::int64_t max_wait_ms = 7LL * 24 * 3600 * 1000;

constexpr std::int64_t mb_per_gb = 1000;
constexpr std::int64_t milli_per_processor = 1000;

resources read_amount(checked_table table)
{
    resources amount;
    amount.milli_cpus =
        table.get_integer("processors", 0, {0, max_processors}) * milli_per_processor;
    amount.memory_mb = table.get_integer("memory_gb", 0, {0, max_memory_gb}) * mb_per_gb;
    amount.accelerators = table.get_integer("accelerators", 0, {0, max_accelerators});
    amount.slots = table.get_integer("slots", 0, {0, max_slots});
    table.finish();
    return amount;
}

void read_waits(checked_table table, contract& result)
{
    const std::array<std::pair<const char*, milliseconds>, work_class_count> keys = {
        {{"call_ms", std::chrono::seconds(1)},
         {"service_ms", std::chrono::minutes(1)},
         {"gang_ms", std::chrono::minutes(10)},
         {"batch_ms", std::chrono::hours(8)}}};
    for (std::size_t i = 0; i < keys.size(); ++i) {
        result.longest_wait.at(i) =
            table.get_duration(keys.at(i).first, keys.at(i).second, {1, max_wait_ms});
    }
    table.finish();
}

void read_preemption(checked_table table, contract& result)
{
    try {
        for (const auto& name : table.get_strings("order")) {
            result.yield_order.push_back(work_class_from_string(name));
        }
        result.preemption = preemption_method_from_string(table.get_string("by", "checkpoint"));
    } catch (const parse_error& cause) {
        table.fail(202, "", cause.what());
    }
    if (std::ranges::count(result.yield_order, work_class::call) > 0) {
        table.fail(206, "order", "names call; a call that has started is never preempted");
    }
    result.yield_grace = table.get_duration("grace_ms", result.yield_grace, {0, 2000});
    table.finish();
}

void read_retry(checked_table table, contract& result)
{
    result.retry_attempts = static_cast<int>(table.get_integer("attempts", 3, {1, 10}));
    result.retry_budget_percent =
        static_cast<int>(table.get_integer("budget_percent", 10, {0, 100}));
    result.retry_backoff = table.get_duration("backoff_ms", result.retry_backoff, {1, 10'000});
    table.finish();
}

contract read_contract(checked_table root)
{
    contract result;
    result.customer = root.get_required_string("customer");
    result.key_hashes = root.get_strings("key_hashes");
    result.zones = root.get_strings("zones");
    result.weight = static_cast<int>(root.get_integer("weight", 1, {1, 1000}));
    result.queue_limit = static_cast<int>(root.get_integer("queue_limit", 10'000, {1, 100'000}));
    result.guaranteed = read_amount(root.get_table("guaranteed"));
    result.ceiling = read_amount(root.get_table("ceiling"));
    read_waits(root.get_table("longest_wait"), result);
    read_preemption(root.get_table("yield"), result);
    read_retry(root.get_table("retry"), result);
    if (!fits(result.guaranteed, result.ceiling)) {
        root.fail(206, "guaranteed",
                  "is above the ceiling: " + to_json(result.guaranteed) + " against " +
                      to_json(result.ceiling));
    }
    root.finish();
    return result;
}

using field_map = std::map<std::string, std::string>;

void flatten(const std::string& path, const cxxtools::SerializationInfo& info, field_map& fields)
{
    if (info.memberCount() == 0) {
        std::string text;
        if (!info.isNull()) {
            info >>= text;
        }
        fields[path] = text;
        return;
    }
    for (std::size_t i = 0; i < info.memberCount(); ++i) {
        const auto& member = info.getMember(static_cast<unsigned>(i));
        const auto name = member.name().empty() ? std::to_string(i) : member.name();
        flatten(path.empty() ? name : path + "." + name, member, fields);
    }
}

field_map fields_of(const contract& value)
{
    cxxtools::SerializationInfo info;
    info <<= value;
    field_map fields;
    flatten("", info, fields);
    return fields;
}

std::string field_or_absent(const field_map& fields, const std::string& key)
{
    const auto found = fields.find(key);
    return found == fields.end() ? "(absent)" : found->second;
}

} // namespace

std::string_view to_string(preemption_method value)
{
    return value == preemption_method::stop ? "stop" : "checkpoint";
}

preemption_method preemption_method_from_string(std::string_view text)
{
    if (text == "stop") {
        return preemption_method::stop;
    }
    if (text == "checkpoint") {
        return preemption_method::checkpoint;
    }
    throw parse_error(105, "'" + std::string(text) + "' is none of checkpoint, stop");
}

bool contract::is_preemptible(work_class cls) const
{
    return std::ranges::find(yield_order, cls) != yield_order.end();
}

void operator<<=(cxxtools::SerializationInfo& info, const contract& value)
{
    std::vector<std::int64_t> waits;
    for (const auto wait : value.longest_wait) {
        waits.push_back(wait.count());
    }
    std::vector<std::string> order;
    for (const auto cls : value.yield_order) {
        order.emplace_back(to_string(cls));
    }
    info.addMember("customer") <<= value.customer;
    info.addMember("version") <<= value.version;
    info.addMember("change_id") <<= value.change_id;
    info.addMember("author") <<= value.author;
    info.addMember("key_hashes") <<= value.key_hashes;
    info.addMember("zones") <<= value.zones;
    info.addMember("guaranteed") <<= value.guaranteed;
    info.addMember("ceiling") <<= value.ceiling;
    info.addMember("longest_wait_ms") <<= waits;
    info.addMember("yield_order") <<= order;
    info.addMember("yield_by") <<= std::string(to_string(value.preemption));
    info.addMember("yield_grace_ms") <<= static_cast<std::int64_t>(value.yield_grace.count());
    info.addMember("weight") <<= value.weight;
    info.addMember("queue_limit") <<= value.queue_limit;
    info.addMember("retry_attempts") <<= value.retry_attempts;
    info.addMember("retry_budget_percent") <<= value.retry_budget_percent;
    info.addMember("retry_backoff_ms") <<= static_cast<std::int64_t>(value.retry_backoff.count());
}

void operator>>=(const cxxtools::SerializationInfo& info, contract& value)
{
    std::vector<std::int64_t> waits;
    std::vector<std::string> order;
    std::string by = "checkpoint";
    std::int64_t grace_ms = value.yield_grace.count();
    std::int64_t backoff_ms = value.retry_backoff.count();
    info.getMember("customer") >>= value.customer;
    info.getMember("version", value.version);
    info.getMember("change_id", value.change_id);
    info.getMember("author", value.author);
    info.getMember("key_hashes", value.key_hashes);
    info.getMember("zones", value.zones);
    info.getMember("guaranteed", value.guaranteed);
    info.getMember("ceiling", value.ceiling);
    info.getMember("longest_wait_ms", waits);
    info.getMember("yield_order", order);
    info.getMember("yield_by", by);
    info.getMember("yield_grace_ms", grace_ms);
    info.getMember("weight", value.weight);
    info.getMember("queue_limit", value.queue_limit);
    info.getMember("retry_attempts", value.retry_attempts);
    info.getMember("retry_budget_percent", value.retry_budget_percent);
    info.getMember("retry_backoff_ms", backoff_ms);
    for (std::size_t i = 0; i < waits.size() && i < value.longest_wait.size(); ++i) {
        value.longest_wait.at(i) = milliseconds(waits.at(i));
    }
    value.yield_order.clear();
    for (const auto& name : order) {
        value.yield_order.push_back(work_class_from_string(name));
    }
    value.preemption = preemption_method_from_string(by);
    value.yield_grace = milliseconds(grace_ms);
    value.retry_backoff = milliseconds(backoff_ms);
}

contract read_contract_file(const std::string& file)
{
    return read_contract(read_toml_file(file));
}

contract read_contract_text(const std::string& name, const std::string& text)
{
    return read_contract(read_toml_text(name, text));
}

std::vector<std::string> diff(const contract& left, const contract& right)
{
    const auto left_fields = fields_of(left);
    const auto right_fields = fields_of(right);
    std::set<std::string> keys;
    for (const auto* fields : {&left_fields, &right_fields}) {
        for (const auto& [key, text] : *fields) {
            keys.insert(key);
        }
    }
    std::vector<std::string> lines;
    for (const auto& key : keys) {
        const auto before = field_or_absent(left_fields, key);
        const auto after = field_or_absent(right_fields, key);
        if (before != after) {
            lines.push_back(key + ": " + before + " -> " + after);
        }
    }
    return lines;
}

void check_guarantees(const std::vector<contract>& contracts, const resources& cell_capacity)
{
    resources sum;
    for (const auto& terms : contracts) {
        sum += terms.guaranteed;
        if (!fits(sum, cell_capacity)) {
            throw config_error(207, "contract of " + terms.customer +
                                        ": the guarantees add up to " + to_json(sum) +
                                        ", the cell has " + to_json(cell_capacity));
        }
    }
}

} // namespace flamingoseam
