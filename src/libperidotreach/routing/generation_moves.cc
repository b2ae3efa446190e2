// Moves running generations to another endpoint. The KV cache is copied while
// the generation keeps running; then the generation stops, the rest is copied,
// and it resumes at the target after the last event that the caller has
// received.

#include <algorithm>
#include <utility>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// Move attempts of one generation from one endpoint.
constexpr std::uint32_t kMaxMoveAttempts = 8;

// Delay before a failed move is attempted again.
constexpr Millis kMoveRetryDelay = 60;

// Interval of lease requests, and the silence of the coordinator after which a
// generation is copied without a lease.
constexpr Millis kLeaseRequestInterval = 80;
constexpr Millis kLeaseCoordinatorTimeout = 200;

// Silence of the placement coordinator after which a target is chosen by the
// local view.
constexpr Millis kPlacementCoordinatorTimeout = 60;

// Time for which an endpoint that leaves on short notice is certain to keep
// serving.
constexpr Millis kMinLeaveNotice = 1400;

bool supports_moves(const RoutingState& state, const std::string& service) {
  const EngineSpec* engine = find_engine_spec(state, service);
  return engine != nullptr && engine->can_move_generations;
}

bool is_leaving(const RoutingState& state, const std::string& endpoint) {
  const auto found = state.endpoints.find(endpoint);
  return found != state.endpoints.end() && found->second.leaving_since != 0;
}

bool is_in_closed_zone(const RoutingState& state, const std::string& endpoint) {
  const auto found = state.endpoints.find(endpoint);
  return found != state.endpoints.end() && found->second.zone_closed_since != 0;
}

void request_copy(const RoutingContext& context, std::uint64_t request_number,
                  RequestState& request, bool stop_source) {
  if (stop_source) request.stop_ordered = true;
  (stop_source ? request.move.stop_ordered_at : request.move.copy_started_at) =
      context.state.now;
  const EndpointEntry& source =
      context.state.endpoints.at(request.endpoint).entry;
  const EndpointEntry& target =
      context.state.endpoints.at(request.move.target).entry;
  CopyGeneration copy;
  copy.request = request_number;
  copy.address = source.address;
  copy.port = source.port;
  copy.target_address = target.address;
  copy.target_port = target.port;
  copy.stop_source = stop_source;
  context.effects.push_back(std::move(copy));
}

// Returns whether a generation is expected to end before its endpoint is gone.
// The expected length is right only at the median; a generation that exceeds it
// is moved at that point.
bool ends_in_time(const RoutingState& state, const RequestState& request) {
  const EndpointState& endpoint = state.endpoints.at(request.endpoint);
  const Millis time_left = endpoint.leaving_since + kMinLeaveNotice - state.now;
  const double produced = produced_tokens(state, request);
  const auto expected = static_cast<double>(
      request.projected_tokens - request.caller_request.prompt_tokens);
  if (request.event_count < 2 || produced >= expected) return false;
  const double ms_per_token =
      static_cast<double>(state.now - request.stream_opened_at) / produced;
  return ms_per_token * (expected - produced) < static_cast<double>(time_left);
}

bool wants_to_move(const RoutingState& state, const RequestState& request) {
  return request.relaying && request.move.phase == MovePhase::kNone &&
         request.move.attempts < kMaxMoveAttempts &&
         request.move.not_before <= state.now &&
         is_leaving(state, request.endpoint) &&
         supports_moves(state, request.service) &&
         !ends_in_time(state, request);
}

void request_lease(const RoutingContext& context, std::uint64_t request_number,
                   RequestState& request) {
  GenerationMove& move = request.move;
  if (move.phase == MovePhase::kNone)
    move.last_lease_reply_at = context.state.now;
  move.phase = MovePhase::kAwaitingLease;
  move.lease_requested_at = context.state.now;
  context.effects.push_back(RequestCopyLease{request_number, request.endpoint});
}

// Lets another generation copy first and retries after a delay.
void postpone_move(const RoutingContext& context, std::uint64_t request_number,
                   RequestState& request) {
  clear_move(context, request_number, request);
  request.move.full_targets.clear();
  request.move.not_before = context.state.now + kMoveRetryDelay;
}

