#pragma once

// Helpers shared by the files of the entry reducer.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/entry_effect.h"
#include "libperidotreach/entry_state.h"

namespace peridotreach {

// The state being updated and the effects produced so far.
struct EntryContext {
  EntryState& state;
  std::vector<EntryEffect>& effects;
};

// Records a decision about `request` for the explain endpoint.
void record_explanation(const EntryContext& context, std::uint64_t request,
                        const std::string& code,
                        const std::string& detail = {});

// Counts a refusal in the ledger and publishes the new count.
void count_refusal(const EntryContext& context, const RefusalLabels& line);

// Returns the key of the sessions opened by this process.
HomeKey own_home(const EntryState& state);

// Returns the next number of the pseudo-random generator in `state`.
std::uint64_t next_random(EntryState& state);

}  // namespace peridotreach
