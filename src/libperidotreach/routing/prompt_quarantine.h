#pragma once

// Quarantine of prompts that share a part which crashes engines, whatever else
// they hold. A crash ends all requests on its engine, in many processes.
// Processes report the prompts whose generations had just begun and the parts
// that are sound, and each works out by itself which parts explain the crashes.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// How long a generation runs from its first event on until its prompt counts as
// sound. A prompt that crashes engines does so when the output begins.
inline constexpr Millis kSoundAfter = kSecond;

// A prompt whose generation had just begun when its engine crashed.
struct PromptCrash {
  // Identifies the engine's process that ended.
  std::uint64_t crash = 0;
  // Shared parts of the prompt in ascending order, without those on which
  // generations ran later.
  std::vector<std::uint64_t> parts;
  Millis at = 0;
  // Whether this process had the request.
  bool is_own = false;

  bool operator==(const PromptCrash&) const = default;
};

// A part that was present at a crash.
struct CrashedPart {
  Millis last_crash_at = 0;
  // When a generation on it first ran on after that; 0 if none did. Unlike the
  // last time it changes rarely, so that it can be reported.
  Millis sound_since = 0;

  bool operator==(const CrashedPart&) const = default;
};

// What one process reports to others. Times are those of the process that holds
// it.
struct PromptReport {
  std::vector<PromptCrash> crashes;
  // When generations on parts first ran on after the last known crash.
  std::map<std::uint64_t, Millis> sound_at;

  bool operator==(const PromptReport&) const = default;
};

// Parts in ascending order. A prompt that holds all of them is rejected. There
// is more than one if they occurred only together, so that prompts with some of
// them, which may be sound, are not rejected.
using PromptPattern = std::vector<std::uint64_t>;

// What a process knows of prompts that crash engines. Bounded in size.
struct PromptQuarantine {
  // In the order of their time.
  std::vector<PromptCrash> crashes;
  // When a generation on a part was last seen to run on.
  std::map<std::uint64_t, Millis> sound_at;
  // Parts that were present at crashes, whether they are sound or not.
  std::map<std::uint64_t, CrashedPart> crashed_parts;
  // Derived from the above.
  std::vector<PromptPattern> patterns;

  bool operator==(const PromptQuarantine&) const = default;
};

// Patterns that came into force, and those that are no longer.
struct PatternChange {
  std::vector<PromptPattern> added;
  std::vector<PromptPattern> removed;

  bool operator==(const PatternChange&) const = default;
};

// Identifies the end of an engine's process.
std::uint64_t crash_identity(const std::string& endpoint,
                             std::uint64_t started_at_ms);

// Records that a generation on `parts` had just begun when its engine crashed.
PatternChange record_prompt_crash(PromptQuarantine& quarantine,
                                  const std::vector<std::uint64_t>& parts,
                                  std::uint64_t crash, Millis now);

// Records that a generation on `parts` runs on, which clears them.
PatternChange record_sound_prompt(PromptQuarantine& quarantine,
                                  const std::vector<std::uint64_t>& parts,
                                  Millis now);

// Adds what a peer knows.
PatternChange merge_report(PromptQuarantine& quarantine,
                           const PromptReport& report, Millis now);

// Returns what to report to others: all recent crashes, or without `as_relay`
// only those of this process, and in any case those that explain a pattern.
PromptReport make_report(const PromptQuarantine& quarantine, bool as_relay,
                         Millis now);

// Returns the crashes that explain the patterns in force. They are kept in the
// store, so that a quarantine outlasts the loss of all processes.
std::vector<PromptCrash> pattern_evidence(const PromptQuarantine& quarantine);

// Returns whether a prompt with these parts is rejected.
bool is_quarantined(const PromptQuarantine& quarantine,
                    const std::vector<std::uint64_t>& parts);

// Removes what has expired.
PatternChange expire_prompts(PromptQuarantine& quarantine, Millis now);

}  // namespace peridotreach