PlacementRequirements move_requirements(const RoutingState& state,
                                        const RequestState& request) {
  PlacementRequirements requirements;
  requirements.service = request.service;
  requirements.projected_tokens = request.projected_tokens;
  requirements.rank = request.rank;
  requirements.zone = state.endpoints.at(request.endpoint).entry.zone;
  requirements.is_move = true;
  requirements.excluded_endpoints = {request.move.full_targets.begin(),
                                     request.move.full_targets.end()};
  for (std::string& id : avoided_endpoints(state, request.service))
    requirements.excluded_endpoints.push_back(std::move(id));
  requirements.excluded_endpoints.push_back(request.endpoint);
  return requirements;
}

// Requests a target among the endpoints that have not reported a lack of
// capacity.
void request_target(const RoutingContext& context, std::uint64_t request_number,
                    RequestState& request) {
  request.move.phase = MovePhase::kAwaitingTarget;
  request.move.target_requested_at = context.state.now;
  PlacementRequirements requirements =
      move_requirements(context.state, request);
  // The generations that leave the engines of a zone share the links of the
  // targets there, so the coordinator of that zone chooses all targets.
  std::string source_zone = requirements.zone;
  context.effects.push_back(RequestPlacement{
      request_number, std::move(requirements), std::move(source_zone)});
}

void start_copy(const RoutingContext& context, std::uint64_t request_number,
                RequestState& request, const std::string& target) {
  GenerationMove& move = request.move;
  move.phase = MovePhase::kCopying;
  move.target = target;
  move.attempts += 1;
  move.reserved_tokens = request.projected_tokens;
  reserve_for_copy(context, target, move.reserved_tokens);
  record_decision(context, "move_started", request_number,
                  {{"from", request.endpoint},
                   {"to", target},
                   {"events", std::to_string(request.event_count)}});
  request_copy(context, request_number, request, false);
}

void fail_move(const RoutingContext& context, std::uint64_t request_number,
               RequestState& request, unsigned status) {
  record_decision(context, "move_failed", request_number,
                  {{"from", request.endpoint},
                   {"to", request.move.target},
                   {"status", std::to_string(status)}});
  GenerationMove& move = request.move;
  if (move.reserved_tokens > 0)
    release_copy_reservation(context, move.target, move.reserved_tokens);
  move.reserved_tokens = 0;
  if (status == kHttpServiceUnavailable && move.attempts < kMaxMoveAttempts) {
    move.full_targets.insert(move.target);
    request_target(context, request_number, request);
    return;
  }
  postpone_move(context, request_number, request);
}

// Returns where a generation that `source` stopped goes on: at the target of
// its move, or at the source if the target's zone was closed meanwhile, or the
// target asked for a pause and the source is still there. Empty if neither may
// get it.
std::string endpoint_to_resume_at(const RoutingState& state,
                                  const std::string& source,
                                  const std::string& target) {
  const auto is_allowed = [&](const std::string& id) {
    const auto found = state.endpoints.find(id);
    return found != state.endpoints.end() &&
           may_continue_generations(found->second, state.now);
  };
  if (!is_allowed(target)) return is_allowed(source) ? source : "";
  const bool has_declined =
      state.endpoints.at(target).declined_until > state.now;
  const bool uses_source =
      has_declined && is_allowed(source) && state.endpoints.at(source).listed;
  return uses_source ? source : target;
}

// Counts a resumed generation at an endpoint that may be cold, unless the
// permit that was used when the target was chosen is still valid.
void count_resumed(const RoutingContext& context, const GenerationMove& move,
                   const std::string& resumed_at) {
  const RoutingState& state = context.state;
  if (!cold_rate(state, state.endpoints.at(resumed_at))) return;
  const bool has_permit = resumed_at == move.target &&
                          move.permit_used_at != 0 &&
                          state.now - move.permit_used_at < kColdPermitLifetime;
  if (!has_permit) overdraw_permits(context, resumed_at);
}

