#pragma once

// Estimates the output length of a generation from the caller's hint, which is
// right only at the median, and from the past output lengths of its route.

#include <cstdint>

#include "libperidotreach/length_model.h"
#include "libperidotreach/routing/routing_state.h"

namespace peridotreach {

// Returns the expected output tokens of a request that has not run yet.
double expected_output_tokens(const RoutingState& state,
                              const RequestState& request);

// Returns the expected output tokens of a running request that has produced
// `produced` tokens, more than previously expected.
double expected_output_after_overrun(const LengthModel& lengths,
                                     const RequestState& request,
                                     double produced);

// Adds a finished generation to the statistics.
void record_output_length(RoutingState& state, const RequestState& request,
                          double produced);

}  // namespace peridotreach
