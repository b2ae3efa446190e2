#pragma once

// Helpers shared by the parts of the entry reducer.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/entry_effect.h"
#include "libperidotreach/entry_state.h"

namespace peridotreach {

// The state under change and the effects gathered so far.
struct EntryContext {
  EntryState& state;
  std::vector<EntryEffect>& effects;
};

// Notes a decision about `request`.
void record_explanation(const EntryContext& context, std::uint64_t request,
                        const std::string& code,
                        const std::string& detail = {});

// Counts a refusal in the ledger.
void count_refusal(const EntryContext& context, const RefusalLabels& line);

// Returns the home key of this process.
HomeKey own_home(const EntryState& state);

// Draws the next pseudo-random number from the state.
std::uint64_t next_random(EntryState& state);

}  // namespace peridotreach
