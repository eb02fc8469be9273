#pragma once

#include "flamingoseam/core/error.hpp"

#include <cxxtools/jsondeserializer.h>
#include <cxxtools/jsonserializer.h>
#include <cxxtools/serializationinfo.h>
#include <cxxtools/string.h>
#include <cxxtools/utf8codec.h>

#include <sstream>
#include <string>

namespace flamingoseam {

/// Serializes `value` to JSON text in UTF-8 with its `operator<<=`. Complexity: linear.
template <typename T> std::string to_json(const T& value, bool beautify = false)
{
    std::ostringstream out;
    cxxtools::JsonSerializer serializer(out);
    serializer.beautify(beautify);
    serializer.serialize(value).finish();
    return out.str();
}

/// Deserializes a `T` from JSON text with its `operator>>=`. Rethrows errors of the library
/// unchanged; throws parse_error (id 102) with the message of any other exception. Complexity:
/// linear.
template <typename T> T from_json(const std::string& text)
{
    try {
        std::istringstream in(text);
        cxxtools::JsonDeserializer deserializer(in);
        T value;
        deserializer.deserialize(value);
        return value;
    } catch (const error&) {
        throw;
    } catch (const std::exception& cause) {
        throw parse_error(102, std::string("JSON cannot be read: ") + cause.what());
    }
}

namespace detail {

/// Adds a member with UTF-8 text. Without the decoding, the serializer would treat each byte as a
/// character.
inline void put_text(cxxtools::SerializationInfo& info, const std::string& name,
                     const std::string& utf8)
{
    info.addMember(name) <<= cxxtools::Utf8Codec::decode(utf8);
}

/// Reads a member as UTF-8 text. Leaves `utf8` unchanged when the member is absent or null.
inline void get_text(const cxxtools::SerializationInfo& info, const std::string& name,
                     std::string& utf8)
{
    const auto* member = info.findMember(name);
    if (member == nullptr || member->isNull()) {
        return;
    }
    cxxtools::String text;
    *member >>= text;
    utf8 = cxxtools::Utf8Codec::encode(text);
}

} // namespace detail

} // namespace flamingoseam
