#pragma once

// Replays a recorded trace through the reducer that produced it.

#include <cstdint>
#include <map>
#include <string>

#include "libperidotreach/error.h"
#include "libperidotreach/refusal_kind.h"

namespace peridotreach {

// How one request ended in a trace. The time is in milliseconds after the first
// event of the trace.
struct ReplayedOutcome {
  RefusalKind refusal_kind = RefusalKind::kNone;
  ExecutionStatus execution_status = ExecutionStatus::kUnknown;
  std::int64_t ended_at_ms = 0;
  std::uint64_t relayed_tokens = 0;

  bool operator==(const ReplayedOutcome&) const = default;
};

// Totals of a replay, and the outcome of every request by its number.
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

// Replays the trace at `path` and compares the effects of every step with the
// recorded ones. Returns kConflict for the first step whose effects differ.
Result<ReplayReport> replay_trace(const std::string& path);

// Compares a report with the expected outcomes in JSON. Members that the JSON
// omits are not checked. Returns one line per difference, empty if there is
// none.
Result<std::string> check_outcomes(const ReplayReport& report,
                                   const std::string& expected_json);

}  // namespace peridotreach
