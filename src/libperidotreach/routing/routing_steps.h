#pragma once

// Steps that the parts of the routing reducer share.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/routing_effect.h"
#include "libperidotreach/routing/routing_state.h"

namespace peridotreach {

// The state being changed and the effects so far.
struct RoutingContext {
  RoutingState& state;
  std::vector<RoutingEffect>& effects;
};

// Records a decision on a request, or a change of belief if it is 0.
void record_decision(const RoutingContext& context, std::string decision,
                     std::uint64_t request, std::vector<DecisionField> fields);

// Returns the request, null if it is over.
RequestState* find_request(const RoutingContext& context, std::uint64_t key);

// Returns the endpoint, null if it is not known.
EndpointState* find_endpoint(const RoutingContext& context,
                             const std::string& id);

// Books the request on an endpoint as running there, or off it.
void assign_endpoint(const RoutingContext& context, RequestState& request,
                     const std::string& endpoint);

// Books tokens of copies at an endpoint, or off it.
void reserve_for_copy(const RoutingContext& context,
                      const std::string& endpoint, std::uint64_t tokens);
void release_copy_reservation(const RoutingContext& context,
                              const std::string& endpoint,
                              std::uint64_t tokens);

// Ends the request with a status of our own.
void fail_request(const RoutingContext& context, std::uint64_t key,
                  unsigned status, Millis retry_after,
                  const std::string& reason);

// Forgets the request and frees what it holds.
void release_request(const RoutingContext& context, std::uint64_t key);

// Returns the output tokens that a generation has produced.
double produced_tokens(const RoutingState& state, const RequestState& request);

// Takes one repeat of the service from the budget that `sharers` processes
// draw on at the same time.
bool try_take_service_retry(const RoutingContext& context,
                            const std::string& service, std::size_t sharers);

// Sends the request to `endpoint`; `source` names the memory it goes on from.
void start_attempt(const RoutingContext& context, std::uint64_t key,
                   RequestState& request, const std::string& endpoint,
                   KvCacheSource source);

// Requests (routed_requests.cc).
void on_request_arrived(const RoutingContext& context,
                        const RequestArrived& event);
void on_caller_disconnected(const RoutingContext& context,
                            const CallerDisconnected& event);
void on_attempt_ended(const RoutingContext& context, const AttemptEnded& event);
void on_stream_opened(const RoutingContext& context, const StreamOpened& event);
void on_stream_event_received(const RoutingContext& context,
                              const StreamEventReceived& event);
void end_overdue_requests(const RoutingContext& context);
void place_waiting_requests(const RoutingContext& context);

// Room at engines (engine_placement.cc).
void on_placement_requested(const RoutingContext& context,
                            const PlacementRequested& event);
void on_placement_answered(const RoutingContext& context,
                           const PlacementAnswered& event);
// Returns what a request that has not run needs.
PlacementRequirements placement_requirements(const RoutingState& state,
                                             const RequestState& request);
// Returns what to choose an endpoint by for `room`.
EndpointCriteria endpoint_criteria(const RoutingState& state,
                                   const PlacementRequirements& room);
// Counts the move that asks for room on the retry budget which `sharers`
// processes draw on, once however often it is tried within half a window.
// Returns whether the budget has a place for it.
bool charge_move(const RoutingContext& context, const PlacementRequested& move,
                 std::size_t sharers);
// Finds an endpoint for a stream, or has it wait for room. Returns whether it
// waits or is on its way.
bool wait_for_placement(const RoutingContext& context, std::uint64_t key,
                        RequestState& request);

// Moves (generation_moves.cc).
void plan_moves(const RoutingContext& context);
void on_copy_lease_granted(const RoutingContext& context,
                           const CopyLeaseGranted& event);
void on_target_chosen(const RoutingContext& context, std::uint64_t key,
                      RequestState& request, const std::string& target);
void on_copy_finished(const RoutingContext& context, const CopyFinished& event);
// Goes on at the endpoint that stopped a generation if its target did not run
// it. Returns whether it does; a generation that has run never runs anew.
bool return_to_previous_endpoint(const RoutingContext& context,
                                 std::uint64_t key, RequestState& request);
// Ends a move, whatever it has come to.
void clear_move(const RoutingContext& context, std::uint64_t key,
                RequestState& request);

// Takes the end of an attempt whose generation is being moved. Returns whether
// the end belongs to the move.
bool on_source_ended(const RoutingContext& context, std::uint64_t key,
                     RequestState& request, const AttemptEnded& event);

}  // namespace peridotreach
