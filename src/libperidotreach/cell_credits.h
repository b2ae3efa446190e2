#pragma once

// Credits: while a cell is uncontended, its dispatcher permits entries to start
// requests without asking, which saves an enqueue and a grant message for each.
// New credits replace earlier ones. They expire, and are revoked at once when a
// request has to wait or an endpoint crashes.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/cell_queue.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// How long credits are valid, and the interval at which they are renewed.
inline constexpr Millis kCreditLifetime = 2 * kSecond;
inline constexpr Millis kCreditInterval = kSecond;

// The most endpoints in one entry's credits. Each one adds bytes to every
// credit message.
inline constexpr std::size_t kMaxCreditEndpoints = 4;

// Returns whether entries may use credits in `cell`: no request waits or waited
// recently, and none is suspected of crashing endpoints.
bool is_uncontended(const CellState& cell, Millis now);

// Returns the credits of the entry `vm` when `entries` entries share the spare
// slots. Each entry gets credits for a few endpoints only.
std::vector<Credit> credits_for_entry(const CellState& cell,
                                      const FleetConfig& config, Millis now,
                                      const std::string& vm,
                                      std::size_t entries);

// Issues due credits to the entries in `vms`, or revokes outstanding ones if
// the cell is contended.
void update_credits(CellState& cell, const CellContext& context,
                    const std::vector<std::string>& vms);

}  // namespace peridotreach
