// Generations that go on elsewhere: the memory is copied while the generation
// runs on, then it stops, the rest is copied, and it goes on at the target from
// the last event that the caller has.

#include <algorithm>
#include <utility>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// Moves of one generation that may be tried from one endpoint.
constexpr std::uint32_t kMostMoveTries = 8;

// Pause before a failed move is tried again.
constexpr Millis kMoveRetryPause = 60;

// Interval at which a turn is asked for again, and the silence after which a
// request copies without one.
constexpr Millis kAskInterval = 80;
constexpr Millis kTurnSilence = 200;

// Silence of the keeper of room after which a target is chosen by the own view.
constexpr Millis kKeeperSilence = 60;

// Time that an endpoint which leaves on short notice surely still serves.
constexpr Millis kSureNotice = 1400;

constexpr unsigned kOk = 200;
constexpr unsigned kNoRoom = 503;

bool can_move(const RoutingState& state, const std::string& service) {
  const EngineSpec* engine = find_engine_spec(state, service);
  return engine != nullptr && engine->can_move_generations;
}

bool is_leaving(const RoutingState& state, const std::string& endpoint) {
  const auto found = state.endpoints.find(endpoint);
  return found != state.endpoints.end() && found->second.leaving_since != 0;
}

void ask_copy(const RoutingContext& context, std::uint64_t key,
              const RequestState& request, bool stop) {
  const EndpointEntry& source =
      context.state.endpoints.at(request.endpoint).entry;
  const EndpointEntry& target =
      context.state.endpoints.at(request.move.target).entry;
  CopyGeneration copy;
  copy.request = key;
  copy.address = source.address;
  copy.port = source.port;
  copy.target_address = target.address;
  copy.target_port = target.port;
  copy.stop_source = stop;
  context.effects.push_back(std::move(copy));
}

// Returns whether a generation is expected to end before its endpoint is gone.
// The expected length is right at the median; one that overruns it moves then.
bool ends_in_time(const RoutingState& state, const RequestState& request) {
  const EndpointState& endpoint = state.endpoints.at(request.endpoint);
  const Millis left = endpoint.leaving_since + kSureNotice - state.now;
  const double produced = produced_tokens(state, request);
  const auto expected = static_cast<double>(
      request.projected_tokens - request.caller_request.prompt_tokens);
  if (request.event_count < 2 || produced >= expected) return false;
  const double pace =
      static_cast<double>(state.now - request.stream_opened_at) / produced;
  return pace * (expected - produced) < static_cast<double>(left);
}

bool wants_to_move(const RoutingState& state, const RequestState& request) {
  return request.relaying && request.move.phase == MovePhase::kNone &&
         request.move.attempts < kMostMoveTries &&
         request.move.not_before <= state.now &&
         is_leaving(state, request.endpoint) &&
         can_move(state, request.service) && !ends_in_time(state, request);
}

void ask_turn(const RoutingContext& context, std::uint64_t key,
              RequestState& request) {
  GenerationMove& move = request.move;
  if (move.phase == MovePhase::kNone)
    move.last_lease_reply_at = context.state.now;
  move.phase = MovePhase::kAwaitingLease;
  move.lease_requested_at = context.state.now;
  context.effects.push_back(RequestCopyLease{key, request.endpoint});
}

// Lets another generation copy first and tries again after a pause.
void give_up_turn(const RoutingContext& context, std::uint64_t key,
                  RequestState& request) {
  clear_move(context, key, request);
  request.move.full_targets.clear();
  request.move.not_before = context.state.now + kMoveRetryPause;
}

PlacementRequirements room_of_move(const RoutingState& state,
                                   const RequestState& request) {
  PlacementRequirements room;
  room.service = request.service;
  room.projected_tokens = request.projected_tokens;
  room.rank = request.rank;
  room.zone = state.endpoints.at(request.endpoint).entry.zone;
  room.is_move = true;
  room.excluded_endpoints = {request.move.full_targets.begin(),
                             request.move.full_targets.end()};
  room.excluded_endpoints.push_back(request.endpoint);
  return room;
}

