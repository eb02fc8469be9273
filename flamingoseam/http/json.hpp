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

/// Returns `value` as JSON text in UTF-8, through its `operator<<=`. Complexity: linear.
template <typename T> std::string to_json(const T& value, bool beautify = false)
{
    std::ostringstream out;
    cxxtools::JsonSerializer serializer(out);
    serializer.beautify(beautify);
    serializer.serialize(value).finish();
    return out.str();
}

/// Reads a `T` from JSON text through its `operator>>=`.
/// Throws parse_error (id 102) that carries the parser's own message. Complexity: linear.
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
        throw parse_error(102, std::string("JSON can't be read: ") + cause.what());
    }
}

namespace detail {

/// Puts UTF-8 text into a member; the serializer alone would take each byte as a character.
inline void put_text(cxxtools::SerializationInfo& info, const std::string& name,
                     const std::string& utf8)
{
    info.addMember(name) <<= cxxtools::Utf8Codec::decode(utf8);
}

/// Reads a member as UTF-8 text; an absent or null member leaves `utf8` as it was.
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
