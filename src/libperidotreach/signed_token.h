#pragma once

// Authenticated tokens: a payload under a fleet key, in URL-safe text.
// Response and session ids are such tokens; they name endpoints and VMs by id
// and never carry an address.

#include <string>

#include "libperidotreach/error.h"

namespace peridotreach {

// The fleet key, 32 bytes.
struct FleetKey {
  std::string bytes;
};

// Derives the fleet key from the operators' secret of any length.
FleetKey derive_fleet_key(const std::string& secret);

// Returns `prefix` followed by the authenticated payload in URL-safe base64.
std::string sign_token(const FleetKey& key, const std::string& prefix,
                       const std::string& payload);

// Returns the payload of a token. kUnauthenticated if it was not made with
// `key` and `prefix`.
Result<std::string> verify_token(const FleetKey& key, const std::string& prefix,
                                 const std::string& token);

// Returns the lowercase hexadecimal SHA-256 of `text`.
std::string sha256_hex(const std::string& text);

}  // namespace peridotreach
