#pragma once

// Keys of the project in the platform's key-value service.

#include <algorithm>
#include <cstdint>
#include <string>

namespace peridotreach {

// Everything that entry VMs watch.
inline constexpr const char* kFleetPrefix = "/peridotreach/fleet/";

// The configuration, one value.
inline constexpr const char* kConfigKey = "/peridotreach/fleet/config";

// Leased registrations, one for each entry VM.
inline constexpr const char* kVmPrefix = "/peridotreach/fleet/vms/";

// Holders of the sessions of homes that left.
inline constexpr const char* kSuccessorPrefix =
    "/peridotreach/fleet/successors/";

// Claimed idempotency keys.
inline constexpr const char* kClaimPrefix = "/peridotreach/claims/";

// Refusals by minute and process incarnation.
inline constexpr const char* kLedgerPrefix = "/peridotreach/refusals/";

// Leases of stewards, one for each availability zone.
inline constexpr const char* kStewardPrefix = "/peridotreach/stewards/";

// Returns the key of a home's successor record.
inline std::string successor_key(const std::string& home,
                                 std::uint64_t incarnation) {
  return kSuccessorPrefix + home + "/" + std::to_string(incarnation);
}

// Returns `number` with leading zeros, so that keys sort by number.
inline std::string sortable(std::uint64_t number) {
  constexpr std::size_t kDigits = 12;
  const std::string digits = std::to_string(number);
  return std::string(kDigits - std::min(kDigits, digits.size()), '0') + digits;
}

}  // namespace peridotreach
