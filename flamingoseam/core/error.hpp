#pragma once

#include <stdexcept>
#include <string>

namespace flamingoseam {

/// The base class of all exceptions of the library. `id` is stable across versions.
class error : public std::runtime_error {
public:
    /// Creates an error whose text is "[name.id] what".
    error(const std::string& name, int id, const std::string& what)
        : std::runtime_error("[" + name + "." + std::to_string(id) + "] " + what), id_(id)
    {
    }

    /// Returns the stable id of this error. Complexity: constant.
    [[nodiscard]] int id() const noexcept { return id_; }

private:
    int id_;
};

/// Thrown when text cannot be parsed: JSON, enumerations, addresses. Ids 101 to 199.
class parse_error : public error {
public:
    parse_error(int id, const std::string& what) : error("parse_error", id, what) {}
};

/// Thrown for a setting or contract key that is unknown, has the wrong type or is out of bounds.
/// Ids 201 to 299.
class config_error : public error {
public:
    config_error(int id, const std::string& what) : error("config_error", id, what) {}
};

/// Thrown when a peer, worker or store cannot be reached or does not answer within the timeout.
/// Ids 301 to 399.
class transport_error : public error {
public:
    /// Creates an error. `sent` is true when any part of the request may have reached the receiver.
    transport_error(int id, const std::string& what, bool sent)
        : error("transport_error", id, what), sent_(sent)
    {
    }

    /// Returns false only when the request certainly did not reach the receiver.
    [[nodiscard]] bool sent() const noexcept { return sent_; }

private:
    bool sent_;
};

/// Thrown when the system has no thread, memory or file descriptor left for this process. What was
/// to be done has not begun. Ids 401 to 499.
class resource_error : public error {
public:
    resource_error(int id, const std::string& what) : error("resource_error", id, what) {}
};

} // namespace flamingoseam
