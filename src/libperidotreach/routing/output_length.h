#pragma once

// Expected length of a generation's output: the caller's hint, which is right
// at the median only, weighed against the lengths that its route has had.

#include <cstdint>

#include "libperidotreach/length_model.h"
#include "libperidotreach/routing/routing_state.h"

namespace peridotreach {

// Returns the output tokens expected of a request before it runs.
double expected_output_tokens(const RoutingState& state,
                              const RequestState& request);

// Returns the output tokens expected of a running request that has produced
// `produced` of them, more than was expected so far.
double expected_output_after_overrun(const LengthModel& lengths,
                                     const RequestState& request,
                                     double produced);

// Learns from a generation that ended.
void record_output_length(RoutingState& state, const RequestState& request,
                          double produced);

}  // namespace peridotreach
