#pragma once

// Standard base64, as the store's JSON interface uses it.

#include <string>

namespace peridotreach {

// Returns `raw` in base64 with padding.
std::string base64_encode(const std::string& raw);

// Returns the bytes of `text`; empty if it is malformed.
std::string base64_decode(const std::string& text);

}  // namespace peridotreach
