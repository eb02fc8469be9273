#include "flamingoseam/entry/settings.hpp"

#include "flamingoseam/config/settings_helpers.hpp"

namespace flamingoseam {

entry_settings read_entry_settings(const std::string& file)
{
    entry_settings settings;
    auto root = read_toml_file(file);
    settings.address = root.get_required_string("address");
    settings.zone = root.get_required_string("zone");
    settings.port = detail::read_port(root, "port", settings.port);
    settings.schedulers = detail::read_endpoints(root, "schedulers");
    if (settings.schedulers.empty()) {
        root.fail(204, "schedulers", "at least one is required");
    }
    settings.span_file = root.get_string("span_file", "");
    settings.max_body_bytes =
        static_cast<std::size_t>(root.get_integer("max_body_bytes", 256'000, {1000, 900'000}));
    settings.max_open_calls =
        static_cast<unsigned>(root.get_integer("max_open_calls", 256, {4, 4096}));
    settings.call_timeout =
        root.get_duration("call_timeout_ms", settings.call_timeout, {100, 600'000});
    settings.sender_timeout =
        root.get_duration("sender_timeout_ms", settings.sender_timeout, {100, 60'000});
    settings.drain_timeout =
        root.get_duration("drain_timeout_ms", settings.drain_timeout, {0, 600'000});
    root.finish();
    return settings;
}

} // namespace flamingoseam
