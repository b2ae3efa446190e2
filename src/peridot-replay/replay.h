#pragma once

// Replays a recorded trace through the reducer that made it.

#include <cstdint>
#include <map>
#include <string>

#include "libperidotreach/error.h"
#include "libperidotreach/refusal_kind.h"

namespace peridotreach {

// How one request ended in a trace. `at` is milliseconds after the first
// event.
struct ReplayedOutcome {
  RefusalKind kind = RefusalKind::kNone;
  ExecutionStatus ran = ExecutionStatus::kUnknown;
  std::int64_t at = 0;
  std::uint64_t tokens = 0;

  bool operator==(const ReplayedOutcome&) const = default;
};

// What a replay found.
struct ReplayReport {
  std::string reducer;
  std::uint64_t steps = 0;
  std::uint64_t effects = 0;
  std::uint64_t grants = 0;
  std::uint64_t refusals = 0;
  std::uint64_t withdrawals = 0;
  std::map<std::uint64_t, ReplayedOutcome> outcomes;

  bool operator==(const ReplayReport&) const = default;
};

// Replays the trace at `path` and compares every effect. kConflict names the
// first step whose effects differ.
Result<ReplayReport> replay_trace(const std::string& path);

// Compares a report with the outcomes stated in JSON. Returns what differs,
// empty if nothing does.
Result<std::string> check_outcomes(const ReplayReport& report,
                                   const std::string& stated);

}  // namespace peridotreach
