#pragma once

// Steps in handling a generation that several events share. Each step leaves
// the state consistent and appends the resulting effects.

#include <cstdint>
#include <string>

#include "libperidotreach/entry_context.h"

namespace peridotreach {

// Returns the generation of `request`, or null.
Generation* find_generation(EntryState& state, std::uint64_t request);

// Returns the policy of rank `id`, or a default policy if it is not defined.
const RankPolicy& rank_policy(const EntryState& state, const std::string& id);

// Returns the untried cell that the request's prefix hashes to, or an empty
// string if none is left. Equal prefixes map to the same cell, so that they can
// share cached prefixes. Cells of this region are preferred.
std::string choose_cell(const EntryState& state, const Generation& generation);

// Reports the progress of the generation to its dispatcher.
void report_progress(const EntryContext& context, const Generation& generation,
                     RunState run);

// Closes the connection of the current attempt. Events that still arrive on it
// belong to an older attempt and are ignored.
void close_attempt(const EntryContext& context, Generation& generation);

// Adds `value` to the histogram of the generation's rank and caller.
void observe(const EntryContext& context, const Generation& generation,
             MetricKind metric, double value);

// Removes the generation and answers its caller. The outcome states
// kNotExecuted only if no attempt can have run.
void finish_generation(const EntryContext& context, std::uint64_t request,
                       FinishRequest outcome);

// Removes the generation from its dispatcher's queue if it waits there.
void dequeue_generation(const EntryContext& context,
                        const Generation& generation);

// Queues the generation at the dispatcher of its cell. Refuses it if the
// service has no endpoint or the cell no dispatcher.
void queue_generation(const EntryContext& context, std::uint64_t request);

// Connects the generation to its endpoint as a new attempt.
void connect_endpoint(const EntryContext& context, std::uint64_t request);

// Retries the generation on another endpoint after a backoff. Called only while
// no token of it has reached the caller.
void retry_elsewhere(const EntryContext& context, std::uint64_t request,
                     RunState run, const std::string& cause);

// Replaces the connection with one that resumes at the next event. Counts the
// endpoint as lost after too many reconnects without progress.
void reconnect(const EntryContext& context, std::uint64_t request,
               const std::string& cause);

// Handles the loss of an endpoint: retries on another endpoint before the first
// token, ends the stream with RefusalKind::kEndpointLost after it.
void handle_endpoint_loss(const EntryContext& context, std::uint64_t request,
                          const std::string& cause);

// Closes the connection and cancels the generation at its endpoint.
void cancel_running(const EntryContext& context, Generation& generation,
                    bool only_unwatched);

}  // namespace peridotreach