// Asks for an endpoint with room among those that have not said that they
// have none.
void choose_target(const RoutingContext& context, std::uint64_t key,
                   RequestState& request) {
  request.move.phase = MovePhase::kAwaitingTarget;
  request.move.target_requested_at = context.state.now;
  context.effects.push_back(
      RequestPlacement{key, room_of_move(context.state, request)});
}

void start_copy(const RoutingContext& context, std::uint64_t key,
                RequestState& request, const std::string& target) {
  GenerationMove& move = request.move;
  move.phase = MovePhase::kCopying;
  move.target = target;
  move.attempts += 1;
  move.reserved_tokens = request.projected_tokens;
  reserve_for_copy(context, target, move.reserved_tokens);
  record_decision(context, "move_started", key,
                  {{"from", request.endpoint},
                   {"to", target},
                   {"events", std::to_string(request.event_count)}});
  ask_copy(context, key, request, false);
}

void end_move(const RoutingContext& context, std::uint64_t key,
              RequestState& request, unsigned status) {
  record_decision(context, "move_failed", key,
                  {{"from", request.endpoint},
                   {"to", request.move.target},
                   {"status", std::to_string(status)}});
  GenerationMove& move = request.move;
  if (move.reserved_tokens > 0)
    release_copy_reservation(context, move.target, move.reserved_tokens);
  move.reserved_tokens = 0;
  if (status == kNoRoom && move.attempts < kMostMoveTries) {
    move.full_targets.insert(move.target);
    choose_target(context, key, request);
    return;
  }
  give_up_turn(context, key, request);
}

// Goes on at the target once the source's stream has ended and all is copied.
void resume_if_ready(const RoutingContext& context, std::uint64_t key,
                     RequestState& request) {
  const GenerationMove move = request.move;
  if (move.phase != MovePhase::kResuming) return;
  const bool drained =
      move.source_ended || request.last_event_id >= move.events_made;
  if (!drained) return;
  const EndpointEntry& source =
      context.state.endpoints.at(request.endpoint).entry;
  KvCacheSource memory{source.address, source.port, move.handle,
                       request.last_event_id};
  if (!move.source_ended) {
    context.effects.push_back(CancelAttempt{key, request.attempt});
  }
  record_decision(context, "move_resumed", key,
                  {{"from", request.endpoint},
                   {"to", move.target},
                   {"last_event", std::to_string(request.last_event_id)},
                   {"events_made", std::to_string(move.events_made)}});
  clear_move(context, key, request);
  request.move.attempts = 0;
  request.previous_endpoint = request.endpoint;
  request.previous_kv_cache = memory;
  request.move_count += 1;
  start_attempt(context, key, request, move.target, std::move(memory));
}

void on_copied(const RoutingContext& context, std::uint64_t key,
               RequestState& request, unsigned status) {
  if (status != kOk) {
    end_move(context, key, request, status);
    return;
  }
  request.move.phase = MovePhase::kStopping;
  ask_copy(context, key, request, true);
}

void on_stopped(const RoutingContext& context, std::uint64_t key,
                RequestState& request, const CopyFinished& event) {
  if (event.status != kOk && event.handle.empty()) {
    const bool over = request.move.source_ended;
    end_move(context, key, request, event.status);
    if (!over) return;
    context.effects.push_back(AbortResponse{key, "move_failed"});
    release_request(context, key);
    return;
  }
  // The source keeps the memory when the target has no room for the rest.
  if (event.status != kOk) request.move.target = request.endpoint;
  request.move.phase = MovePhase::kResuming;
  request.move.events_made = event.events_made;
  resume_if_ready(context, key, request);
}

// Frees a copy that was not gone on from, at the source and, as that may be
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

}  // namespace

bool return_to_previous_endpoint(const RoutingContext& context,
                                 std::uint64_t key, RequestState& request) {
  const std::string source = std::exchange(request.previous_endpoint, "");
  if (source.empty() || source == request.endpoint) return false;
  if (find_endpoint(context, source) == nullptr) return false;
  record_decision(context, "move_undone", key,
                  {{"from", request.endpoint}, {"to", source}});
  start_attempt(context, key, request, source, request.previous_kv_cache);
  return true;
}

