#pragma once

#include <stdexcept>
#include <string>

namespace flamingoseam {

/// The base of every exception that the library throws. `id` is stable across versions.
class error : public std::runtime_error {
public:
    /// Makes an error whose text is "[name.id] what".
    error(const std::string& name, int id, const std::string& what)
        : std::runtime_error("[" + name + "." + std::to_string(id) + "] " + what), id_(id)
    {
    }

    /// Returns the stable number of this error. Complexity: constant.
    [[nodiscard]] int id() const noexcept { return id_; }

private:
    int id_;
};

/// Text that can't be read: JSON, enumerations, addresses. Ids 101 to 199.
class parse_error : public error {
public:
    parse_error(int id, const std::string& what) : error("parse_error", id, what) {}
};

/// A setting or contract key that is unknown, mistyped or out of bounds. Ids 201 to 299.
class config_error : public error {
public:
    config_error(int id, const std::string& what) : error("config_error", id, what) {}
};

/// A peer, worker or store that can't be reached or did not answer in time. Ids 301 to 399.
class transport_error : public error {
public:
    /// `sent` tells whether any part of the request may have reached the other end.
    transport_error(int id, const std::string& what, bool sent)
        : error("transport_error", id, what), sent_(sent)
    {
    }

    /// Returns false only when the request certainly did not reach the other end.
    [[nodiscard]] bool sent() const noexcept { return sent_; }

private:
    bool sent_;
};

} // namespace flamingoseam