// Resumes at the target once everything is copied and the source's stream has
// ended or delivered all of its events.
void resume_if_ready(const RoutingContext& context,
                     std::uint64_t request_number, RequestState& request) {
  const GenerationMove move = request.move;
  if (move.phase != MovePhase::kResuming) return;
  const bool drained =
      move.source_ended || request.last_event_id >= move.events_made;
  if (!drained) return;
  const std::string resumed_at =
      endpoint_to_resume_at(context.state, request.endpoint, move.target);
  if (resumed_at.empty()) {
    break_off_request(context, request_number, "availability zone closed");
    return;
  }
  const EndpointEntry& source =
      context.state.endpoints.at(request.endpoint).entry;
  KvCacheSource kv_cache{source.address, source.port, move.handle,
                         request.last_event_id};
  if (!move.source_ended) {
    context.effects.push_back(CancelAttempt{request_number, request.attempt});
  }
  record_decision(
      context, "move_resumed", request_number,
      {{"from", request.endpoint},
       {"to", resumed_at},
       {"last_event", std::to_string(request.last_event_id)},
       {"events_made", std::to_string(move.events_made)},
       {"copy_ms", std::to_string(move.stop_ordered_at - move.copy_started_at)},
       {"stop_ms", std::to_string(context.state.now - move.stop_ordered_at)}});
  clear_move(context, request_number, request);
  request.move.attempts = 0;
  request.previous_endpoint = request.endpoint;
  request.previous_kv_cache = kv_cache;
  request.move_count += 1;
  request.resumed_at = context.state.now;
  count_resumed(context, move, resumed_at);
  start_attempt(context, request_number, request, resumed_at,
                std::move(kv_cache));
}

// Releases a copy that was not used, at the source and, as the source may be
// gone, at the target.
void free_copies(const RoutingContext& context, const RequestState& request) {
  const GenerationMove& move = request.move;
  if (!move.has_copy || move.phase == MovePhase::kResuming) return;
  for (const std::string& id : {move.target, request.endpoint}) {
    const EndpointState* endpoint = find_endpoint(context, id);
    if (endpoint == nullptr) continue;
    context.effects.push_back(
        FreeCopy{endpoint->entry.address, endpoint->entry.port, move.handle});
  }
}

void on_first_copy_finished(const RoutingContext& context,
                            std::uint64_t request_number, RequestState& request,
                            unsigned status) {
  if (status != kHttpOk) {
    fail_move(context, request_number, request, status);
    return;
  }
  if (is_in_closed_zone(context.state, request.move.target)) {
    free_copies(context, request);
    request.move.has_copy = false;
    fail_move(context, request_number, request, kHttpServiceUnavailable);
    return;
  }
  request.move.phase = MovePhase::kStopping;
  request_copy(context, request_number, request, true);
}

void on_final_copy_finished(const RoutingContext& context,
                            std::uint64_t request_number, RequestState& request,
                            const CopyFinished& event) {
  if (event.status != kHttpOk && event.handle.empty()) {
    const bool source_ended = request.move.source_ended;
    // An endpoint that answers has refused the order. One that has no such
    // generation any more had ended it before.
    if (event.status != 0) request.stop_ordered = false;
    if (event.status == kHttpNotFound && request.move.source_ended_whole) {
      finish_stream(context, request_number, request, {true});
      return;
    }
    fail_move(context, request_number, request, event.status);
    if (!source_ended) return;
    context.effects.push_back(AbortResponse{request_number, "move_failed"});
    release_request(context, request_number);
    return;
  }
  // The source keeps the KV cache if the target has no capacity for the rest.
  if (event.status != kHttpOk) {
    request.move.target = request.endpoint;
    request.move.permit_used_at = 0;
  }
  request.move.phase = MovePhase::kResuming;
  request.move.events_made = event.events_made;
  resume_if_ready(context, request_number, request);
}

}  // namespace

bool return_to_previous_endpoint(const RoutingContext& context,
                                 std::uint64_t request_number,
                                 RequestState& request) {
  const std::string source = std::exchange(request.previous_endpoint, "");
  if (source.empty() || source == request.endpoint) return false;
  const EndpointState* endpoint = find_endpoint(context, source);
  if (endpoint == nullptr) return false;
  if (!may_continue_generations(*endpoint, context.state.now)) return false;
  record_decision(context, "move_undone", request_number,
                  {{"from", request.endpoint}, {"to", source}});
  overdraw_permits(context, source);
  start_attempt(context, request_number, request, source,
                request.previous_kv_cache);
  return true;
}

void clear_move(const RoutingContext& context, std::uint64_t request_number,
                RequestState& request) {
  GenerationMove& move = request.move;
  if (move.lease_requested_at != 0) {
    context.effects.push_back(
        ReleaseCopyLease{request_number, request.endpoint});
  }
  if (move.reserved_tokens > 0)
    release_copy_reservation(context, move.target, move.reserved_tokens);
  free_copies(context, request);
  GenerationMove cleared;
  cleared.attempts = move.attempts;
  cleared.full_targets = std::move(move.full_targets);
  move = std::move(cleared);
}

