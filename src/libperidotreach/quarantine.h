#pragma once

// Requests that coincide with endpoint deaths. A request in flight at two
// deaths is quarantined; one that finishes is cleared. Records expire.

#include <cstddef>
#include <cstdint>
#include <map>

#include "libperidotreach/time.h"

namespace peridotreach {

// Deaths with a request in flight after which it is refused.
inline constexpr std::uint32_t kQuarantineCrashes = 2;

// How long a suspicion lasts after the last death.
inline constexpr Millis kSuspectLifetime = 10 * kMinute;

// The most fingerprints remembered.
inline constexpr std::size_t kMaxSuspects = 4096;

// Deaths that one fingerprint was in flight at.
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

// Notes that a request with `fingerprint` was in flight at a death.
void record_crash(Quarantine& quarantine, std::uint64_t fingerprint,
                  Millis now);

// Clears a request that finished.
void clear_suspect(Quarantine& quarantine, std::uint64_t fingerprint);

// Returns the deaths that `fingerprint` is still held to.
std::uint32_t crash_count(const Quarantine& quarantine,
                          std::uint64_t fingerprint, Millis now);

// Forgets expired suspicions.
void expire_suspects(Quarantine& quarantine, Millis now);

}  // namespace peridotreach
