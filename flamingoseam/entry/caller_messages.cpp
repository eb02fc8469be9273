#include "flamingoseam/entry/caller_messages.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/job/request_id.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <string_view>

namespace flamingoseam {

namespace {

/// Reads single members of the JSON object of a request.
class member_reader {
public:
    explicit member_reader(const cxxtools::SerializationInfo& info) : info_(info) {}

    void check_known(const std::vector<std::string_view>& known_keys) const
    {
        for (std::size_t i = 0; i < info_.memberCount(); ++i) {
            const auto& name = info_.getMember(static_cast<unsigned>(i)).name();
            if (std::ranges::find(known_keys, name) == known_keys.end()) {
                throw parse_error(108, "'" + name + "' is not a known key");
            }
        }
    }

    std::int64_t integer(const std::string& key, std::int64_t fallback, std::int64_t min_value,
                         std::int64_t max_value) const
    {
        const auto* member = info_.findMember(key);
        if (member == nullptr) {
            return fallback;
        }
        std::int64_t value = 0;
        check_type(*member, key, "int", "an integer");
        read(*member, key, "an integer", value);
        if (value < min_value || value > max_value) {
            throw parse_error(109, key + " is " + std::to_string(value) + ", must be from " +
                                       std::to_string(min_value) + " to " +
                                       std::to_string(max_value));
        }
        return value;
    }

    bool boolean(const std::string& key, bool fallback) const
    {
        const auto* member = info_.findMember(key);
        bool value = fallback;
        if (member != nullptr) {
            check_type(*member, key, "bool", "true or false");
            read(*member, key, "true or false", value);
        }
        return value;
    }

    std::string text(const std::string& key, const std::string& fallback) const
    {
        const auto* member = info_.findMember(key);
        if (member == nullptr) {
            return fallback;
        }
        cxxtools::String value;
        read(*member, key, "a string", value);
        return cxxtools::Utf8Codec::encode(value);
    }

private:
    /// Checks the JSON type of a member, since the deserializer converts any string to a number or
    /// a boolean without an error.
    static void check_type(const cxxtools::SerializationInfo& member, const std::string& key,
                           const std::string& type, const std::string& expected)
    {
        if (member.typeName() != type) {
            throw parse_error(109, key + " must be " + expected);
        }
    }

    template <typename Value>
    static void read(const cxxtools::SerializationInfo& member, const std::string& key,
                     const std::string& expected, Value& value)
    {
        try {
            member >>= value;
        } catch (const std::exception&) {
            throw parse_error(109, key + " must be " + expected);
        }
    }

    const cxxtools::SerializationInfo& info_;
};

/// The body of a request before validation.
struct raw_request {
    cxxtools::SerializationInfo info;
};

void operator>>=(const cxxtools::SerializationInfo& info, raw_request& value)
{
    value.info = info;
}

void check_identifier(const std::string& key, const std::string& value, std::size_t max_length)
{
    const bool valid = std::ranges::all_of(value, [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
    if (value.empty() || value.size() > max_length || !valid) {
        throw parse_error(109, key + " is '" + value + "', must be 1 to " +
                                   std::to_string(max_length) +
                                   " letters, digits, '-', '_' or '.'");
    }
}

void read_id(const member_reader& members, work_request& request)
{
    request.request_id = members.text("request_id", "");
    if (request.request_id.empty()) {
        request.first_attempt = true;
        return;
    }
    request.first_attempt = members.boolean("first_attempt", false);
    const bool is_entry_id = request.request_id.starts_with(entry_id_prefix);
    if (is_entry_id || !time_of_request_id(request.request_id)) {
        throw parse_error(109, "request_id is '" + request.request_id +
                                   "', must be a UUID of version 7");
    }
}

} // namespace

work_request read_caller_request(const std::string& body, bool is_job)
{
    static const std::vector<std::string_view> known_keys = {
        "request_id", "first_attempt", "kind",         "payload", "class",   "tasks",
        "milli_cpus", "memory_mb",     "accelerators", "run_ms",  "wait_ms", "idempotent"};
    const auto raw = from_json<raw_request>(body);
    if (raw.info.category() != cxxtools::SerializationInfo::Object) {
        throw parse_error(102, "the body must be a JSON object");
    }
    const member_reader members(raw.info);
    members.check_known(known_keys);
    work_request request;
    read_id(members, request);
    request.kind = members.text("kind", "default");
    check_identifier("kind", request.kind, max_kind_length);
    request.payload = members.text("payload", "");
    request.cls = work_class_from_string(members.text("class", is_job ? "batch" : "call"));
    if ((request.cls == work_class::call) == is_job) {
        throw parse_error(109, is_job ? "class must be batch, gang or service"
                                      : "class must be call; jobs go to /v1/jobs");
    }
    request.tasks =
        static_cast<int>(members.integer("tasks", 1, 1, is_job ? max_tasks_per_job : 1));
    request.size.milli_cpus = members.integer("milli_cpus", 1000, 1, max_milli_cpus_per_task);
    request.size.memory_mb = members.integer("memory_mb", 1000, 1, max_memory_mb_per_task);
    request.size.accelerators = members.integer("accelerators", 0, 0, max_accelerators_per_task);
    request.size.slots = 1;
    request.run_time = milliseconds(members.integer("run_ms", 0, 0, max_run_ms));
    request.wait_limit = milliseconds(members.integer("wait_ms", 0, 0, max_run_ms));
    request.idempotent = members.boolean("idempotent", false);
    return request;
}

void operator<<=(cxxtools::SerializationInfo& info, const caller_answer& value)
{
    info.addMember("request_id") <<= value.request_id;
    info.addMember("verdict") <<= std::string(to_string(value.result.kind));
    info.addMember("reason") <<= value.result.reason;
    detail::put_text(info, "detail", value.result.detail);
    detail::put_text(info, "output", value.result.output);
    info.addMember("worker") <<= value.result.worker;
}

void operator>>=(const cxxtools::SerializationInfo& info, caller_answer& value)
{
    info.getMember("request_id", value.request_id);
    info >>= value.result;
}

int status_of(const outcome& result)
{
    static const std::map<std::string, int, std::less<>> refusals = {
        {"bad_request", 400},   {"unknown_key", 401},    {"no_contract", 403},
        {"id_conflict", 409},   {"body_too_large", 413}, {"above_ceiling", 422},
        {"never_fits", 422},    {"queue_full", 429},     {"would_wait_too_long", 429},
        {"wait_exceeded", 429}, {"bad_method", 405},     {"unknown_path", 404},
        {"cancelled", 200}};
    if (result.reason == "accepted") {
        return 202;
    }
    if (result.kind == verdict::ran) {
        return 200;
    }
    if (result.kind == verdict::may_have_run) {
        return 504;
    }
    const auto found = refusals.find(result.reason);
    return found == refusals.end() ? 503 : found->second;
}

} // namespace flamingoseam
