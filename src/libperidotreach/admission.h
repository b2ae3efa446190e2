#pragma once

// Admission control: refuses requests early that exceed their caller's queue
// limit or cannot start by their deadline.

#include "libperidotreach/cell_state.h"
#include "libperidotreach/fleet_config.h"
#include "libperidotreach/refusal_kind.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// How long before its start deadline a waiting request is refused.
inline constexpr Millis kRefusalLeadTime = 150;

// Whether a request may wait for a grant. `kind` is kNone if it may.
struct AdmissionDecision {
  RefusalKind kind = RefusalKind::kNone;
  Millis retry_after = 0;

  bool operator==(const AdmissionDecision&) const = default;
};

// Returns the expected wait of a request that has `ahead` requests of the same
// caller before it; 0 if the rank is not contended or its grant rate is too low
// to tell.
Millis expected_wait(const RankQueue& queue, const FleetConfig& config,
                     const std::string& caller, std::size_t ahead, Millis now);

// Decides whether an arriving request may be queued.
AdmissionDecision admit(const CellState& cell, const FleetConfig& config,
                        const QueuedRequest& item, Millis now);

// Decides whether a queued request may go on waiting.
AdmissionDecision recheck_admission(const CellState& cell,
                                    const FleetConfig& config,
                                    const QueuedRequest& item, Millis now);

}  // namespace peridotreach
