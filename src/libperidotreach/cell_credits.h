#pragma once

// Standing credits: while a cell is uncontended its dispatcher lets entries
// start requests without asking, which saves an enqueue and a grant for each.
// Credits replace earlier ones, end with time, and are revoked at once when
// work has to wait or an endpoint dies.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/cell_queue.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// How long credits are valid, and the time between new ones.
inline constexpr Millis kCreditLifetime = 2 * kSecond;
inline constexpr Millis kCreditInterval = kSecond;

// The most endpoints in one entry's credits: each costs bytes every time.
inline constexpr std::size_t kMaxCreditEndpoints = 4;

// Returns whether entries may spend credits in `cell`: nothing waits, nothing
// waited lately, and no request is suspected of crashing endpoints.
bool is_uncontended(const CellState& cell, Millis now);

// Returns the credits of the entry `vm` when the spare slots are shared by
// `entries`. Each entry gets a few endpoints of its own.
std::vector<Credit> credits_for_entry(const CellState& cell,
                                      const FleetConfig& config, Millis now,
                                      const std::string& vm,
                                      std::size_t entries);

// Issues credits that are due to the entries in `vms`, or revokes them.
void update_credits(CellState& cell, const CellContext& context,
                    const std::vector<std::string>& vms);

}  // namespace peridotreach
