#include "libperidotreach/routing/prompt_quarantine.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "libperidotreach/quarantine.h"
#include "libperidotreach/routing/rendezvous.h"

namespace peridotreach {
namespace {

// Crashes that a part explains after which it is quarantined. Two may be a
// coincidence.
constexpr std::size_t kCrashesToQuarantine = 3;

// Crashes closer together than this count once: engines that fail at the same
// moment share another cause.
constexpr Millis kMinCrashInterval = 200;

// How long an observation is reported to others, who keep it themselves.
constexpr Millis kReportedFor = kMinute;

// The most entries kept and reported.
constexpr std::size_t kMaxCrashes = 256;
constexpr std::size_t kMaxReportedCrashes = 64;
constexpr std::size_t kMaxSoundParts = 1024;
constexpr std::size_t kMaxCrashedParts = 512;
constexpr std::size_t kMaxReportedSoundParts = 64;

// The times of crashes by their identity.
using CrashTimes = std::map<std::uint64_t, Millis>;

Millis time_of(Millis at) { return at; }
Millis time_of(const CrashedPart& part) { return part.last_crash_at; }

template <class Value>
void keep_newest(std::map<std::uint64_t, Value>& values, std::size_t most) {
  while (values.size() > most) {
    values.erase(std::min_element(
        values.begin(), values.end(), [](const auto& a, const auto& b) {
          return time_of(a.second) < time_of(b.second);
        }));
  }
}

bool contains(const std::vector<std::uint64_t>& sorted, std::uint64_t part) {
  return std::binary_search(sorted.begin(), sorted.end(), part);
}

bool includes(const std::vector<std::uint64_t>& sorted,
              const PromptPattern& pattern) {
  return std::includes(sorted.begin(), sorted.end(), pattern.begin(),
                       pattern.end());
}

std::vector<std::uint64_t> sorted_parts(std::vector<std::uint64_t> parts) {
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

// Returns the crashes on each part.
std::map<std::uint64_t, CrashTimes> crashes_by_part(
    const std::vector<PromptCrash>& crashes) {
  std::map<std::uint64_t, CrashTimes> by_part;
  for (const PromptCrash& crash : crashes) {
    for (const std::uint64_t part : crash.parts)
      by_part[part].emplace(crash.crash, crash.at);
  }
  return by_part;
}

// Returns how many crashes lie at least kMinCrashInterval apart.
std::size_t count_separate(const std::set<Millis>& times) {
  std::size_t separate = 0;
  Millis last = 0;
  for (const Millis at : times) {
    if (separate > 0 && at - last < kMinCrashInterval) continue;
    separate += 1;
    last = at;
  }
  return separate;
}

// Returns the parts that explain enough crashes. A crash is explained by those
// of its parts that were present at the most crashes.
std::vector<std::uint64_t> culprits(
    const std::map<std::uint64_t, CrashTimes>& by_part) {
  std::map<std::uint64_t, std::size_t> most_by_crash;
  for (const auto& [part, crashes] : by_part) {
    for (const auto& [crash, at] : crashes) {
      std::size_t& most = most_by_crash[crash];
      most = std::max(most, crashes.size());
    }
  }
  std::vector<std::uint64_t> found;
  for (const auto& [part, crashes] : by_part) {
    std::set<Millis> explained;
    for (const auto& [crash, at] : crashes) {
      if (most_by_crash[crash] == crashes.size()) explained.insert(at);
    }
    if (count_separate(explained) >= kCrashesToQuarantine)
      found.push_back(part);
  }
  return found;
}

// Returns the parts that occurred together with `part` at each of its crashes.
PromptPattern pattern_of(const std::vector<PromptCrash>& crashes,
                         std::uint64_t part) {
  std::map<std::uint64_t, std::set<std::uint64_t>> parts_by_crash;
  for (const PromptCrash& crash : crashes) {
    if (!contains(crash.parts, part)) continue;
    parts_by_crash[crash.crash].insert(crash.parts.begin(), crash.parts.end());
  }
  PromptPattern pattern;
  bool is_first = true;
  for (const auto& crash : parts_by_crash) {
    const std::set<std::uint64_t>& parts = crash.second;
    if (std::exchange(is_first, false)) {
      pattern.assign(parts.begin(), parts.end());
      continue;
    }
    std::erase_if(pattern, [&](std::uint64_t candidate) {
      return !parts.contains(candidate);
    });
  }
  return pattern;
}

PatternChange update_patterns(PromptQuarantine& quarantine) {
  std::set<PromptPattern> patterns;
  for (const std::uint64_t part : culprits(crashes_by_part(quarantine.crashes)))
    patterns.insert(pattern_of(quarantine.crashes, part));
  const std::vector<PromptPattern> before =
      std::exchange(quarantine.patterns, {patterns.begin(), patterns.end()});
  PatternChange change;
  std::set_difference(quarantine.patterns.begin(), quarantine.patterns.end(),
                      before.begin(), before.end(),
                      std::back_inserter(change.added));
  std::set_difference(before.begin(), before.end(), quarantine.patterns.begin(),
                      quarantine.patterns.end(),
                      std::back_inserter(change.removed));
  return change;
}

// Removes the oldest of those records whose parts were present at the fewest
// crashes.
void remove_least_informative(std::vector<PromptCrash>& crashes) {
  const auto by_part = crashes_by_part(crashes);
  const auto most_crashes = [&](const PromptCrash& crash) {
    std::size_t most = 0;
    for (const std::uint64_t part : crash.parts)
      most = std::max(most, by_part.at(part).size());
    return most;
  };
  crashes.erase(
      std::min_element(crashes.begin(), crashes.end(),
                       [&](const PromptCrash& a, const PromptCrash& b) {
                         return std::pair(most_crashes(a), a.at) <
                                std::pair(most_crashes(b), b.at);
                       }));
}

void record_sound(CrashedPart& part, Millis sound_at) {
  if (part.sound_since == 0 && sound_at >= part.last_crash_at)
    part.sound_since = sound_at;
}

void record_crashed_part(CrashedPart& part, Millis crash_at, Millis sound_at) {
  part.last_crash_at = std::max(part.last_crash_at, crash_at);
  if (part.sound_since < part.last_crash_at) part.sound_since = 0;
  record_sound(part, sound_at);
}

// Adds an observation, without parts that were seen to be sound since, unless
// it is known. Returns whether it was added.
bool add_crash(PromptQuarantine& quarantine, PromptCrash observed) {
  std::erase_if(observed.parts, [&](std::uint64_t part) {
    const auto sound = quarantine.sound_at.find(part);
    // Times before the boot of this VM are negative.
    const bool is_sound =
        sound != quarantine.sound_at.end() && sound->second >= observed.at;
    record_crashed_part(quarantine.crashed_parts[part], observed.at,
                        is_sound ? sound->second : 0);
    return is_sound;
  });
  keep_newest(quarantine.crashed_parts, kMaxCrashedParts);
  if (observed.parts.empty()) return false;
  const bool is_known =
      std::any_of(quarantine.crashes.begin(), quarantine.crashes.end(),
                  [&](const PromptCrash& known) {
                    return known.crash == observed.crash &&
                           includes(known.parts, observed.parts);
                  });
  if (is_known) return false;
  const auto later = std::upper_bound(
      quarantine.crashes.begin(), quarantine.crashes.end(), observed,
      [](const PromptCrash& a, const PromptCrash& b) { return a.at < b.at; });
  quarantine.crashes.insert(later, std::move(observed));
  if (quarantine.crashes.size() > kMaxCrashes)
    remove_least_informative(quarantine.crashes);
  return true;
}

// Returns whether this removed the part from a crash.
bool clear_part(PromptQuarantine& quarantine, std::uint64_t part,
                Millis sound_at) {
  Millis& known_at =
      quarantine.sound_at.try_emplace(part, sound_at).first->second;
  known_at = std::max(known_at, sound_at);
  const auto crashed = quarantine.crashed_parts.find(part);
  if (crashed != quarantine.crashed_parts.end())
    record_sound(crashed->second, known_at);
  bool is_removed = false;
  for (PromptCrash& crash : quarantine.crashes) {
    if (crash.at > known_at) break;
    is_removed |= std::erase(crash.parts, part) > 0;
  }
  std::erase_if(quarantine.crashes,
                [](const PromptCrash& crash) { return crash.parts.empty(); });
  return is_removed;
}

// Returns whether `crash` is evidence for a pattern in force.
bool explains_pattern(const PromptQuarantine& quarantine,
                      const PromptCrash& crash) {
  return std::any_of(quarantine.patterns.begin(), quarantine.patterns.end(),
                     [&](const PromptPattern& pattern) {
                       return includes(crash.parts, pattern);
                     });
}

}  // namespace

std::uint64_t crash_identity(const std::string& endpoint,
                             std::uint64_t started_at_ms) {
  return rendezvous_weight(endpoint, std::to_string(started_at_ms));
}

PatternChange record_prompt_crash(PromptQuarantine& quarantine,
                                  const std::vector<std::uint64_t>& parts,
                                  std::uint64_t crash, Millis now) {
  if (!add_crash(quarantine, {crash, sorted_parts(parts), now, true}))
    return {};
  return update_patterns(quarantine);
}

PatternChange record_sound_prompt(PromptQuarantine& quarantine,
                                  const std::vector<std::uint64_t>& parts,
                                  Millis now) {
  bool is_changed = false;
  for (const std::uint64_t part : parts)
    is_changed |= clear_part(quarantine, part, now);
  keep_newest(quarantine.sound_at, kMaxSoundParts);
  return is_changed ? update_patterns(quarantine) : PatternChange();
}

PatternChange merge_report(PromptQuarantine& quarantine,
                           const PromptReport& report, Millis now) {
  bool is_changed = false;
  for (const auto& [part, at] : report.sound_at)
    is_changed |= clear_part(quarantine, part, std::min(at, now));
  keep_newest(quarantine.sound_at, kMaxSoundParts);
  for (const PromptCrash& crash : report.crashes) {
    if (now - crash.at > kSuspectLifetime) continue;
    is_changed |= add_crash(
        quarantine, {crash.crash, sorted_parts(crash.parts), crash.at, false});
  }
  return is_changed ? update_patterns(quarantine) : PatternChange();
}

PromptReport make_report(const PromptQuarantine& quarantine, bool as_relay,
                         Millis now) {
  PromptReport report;
  std::vector<PromptCrash> others;
  for (auto crash = quarantine.crashes.rbegin();
       crash != quarantine.crashes.rend(); ++crash) {
    if (explains_pattern(quarantine, *crash)) {
      report.crashes.push_back(*crash);
      continue;
    }
    if ((as_relay || crash->is_own) && now - crash->at <= kReportedFor)
      others.push_back(*crash);
  }
  report.crashes.insert(report.crashes.end(), others.begin(), others.end());
  if (report.crashes.size() > kMaxReportedCrashes)
    report.crashes.resize(kMaxReportedCrashes);
  for (const auto& [part, crashed] : quarantine.crashed_parts) {
    if (crashed.sound_since != 0) report.sound_at[part] = crashed.sound_since;
  }
  keep_newest(report.sound_at, kMaxReportedSoundParts);
  return report;
}

std::vector<PromptCrash> pattern_evidence(const PromptQuarantine& quarantine) {
  // The newest ones, if there are more than may be reported.
  std::vector<PromptCrash> evidence;
  for (auto crash = quarantine.crashes.rbegin();
       crash != quarantine.crashes.rend(); ++crash) {
    if (evidence.size() == kMaxReportedCrashes) break;
    if (explains_pattern(quarantine, *crash)) evidence.push_back(*crash);
  }
  return evidence;
}

bool is_quarantined(const PromptQuarantine& quarantine,
                    const std::vector<std::uint64_t>& parts) {
  if (quarantine.patterns.empty()) return false;
  const std::vector<std::uint64_t> sorted = sorted_parts(parts);
  return std::any_of(
      quarantine.patterns.begin(), quarantine.patterns.end(),
      [&](const PromptPattern& pattern) { return includes(sorted, pattern); });
}

PatternChange expire_prompts(PromptQuarantine& quarantine, Millis now) {
  const auto is_expired = [now](const auto& entry) {
    return now - time_of(entry.second) > kSuspectLifetime;
  };
  std::erase_if(quarantine.sound_at, is_expired);
  std::erase_if(quarantine.crashed_parts, is_expired);
  const auto removed =
      std::erase_if(quarantine.crashes, [&](const PromptCrash& crash) {
        return now - crash.at > kSuspectLifetime;
      });
  return removed > 0 ? update_patterns(quarantine) : PatternChange();
}

}  // namespace peridotreach
