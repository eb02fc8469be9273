#pragma once

#include "flamingoseam/core/clock.hpp"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <string>

namespace review {

/// A file of JSON lines to which several processes append.
class record {
public:
    explicit record(const std::string& file)
        : descriptor_(open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644))
    {
    }

    ~record() { close(descriptor_); }
    record(const record&) = delete;
    record& operator=(const record&) = delete;

    /// Appends one line with the time of day in milliseconds.
    void write(nlohmann::json fields)
    {
        fields["t"] = flamingoseam::wall_now().count();
        const auto line = fields.dump() + "\n";
        [[maybe_unused]] const auto written = ::write(descriptor_, line.data(), line.size());
    }

private:
    int descriptor_;
};

} // namespace review
