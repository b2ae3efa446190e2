#pragma once

// Requests that coincide with endpoint deaths. A request in flight at two
// deaths is quarantined; one that finishes is cleared. Records expire.

#include <cstddef>
#include <cstdint>
#include <map>

#include "libperidotreach/time.h"

namespace peridotreach {

// Deaths with a request in flight after which it is refused.
inline constexpr std::uint32_t kQuarantineDeaths = 2;

// How long a suspicion lasts after the last death.
inline constexpr Millis kSuspicionLife = 10 * kMinute;

// The most fingerprints remembered.
inline constexpr std::size_t kMostSuspects = 4096;

// Deaths that one fingerprint was in flight at.
struct Suspect {
  std::uint32_t deaths = 0;
  Millis last = 0;

  bool operator==(const Suspect&) const = default;
};

// Suspects by request fingerprint.
struct Quarantine {
  std::map<std::uint64_t, Suspect> suspects;

  bool operator==(const Quarantine&) const = default;
};

// Notes that a request with `fingerprint` was in flight at a death.
void note_death(Quarantine& quarantine, std::uint64_t fingerprint, Millis now);

// Clears a request that finished.
void note_finished(Quarantine& quarantine, std::uint64_t fingerprint);

// Returns the deaths that `fingerprint` is still held to.
std::uint32_t deaths_of(const Quarantine& quarantine, std::uint64_t fingerprint,
                        Millis now);

// Forgets expired suspicions.
void expire_suspects(Quarantine& quarantine, Millis now);

}  // namespace peridotreach
