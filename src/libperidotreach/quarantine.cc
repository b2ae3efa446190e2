#include "libperidotreach/quarantine.h"

#include <algorithm>

namespace peridotreach {

void record_crash(Quarantine& quarantine, std::uint64_t fingerprint,
                  Millis now) {
  if (quarantine.suspects.size() >= kMaxSuspects) {
    const auto oldest = std::min_element(
        quarantine.suspects.begin(), quarantine.suspects.end(),
        [](const auto& a, const auto& b) {
          return a.second.last_crash_at < b.second.last_crash_at;
        });
    quarantine.suspects.erase(oldest);
  }
  Suspect& suspect = quarantine.suspects[fingerprint];
  suspect.crashes += 1;
  suspect.last_crash_at = now;
}

void clear_suspect(Quarantine& quarantine, std::uint64_t fingerprint) {
  quarantine.suspects.erase(fingerprint);
}

std::uint32_t crash_count(const Quarantine& quarantine,
                          std::uint64_t fingerprint, Millis now) {
  const auto found = quarantine.suspects.find(fingerprint);
  if (found == quarantine.suspects.end()) return 0;
  if (now - found->second.last_crash_at > kSuspectLifetime) return 0;
  return found->second.crashes;
}

void expire_suspects(Quarantine& quarantine, Millis now) {
  std::erase_if(quarantine.suspects, [&](const auto& entry) {
    return now - entry.second.last_crash_at > kSuspectLifetime;
  });
}

}  // namespace peridotreach