void on_target_chosen(const RoutingContext& context,
                      std::uint64_t request_number, RequestState& request,
                      const std::string& target) {
  const EndpointState* endpoint = find_endpoint(context, target);
  const bool is_usable = endpoint != nullptr && endpoint->leaving_since == 0 &&
                         endpoint->zone_closed_since == 0 &&
                         endpoint->declined_until <= context.state.now;
  if (!is_usable) {
    postpone_move(context, request_number, request);
    return;
  }
  request.move.permit_used_at =
      cold_rate(context.state, *endpoint) ? context.state.now : 0;
  start_copy(context, request_number, request, target);
}

namespace {

// Chooses a target by the local view when the placement coordinator is silent.
// Charges the move here, which the coordinator otherwise does.
void choose_target_locally(const RoutingContext& context,
                           std::uint64_t request_number,
                           RequestState& request) {
  const RoutingState& state = context.state;
  const PlacementRequested move{state.config.vm, request_number,
                                move_requirements(state, request)};
  const std::string target =
      choose_for_move(context, endpoint_criteria(state, move.requirements));
  if (!target.empty() && !charge_move(context, move, process_count(state))) {
    record_decision(
        context, "move_withheld", request_number,
        {{"from", request.endpoint}, {"cause", "retry budget is used up"}});
    postpone_move(context, request_number, request);
    return;
  }
  on_target_chosen(context, request_number, request, target);
}

}  // namespace

void plan_moves(const RoutingContext& context) {
  RoutingState& state = context.state;
  for (auto& [request_number, request] : state.requests) {
    if (request.move.phase == MovePhase::kAwaitingLease) {
      if (state.now - request.move.last_lease_reply_at >
          kLeaseCoordinatorTimeout) {
        request_target(context, request_number, request);
      } else if (state.now - request.move.lease_requested_at >=
                 kLeaseRequestInterval) {
        request_lease(context, request_number, request);
      }
      continue;
    }
    const bool has_timed_out =
        request.move.phase == MovePhase::kAwaitingTarget &&
        state.now - request.move.target_requested_at >
            kPlacementCoordinatorTimeout;
    if (has_timed_out) {
      choose_target_locally(context, request_number, request);
      continue;
    }
    if (!wants_to_move(state, request)) continue;
    request_lease(context, request_number, request);
  }
}

void on_copy_lease_granted(const RoutingContext& context,
                           const CopyLeaseGranted& event) {
  RequestState* request = find_request(context, event.request);
  const bool awaits_lease = request != nullptr &&
                            request->move.phase == MovePhase::kAwaitingLease &&
                            request->endpoint == event.endpoint;
  if (awaits_lease) {
    request->move.has_lease = true;
    request_target(context, event.request, *request);
    return;
  }
  const bool holds_lease = request != nullptr && request->move.has_lease &&
                           request->endpoint == event.endpoint;
  if (holds_lease) return;
  context.effects.push_back(ReleaseCopyLease{event.request, event.endpoint});
}

void on_copy_finished(const RoutingContext& context,
                      const CopyFinished& event) {
  RequestState* request = find_request(context, event.request);
  if (request == nullptr) return;
  if (!event.handle.empty()) {
    request->move.handle = event.handle;
    request->move.has_copy = true;
  }
  switch (request->move.phase) {
    case MovePhase::kCopying:
      on_first_copy_finished(context, event.request, *request, event.status);
      break;
    case MovePhase::kStopping:
      on_final_copy_finished(context, event.request, *request, event);
      break;
    case MovePhase::kNone:
    case MovePhase::kAwaitingLease:
    case MovePhase::kAwaitingTarget:
    case MovePhase::kResuming:
      return;
  }
  plan_moves(context);
}

bool on_source_ended(const RoutingContext& context,
                     std::uint64_t request_number, RequestState& request,
                     const AttemptEnded& event) {
  const bool stopping = request.move.phase == MovePhase::kStopping ||
                        request.move.phase == MovePhase::kResuming;
  if (!stopping || event.outcome == AttemptOutcome::kStreamEnded) return false;
  request.move.source_ended = true;
  request.move.source_ended_whole = is_complete(event.end, false);
  resume_if_ready(context, request_number, request);
  return true;
}

}  // namespace peridotreach
