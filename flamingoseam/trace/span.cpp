#include "flamingoseam/trace/span.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/http/json.hpp"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace flamingoseam {

namespace {

constexpr std::size_t header_length = 55;
constexpr std::size_t trace_id_digits = 32;
constexpr std::size_t span_id_digits = 16;

std::string random_hex(std::size_t digits)
{
    std::array<unsigned char, trace_id_digits / 2> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, trace_id_digits + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
    return std::string(hex.data(), digits);
}

bool is_hex(const std::string& text)
{
    return std::ranges::all_of(text, [](unsigned char c) { return std::isxdigit(c) != 0; });
}

bool is_traceparent(const std::string& text)
{
    return text.size() == header_length && text[2] == '-' && text[35] == '-' && text[52] == '-' &&
           is_hex(text.substr(3, trace_id_digits)) && is_hex(text.substr(36, span_id_digits));
}

/// The JSON line of a span.
struct span_line {
    std::string name;
    trace_context context;
    std::string parent;
    wall_time began{0};
    wall_time ended{0};
    std::map<std::string, std::string> attributes;
};

void operator<<=(cxxtools::SerializationInfo& info, const span_line& value)
{
    info.addMember("name") <<= value.name;
    info.addMember("trace_id") <<= value.context.trace_id;
    info.addMember("span_id") <<= value.context.span_id;
    info.addMember("parent_id") <<= value.parent;
    info.addMember("began_ms") <<= static_cast<std::int64_t>(value.began.count());
    info.addMember("ended_ms") <<= static_cast<std::int64_t>(value.ended.count());
    for (const auto& [key, text] : value.attributes) {
        detail::put_text(info, key, text);
    }
}

} // namespace

trace_context trace_context_from_header(const std::string& traceparent)
{
    if (!is_traceparent(traceparent)) {
        return {.trace_id = random_hex(trace_id_digits), .span_id = {}, .sampled = true};
    }
    return {.trace_id = traceparent.substr(3, trace_id_digits),
            .span_id = traceparent.substr(36, span_id_digits),
            .sampled = (traceparent.back() & 1) != 0};
}

std::string to_header(const trace_context& context)
{
    return "00-" + context.trace_id + "-" + context.span_id + (context.sampled ? "-01" : "-00");
}

span_writer::span_writer(const std::string& path)
{
    if (path.empty()) {
        return;
    }
    file_ = std::fopen(path.c_str(), "a");
    if (file_ == nullptr) {
        throw config_error(208, "span file " + path + " cannot be opened");
    }
}

span_writer::~span_writer()
{
    if (file_ != nullptr) {
        std::fclose(file_);
    }
}

void span_writer::write(const std::string& line)
{
    if (file_ == nullptr) {
        return;
    }
    const std::lock_guard lock(mutex_);
    std::fwrite(line.data(), 1, line.size(), file_);
    std::fputc('\n', file_);
    std::fflush(file_);
}

span::span(span_writer& writer, std::string name, const std::string& traceparent)
    : writer_(writer), name_(std::move(name)), context_(trace_context_from_header(traceparent)),
      parent_(context_.span_id), began_(wall_now())
{
    context_.span_id = random_hex(span_id_digits);
}

span::~span()
{
    if (!context_.sampled || !writer_.is_enabled()) {
        return;
    }
    writer_.write(to_json(span_line{.name = name_,
                                    .context = context_,
                                    .parent = parent_,
                                    .began = began_,
                                    .ended = wall_now(),
                                    .attributes = attributes_}));
}

void span::set(const std::string& key, const std::string& value)
{
    attributes_[key] = value;
}

} // namespace flamingoseam
