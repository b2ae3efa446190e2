#pragma once

// Early refusal of requests that cannot start by their deadline.

#include "libperidotreach/cell_state.h"
#include "libperidotreach/fleet_config.h"
#include "libperidotreach/refusal_kind.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Time before its deadline at which a waiting request is refused.
inline constexpr Millis kRefusalLeadTime = 150;

// The verdict on a request; `kind` is kNone if it may wait.
struct AdmissionDecision {
  RefusalKind kind = RefusalKind::kNone;
  Millis retry_after = 0;

  bool operator==(const AdmissionDecision&) const = default;
};

// Returns the expected wait of a request that joins its caller's queue with
// `ahead` others before it; 0 if the rank is not contended.
Millis expected_wait(const RankQueue& queue, const FleetConfig& config,
                     const std::string& caller, std::size_t ahead, Millis now);

// Judges a request that arrives.
AdmissionDecision admit(const CellState& cell, const FleetConfig& config,
                        const QueuedRequest& item, Millis now);

// Judges a request that waits.
AdmissionDecision recheck_admission(const CellState& cell,
                                    const FleetConfig& config,
                                    const QueuedRequest& item, Millis now);

}  // namespace peridotreach