void clear_move(const RoutingContext& context, std::uint64_t key,
                RequestState& request) {
  GenerationMove& move = request.move;
  if (move.lease_requested_at != 0) {
    context.effects.push_back(ReleaseCopyLease{key, request.endpoint});
  }
  if (move.reserved_tokens > 0)
    release_copy_reservation(context, move.target, move.reserved_tokens);
  free_copies(context, request);
  GenerationMove cleared;
  cleared.attempts = move.attempts;
  cleared.full_targets = std::move(move.full_targets);
  move = std::move(cleared);
}

void on_target_chosen(const RoutingContext& context, std::uint64_t key,
                      RequestState& request, const std::string& target) {
  if (find_endpoint(context, target) == nullptr) {
    give_up_turn(context, key, request);
    return;
  }
  start_copy(context, key, request, target);
}

namespace {

// The keeper of room, which counts the moves that it grants, is silent: chooses
// a target by the own view and counts the move here.
void choose_alone(const RoutingContext& context, std::uint64_t key,
                  RequestState& request) {
  const RoutingState& state = context.state;
  const PlacementRequested move{state.config.vm, key,
                                room_of_move(state, request)};
  const std::string target =
      choose_endpoint(state, endpoint_criteria(state, move.requirements));
  if (!target.empty() &&
      !charge_move(context, move, state.peer_reports.size() + 1)) {
    record_decision(
        context, "move_withheld", key,
        {{"from", request.endpoint}, {"cause", "retry budget is used up"}});
    give_up_turn(context, key, request);
    return;
  }
  on_target_chosen(context, key, request, target);
}

}  // namespace

void plan_moves(const RoutingContext& context) {
  RoutingState& state = context.state;
  for (auto& [key, request] : state.requests) {
    if (request.move.phase == MovePhase::kAwaitingLease) {
      if (state.now - request.move.last_lease_reply_at > kTurnSilence) {
        choose_target(context, key, request);
      } else if (state.now - request.move.lease_requested_at >= kAskInterval) {
        ask_turn(context, key, request);
      }
      continue;
    }
    const bool is_unheard =
        request.move.phase == MovePhase::kAwaitingTarget &&
        state.now - request.move.target_requested_at > kKeeperSilence;
    if (is_unheard) {
      choose_alone(context, key, request);
      continue;
    }
    if (!wants_to_move(state, request)) continue;
    ask_turn(context, key, request);
  }
}

void on_copy_lease_granted(const RoutingContext& context,
                           const CopyLeaseGranted& event) {
  RequestState* request = find_request(context, event.request);
  const bool waits = request != nullptr &&
                     request->move.phase == MovePhase::kAwaitingLease &&
                     request->endpoint == event.endpoint;
  if (waits) {
    request->move.has_lease = true;
    choose_target(context, event.request, *request);
    return;
  }
  const bool holds = request != nullptr && request->move.has_lease &&
                     request->endpoint == event.endpoint;
  if (holds) return;
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
      on_copied(context, event.request, *request, event.status);
      break;
    case MovePhase::kStopping:
      on_stopped(context, event.request, *request, event);
      break;
    case MovePhase::kNone:
    case MovePhase::kAwaitingLease:
    case MovePhase::kAwaitingTarget:
    case MovePhase::kResuming:
      return;
  }
  plan_moves(context);
}

bool on_source_ended(const RoutingContext& context, std::uint64_t key,
                     RequestState& request, const AttemptEnded& event) {
  if (event.attempt != request.attempt) return false;
  const bool stopping = request.move.phase == MovePhase::kStopping ||
                        request.move.phase == MovePhase::kResuming;
  if (!stopping || event.outcome == AttemptOutcome::kStreamEnded) return false;
  request.move.source_ended = true;
  resume_if_ready(context, key, request);
  return true;
}

}  // namespace peridotreach
