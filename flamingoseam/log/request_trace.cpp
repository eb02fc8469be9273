#include "flamingoseam/log/request_trace.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iomanip>
#include <istream>
#include <optional>
#include <sstream>

namespace flamingoseam {

namespace {

/// Events that concern all requests that are open when they occur.
constexpr std::array shared_events = {"owner_begins", "recovered",     "superseded",
                                      "owner_gone",   "owner_ends",    "ownership_offered",
                                      "store_silent", "store_answers", "queue_moved"};

bool is_shared(const std::string& event)
{
    return std::find(shared_events.begin(), shared_events.end(), event) != shared_events.end();
}

/// Returns the measured values of a line: all integer members except its time.
std::vector<log_field> read_fields(const nlohmann::json& line)
{
    std::vector<log_field> fields;
    for (const auto& [name, value] : line.items()) {
        if (value.is_number_integer() && name != "time_ms") {
            fields.push_back({name, value.get<std::int64_t>()});
        }
    }
    return fields;
}

std::optional<trace_line> read_line(const std::string& text, const std::string& request)
{
    const auto value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object() || !value.contains("event") || !value.contains("time_ms")) {
        return std::nullopt; // A glog line, or the output of another program.
    }
    trace_line line{.time = wall_time(value.at("time_ms").get<std::int64_t>()),
                    .node = value.value("node", ""),
                    .event = value.value("event", ""),
                    .detail = value.value("detail", ""),
                    .fields = read_fields(value),
                    .is_of_request = value.value("request_id", "") == request};
    return line.is_of_request || is_shared(line.event) ? std::optional(line) : std::nullopt;
}

} // namespace

std::vector<trace_line> trace_request(std::istream& logs, const std::string& request)
{
    std::vector<trace_line> trace;
    std::string text;
    while (std::getline(logs, text)) {
        if (auto line = read_line(text, request)) {
            trace.push_back(std::move(*line));
        }
    }
    std::stable_sort(trace.begin(), trace.end(),
                     [](const auto& left, const auto& right) { return left.time < right.time; });
    const auto of_request = [](const trace_line& line) { return line.is_of_request; };
    const auto last = std::find_if(trace.rbegin(), trace.rend(), of_request).base();
    trace.erase(last, trace.end());
    trace.erase(trace.begin(), std::find_if(trace.begin(), trace.end(), of_request));
    return trace;
}

std::string to_text(const std::vector<trace_line>& trace)
{
    std::ostringstream text;
    for (const auto& line : trace) {
        constexpr int time_width = 7;
        text << '+' << std::setw(time_width) << std::left
             << (line.time - trace.front().time).count() << " ms  " << line.node << "  "
             << (line.is_of_request ? "" : "(cell) ") << line.event << "  " << line.detail;
        for (const auto& field : line.fields) {
            text << ' ' << field.name << '=' << field.value;
        }
        text << '\n';
    }
    return text.str();
}

} // namespace flamingoseam
