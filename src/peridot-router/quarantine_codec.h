#pragma once

// The form in which the quarantine of prompts is kept in the store.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/error.h"
#include "libperidotreach/routing/prompt_quarantine.h"

namespace peridotreach {

// The same moment on the clock of a process and as a time of day in
// milliseconds since the Unix epoch.
struct ClockReading {
  Millis monotonic = 0;
  std::uint64_t wall_ms = 0;
};

// Encodes the crashes that explain a quarantine.
std::string encode_quarantine(const std::vector<PromptCrash>& crashes,
                              const ClockReading& now);

// Decodes them, with times of this process. The time of day of the process that
// wrote them may differ; a crash then appears some seconds older or younger.
Result<PromptReport> decode_quarantine(const std::string& stored,
                                       const ClockReading& now);

}  // namespace peridotreach
