// Moves of running generations off endpoints that leave: memory is copied
// while the generation runs on, then it stops, the rest is copied, and it goes
// on at the target from the last event that the caller has.

#include <algorithm>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// Moves of one generation that may be tried from one endpoint.
constexpr std::uint32_t kMostMoveTries = 3;

// Pause before a failed move is tried again.
constexpr Millis kMoveRetryPause = 150;

// Copies of one source that run at the same time. Copies share the source's
// link, so more of them only delay the first.
constexpr std::uint32_t kCopiesAtOnce = 1;

const EngineShape* engine_of(const RoutingState& state,
                             const std::string& service) {
  if (!state.manifest) return nullptr;
  const auto found = state.manifest->services.find(service);
  if (found == state.manifest->services.end() || !found->second.engine) {
    return nullptr;
  }
  return &*found->second.engine;
}

std::uint32_t copies_from(const RoutingState& state,
                          const std::string& endpoint) {
  std::uint32_t copies = 0;
  for (const auto& [key, request] : state.requests) {
    const bool copying = request.move.phase == MovePhase::kCopying ||
                         request.move.phase == MovePhase::kStopping;
    if (copying && request.endpoint == endpoint) copies += 1;
  }
  return copies;
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
  copy.stop = stop;
  context.effects.push_back(std::move(copy));
}

bool wants_to_move(const RoutingState& state, const RequestState& request) {
  if (!request.relaying || request.move.phase != MovePhase::kNone) return false;
  if (request.move.tries >= kMostMoveTries) return false;
  if (request.move.not_before > state.now) return false;
  const auto endpoint = state.endpoints.find(request.endpoint);
  if (endpoint == state.endpoints.end()) return false;
  if (endpoint->second.leaving_since == 0) return false;
  const EngineShape* engine = engine_of(state, request.service);
  return engine != nullptr && engine->can_move;
}

void start_move(const RoutingContext& context, std::uint64_t key,
                RequestState& request) {
  const EndpointNeed need{request.service, request.projected_tokens,
                          request.endpoint};
  const std::string target = choose_endpoint(context.state, need);
  if (target.empty()) return;
  request.move.phase = MovePhase::kCopying;
  request.move.target = target;
  request.move.tries += 1;
  record(context, "move_started", key,
         {{"id", request.facts.id},
          {"from", request.endpoint},
          {"to", target},
          {"events", std::to_string(request.events)}});
  ask_copy(context, key, request, false);
}

void end_move(const RoutingContext& context, std::uint64_t key,
              RequestState& request, unsigned status) {
  record(context, "move_failed", key,
         {{"id", request.facts.id},
          {"from", request.endpoint},
          {"to", request.move.target},
          {"status", std::to_string(status)}});
  const std::uint32_t tries = request.move.tries;
  request.move = GenerationMove();
  request.move.tries = tries;
  request.move.not_before = context.state.now + kMoveRetryPause;
}

// Goes on at the target once the source's stream has ended and all is copied.
void resume_if_ready(const RoutingContext& context, std::uint64_t key,
                     RequestState& request) {
  GenerationMove& move = request.move;
  if (move.phase != MovePhase::kResuming) return;
  const bool drained =
      move.source_ended || request.last_event >= move.events_made;
  if (!drained) return;
  const EndpointEntry source =
      context.state.endpoints.at(request.endpoint).entry;
  MemorySource memory{source.address, source.port, move.handle,
                      request.last_event};
  const std::string target = move.target;
  if (!move.source_ended) {
    context.effects.push_back(DropAttempt{key, request.attempt});
  }
  record(context, "move_resumed", key,
         {{"id", request.facts.id},
          {"from", request.endpoint},
          {"to", target},
          {"last_event", std::to_string(request.last_event)},
          {"events_made", std::to_string(move.events_made)}});
  request.move = GenerationMove();
  take_repeat(context.state.budgets[request.service],
              context.state.self.retries, 1, context.state.now);
  start_attempt(context, key, request, target, std::move(memory));
}

}  // namespace

void plan_moves(const RoutingContext& context) {
  RoutingState& state = context.state;
  for (auto& [key, request] : state.requests) {
    if (!wants_to_move(state, request)) continue;
    if (copies_from(state, request.endpoint) >= kCopiesAtOnce) continue;
    start_move(context, key, request);
  }
}

void on_copy_answered(const RoutingContext& context,
                      const CopyAnswered& event) {
  constexpr unsigned kOk = 200;
  RequestState* request = find_request(context, event.request);
  if (request == nullptr || request->move.phase == MovePhase::kNone) return;
  GenerationMove& move = request->move;
  if (!event.handle.empty()) {
    move.handle = event.handle;
    move.copied = true;
  }
  if (move.phase == MovePhase::kCopying) {
    if (event.status != kOk) {
      end_move(context, event.request, *request, event.status);
      plan_moves(context);
      return;
    }
    move.phase = MovePhase::kStopping;
    ask_copy(context, event.request, *request, true);
    return;
  }
  if (move.phase != MovePhase::kStopping) return;
  if (event.status != kOk && event.handle.empty()) {
    const bool over = move.source_ended;
    end_move(context, event.request, *request, event.status);
    if (over) {
      context.effects.push_back(BreakOff{event.request, "move_failed"});
      forget(context, event.request);
    }
    plan_moves(context);
    return;
  }
  // The source keeps the memory when the target has no room for the rest.
  if (event.status != kOk) move.target = request->endpoint;
  move.phase = MovePhase::kResuming;
  move.events_made = event.events_made;
  resume_if_ready(context, event.request, *request);
  plan_moves(context);
}

bool on_source_ended(const RoutingContext& context, std::uint64_t key,
                     RequestState& request, const AttemptEnded& event) {
  const bool stopping = request.move.phase == MovePhase::kStopping ||
                        request.move.phase == MovePhase::kResuming;
  if (!stopping || event.attempt != request.attempt) return false;
  if (event.end == AttemptEnd::kStreamEnded) return false;
  request.move.source_ended = true;
  resume_if_ready(context, key, request);
  return true;
}

}  // namespace peridotreach
