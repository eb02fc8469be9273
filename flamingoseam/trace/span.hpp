#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstdio>
#include <map>
#include <mutex>
#include <string>

namespace flamingoseam {

/// The W3C trace context of one hop.
struct trace_context {
    std::string trace_id; ///< 32 hexadecimal digits.
    std::string span_id;  ///< 16 hexadecimal digits.
    bool sampled = true;
};

/// Reads a `traceparent` header; a text that is none yields a new trace.
trace_context trace_context_from_header(const std::string& traceparent);

/// Returns the `traceparent` header for a context. Complexity: constant.
std::string to_header(const trace_context& context);

/// Writes spans as JSON lines to one file. Safe from several threads.
class span_writer {
public:
    /// Appends to `path`; writes nothing when it is empty.
    /// Throws config_error (id 208) when the file can't be opened.
    explicit span_writer(const std::string& path);
    ~span_writer();
    span_writer(const span_writer&) = delete;
    span_writer& operator=(const span_writer&) = delete;

    /// Tells whether spans are kept at all.
    [[nodiscard]] bool is_on() const { return file_ != nullptr; }

    /// Writes one line.
    void write(const std::string& line);

private:
    std::FILE* file_ = nullptr;
    std::mutex mutex_;
};

/// One hop of a request, from its construction to its end.
class span {
public:
    /// Begins a hop `name` below the context in `traceparent`.
    span(span_writer& writer, std::string name, const std::string& traceparent);

    /// Writes the span when it is sampled.
    ~span();
    span(const span&) = delete;
    span& operator=(const span&) = delete;

    /// Adds an attribute.
    void set(const std::string& key, const std::string& value);

    /// Returns the header for the next hop.
    [[nodiscard]] std::string header() const { return to_header(context_); }

private:
    span_writer& writer_;
    std::string name_;
    trace_context context_;
    std::string parent_;
    wall_time began_;
    std::map<std::string, std::string> attributes_;
};

} // namespace flamingoseam
