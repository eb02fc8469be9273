#pragma once

#include "flamingoseam/core/clock.hpp"

#include <cstdio>
#include <map>
#include <mutex>
#include <string>

namespace flamingoseam {

/// The W3C trace context of one span.
struct trace_context {
    std::string trace_id; ///< 32 hexadecimal digits.
    std::string span_id;  ///< 16 hexadecimal digits.
    bool sampled = true;
};

/// Parses a `traceparent` header. Returns a new, sampled trace without a span id when the text is
/// not a valid header.
trace_context trace_context_from_header(const std::string& traceparent);

/// Returns the `traceparent` header for a context. Complexity: constant.
std::string to_header(const trace_context& context);

/// Writes spans as JSON lines to one file. Thread-safe.
class span_writer {
public:
    /// Opens `path` for appending; an empty path disables the writer.
    /// Throws config_error (id 208) when the file cannot be opened.
    explicit span_writer(const std::string& path);
    ~span_writer();
    span_writer(const span_writer&) = delete;
    span_writer& operator=(const span_writer&) = delete;

    /// Checks whether spans are written.
    [[nodiscard]] bool is_enabled() const { return file_ != nullptr; }

    /// Writes one line and flushes the file. Does nothing when the writer is disabled.
    void write(const std::string& line);

private:
    std::FILE* file_ = nullptr;
    std::mutex mutex_;
};

/// A span of a request, from the construction of the object to its destruction.
class span {
public:
    /// Starts a span whose parent is the context in `traceparent`.
    span(span_writer& writer, std::string name, const std::string& traceparent);

    /// Ends the span, and writes it when it is sampled.
    ~span();
    span(const span&) = delete;
    span& operator=(const span&) = delete;

    /// Sets an attribute, replacing an earlier value.
    void set(const std::string& key, const std::string& value);

    /// Returns the `traceparent` header for requests made within this span.
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
