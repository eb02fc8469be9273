#include "flamingoseam/config/settings_helpers.hpp"

#include "flamingoseam/core/error.hpp"

#include <filesystem>

namespace flamingoseam::detail {

namespace {

endpoint parse_endpoint(checked_table& table, const std::string& key, const std::string& text)
{
    try {
        return endpoint_from_string(text);
    } catch (const parse_error& cause) {
        table.fail(206, key, cause.what());
    }
}

} // namespace

unsigned short read_port(checked_table& table, const std::string& key, unsigned short fallback)
{
    return static_cast<unsigned short>(table.get_integer(key, fallback, {1, 65'535}));
}

endpoint read_endpoint(checked_table& table, const std::string& key)
{
    return parse_endpoint(table, key, table.get_required_string(key));
}

std::vector<endpoint> read_endpoints(checked_table& table, const std::string& key)
{
    std::vector<endpoint> endpoints;
    for (const auto& text : table.get_strings(key)) {
        endpoints.push_back(parse_endpoint(table, key, text));
    }
    return endpoints;
}

std::string resolve_path(const std::string& file, const std::string& name)
{
    const std::filesystem::path path(name);
    if (path.is_absolute()) {
        return name;
    }
    return (std::filesystem::path(file).parent_path() / path).string();
}

} // namespace flamingoseam::detail
