#include "libperidotreach/quarantine.h"

#include <algorithm>

namespace peridotreach {

void note_death(Quarantine& quarantine, std::uint64_t fingerprint, Millis now) {
  if (quarantine.suspects.size() >= kMostSuspects) {
    const auto oldest =
        std::min_element(quarantine.suspects.begin(), quarantine.suspects.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.last < b.second.last;
                         });
    quarantine.suspects.erase(oldest);
  }
  Suspect& suspect = quarantine.suspects[fingerprint];
  suspect.deaths += 1;
  suspect.last = now;
}

void note_finished(Quarantine& quarantine, std::uint64_t fingerprint) {
  quarantine.suspects.erase(fingerprint);
}

std::uint32_t deaths_of(const Quarantine& quarantine, std::uint64_t fingerprint,
                        Millis now) {
  const auto found = quarantine.suspects.find(fingerprint);
  if (found == quarantine.suspects.end()) return 0;
  if (now - found->second.last > kSuspicionLife) return 0;
  return found->second.deaths;
}

void expire_suspects(Quarantine& quarantine, Millis now) {
  std::erase_if(quarantine.suspects, [&](const auto& entry) {
    return now - entry.second.last > kSuspicionLife;
  });
}

}  // namespace peridotreach
