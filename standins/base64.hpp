#pragma once

#include <string>

namespace flamingoseam::standin {

/// Encodes bytes as standard base64 text with padding.
std::string to_base64(const std::string& bytes);

/// Decodes base64 text. Throws std::invalid_argument when it is malformed.
std::string from_base64(const std::string& text);

} // namespace flamingoseam::standin
