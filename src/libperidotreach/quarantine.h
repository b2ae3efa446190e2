#pragma once

// Quarantine of requests that coincide with endpoint crashes, so that a request
// which crashes engines is not retried on one after another. A request that was
// in flight at two crashes is quarantined; one that finishes is cleared.
// Records expire.

#include <cstddef>
#include <cstdint>
#include <map>

#include "libperidotreach/time.h"

namespace peridotreach {

// Crashes with a request in flight after which the request is refused.
inline constexpr std::uint32_t kQuarantineCrashes = 2;

// How long a crash record lasts after the last crash.
inline constexpr Millis kSuspectLifetime = 10 * kMinute;

// The most fingerprints recorded.
inline constexpr std::size_t kMaxSuspects = 4096;

// Crashes at which requests with one fingerprint were in flight.
struct Suspect {
  std::uint32_t crashes = 0;
  Millis last_crash_at = 0;

  bool operator==(const Suspect&) const = default;
};

// Suspects by request fingerprint.
struct Quarantine {
  std::map<std::uint64_t, Suspect> suspects;

  bool operator==(const Quarantine&) const = default;
};

// Records that a request with `fingerprint` was in flight at a crash. Evicts
// the oldest record if there are kMaxSuspects.
void record_crash(Quarantine& quarantine, std::uint64_t fingerprint,
                  Millis now);

// Removes the record of a request that finished.
void clear_suspect(Quarantine& quarantine, std::uint64_t fingerprint);

// Returns the recorded crashes of `fingerprint` that have not expired.
std::uint32_t crash_count(const Quarantine& quarantine,
                          std::uint64_t fingerprint, Millis now);

// Removes expired records.
void expire_suspects(Quarantine& quarantine, Millis now);

}  // namespace peridotreach
