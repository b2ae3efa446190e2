#pragma once

// Keys of peridotreach in the platform's key-value store.

#include <algorithm>
#include <cstdint>
#include <string>

namespace peridotreach {

// All keys that entry VMs watch.
inline constexpr const char* kFleetPrefix = "/peridotreach/fleet/";

// The configuration, stored as a single value.
inline constexpr const char* kConfigKey = "/peridotreach/fleet/config";

// Registrations of entry VMs, one key per VM, each under a lease.
inline constexpr const char* kVmPrefix = "/peridotreach/fleet/vms/";

// Records of the VM that holds the sessions of a home that left.
inline constexpr const char* kSuccessorPrefix =
    "/peridotreach/fleet/successors/";

// Claimed idempotency keys.
inline constexpr const char* kClaimPrefix = "/peridotreach/claims/";

// Refusal counts, one key per minute, VM and process incarnation.
inline constexpr const char* kRefusalBucketPrefix = "/peridotreach/refusals/";

// Leases of stewards, one key per availability zone.
inline constexpr const char* kStewardLeasePrefix = "/peridotreach/stewards/";

// Returns the key of the successor record of a home's incarnation.
inline std::string successor_key(const std::string& home,
                                 std::uint64_t incarnation) {
  return kSuccessorPrefix + home + "/" + std::to_string(incarnation);
}

// Pads `number` with zeros to 12 digits so that keys sort numerically.
inline std::string zero_padded(std::uint64_t number) {
  constexpr std::size_t kDigits = 12;
  const std::string digits = std::to_string(number);
  return std::string(kDigits - std::min(kDigits, digits.size()), '0') + digits;
}

}  // namespace peridotreach
