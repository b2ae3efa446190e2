#pragma once

// Standard base64 (RFC 4648, section 4), the encoding of the key-value store's
// JSON interface.

#include <string>

namespace peridotreach {

// Encodes `raw` with padding.
std::string base64_encode(const std::string& raw);

// Decodes `text`. Returns an empty string if `text` is malformed.
std::string base64_decode(const std::string& text);

}  // namespace peridotreach
