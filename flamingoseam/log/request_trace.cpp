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

/// Events that touch every request of their time.
constexpr std::array shared_events = {"owner_begins", "recovered",    "superseded",
                                      "owner_gone",   "owner_ends",   "ownership_offered",
                                      "store_silent", "store_answers"};

bool is_shared(const std::string& event)
{
    return std::find(shared_events.begin(), shared_events.end(), event) != shared_events.end();
}

/// Returns the measured values of a line, which are all numbers but its time.
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
        return std::nullopt; // A warning of a library, or not one of our lines.
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
    std::vector<trace_line> story;
    std::string text;
    while (std::getline(logs, text)) {
        if (auto line = read_line(text, request)) {
            story.push_back(std::move(*line));
        }
    }
    std::stable_sort(story.begin(), story.end(),
                     [](const auto& left, const auto& right) { return left.time < right.time; });
    const auto of_request = [](const trace_line& line) { return line.is_of_request; };
    const auto last = std::find_if(story.rbegin(), story.rend(), of_request).base();
    story.erase(last, story.end());
    story.erase(story.begin(), std::find_if(story.begin(), story.end(), of_request));
    return story;
}

std::string to_text(const std::vector<trace_line>& story)
{
    std::ostringstream text;
    for (const auto& line : story) {
        constexpr int time_width = 7;
        text << '+' << std::setw(time_width) << std::left
             << (line.time - story.front().time).count() << " ms  " << line.node << "  "
             << (line.is_of_request ? "" : "(cell) ") << line.event << "  " << line.detail;
        for (const auto& field : line.fields) {
            text << ' ' << field.name << '=' << field.value;
        }
        text << '\n';
    }
    return text.str();
}

} // namespace flamingoseam
