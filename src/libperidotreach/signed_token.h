#pragma once

// Authenticated tokens: a payload and a MAC made with the fleet key, in
// URL-safe base64. Response and session ids are such tokens; they name
// endpoints and VMs by id and never contain an address.

#include <string>

#include "libperidotreach/error.h"

namespace peridotreach {

// The key shared by all processes of the fleet, 32 bytes.
struct FleetKey {
  std::string bytes;
};

// Derives the fleet key from the operators' secret, which may have any length.
FleetKey derive_fleet_key(const std::string& secret);

// Returns `prefix` followed by MAC and payload in URL-safe base64.
std::string sign_token(const FleetKey& key, const std::string& prefix,
                       const std::string& payload);

// Returns the payload of a token, or kUnauthenticated if the token was not made
// with `key` and `prefix`.
Result<std::string> verify_token(const FleetKey& key, const std::string& prefix,
                                 const std::string& token);

// Returns the lowercase hexadecimal SHA-256 of `text`.
std::string sha256_hex(const std::string& text);

}  // namespace peridotreach
