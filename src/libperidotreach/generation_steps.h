#pragma once

// Steps in the life of a generation that several events share. Each leaves
// the state consistent and appends the effects that follow.

#include <cstdint>
#include <string>

#include "libperidotreach/entry_context.h"

namespace peridotreach {

// Returns the generation of `request`, or null.
Generation* find_generation(EntryState& state, std::uint64_t request);

// Returns the rank with `id`; one with default targets if it is not defined.
const RankPolicy& rank_policy(const EntryState& state, const std::string& id);

// Chooses the untried cell that the request's prefix hashes to, so that equal
// prefixes meet one cache; empty if none is left.
std::string choose_cell(const EntryState& state, const Generation& generation);

// Reports to the dispatcher how the generation stands.
void report_progress(const EntryContext& context, const Generation& generation,
                     RunState run);

// Drops the connection of the present attempt; what it still says is of an
// older attempt from here on.
void close_attempt(const EntryContext& context, Generation& generation);

// Adds to the histograms of the generation's rank and caller.
void observe(const EntryContext& context, const Generation& generation,
             MetricKind measure, double value);

// Removes the generation and answers its caller. "Not run" is only said if no
// attempt can have run.
void finish_generation(const EntryContext& context, std::uint64_t request,
                       FinishRequest outcome);

// Tells the dispatcher to forget the generation if it waits there.
void dequeue_generation(const EntryContext& context,
                        const Generation& generation);

// Queues the generation at the dispatcher of its cell; refuses it if the
// service has no endpoint.
void queue_generation(const EntryContext& context, std::uint64_t request);

// Connects the generation to its endpoint as a new attempt.
void connect_endpoint(const EntryContext& context, std::uint64_t request);

// Runs the generation again elsewhere. Only called while no token of it has
// reached the caller.
void retry_elsewhere(const EntryContext& context, std::uint64_t request,
                     RunState run, const std::string& cause);

// Replaces a connection by one that goes on at the next event.
void reconnect(const EntryContext& context, std::uint64_t request,
               const std::string& cause);

// Handles a lost endpoint: another one before the first token, a typed end
// after it.
void handle_endpoint_loss(const EntryContext& context, std::uint64_t request,
                          const std::string& cause);

// Cancels the generation at its endpoint.
void cancel_running(const EntryContext& context, Generation& generation,
                    bool only_unwatched);

}  // namespace peridotreach
