// Room at engines. One process of a cell keeps it, so that requests of many
// processes do not choose the same engine from views that lag. The keeper's
// answers are advice: a process that hears none places by its own view.

#include <algorithm>
#include <set>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/peer_view.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// Time that an endpoint needs to answer a request within its objective.
constexpr Millis kTimeToFirstEvent = 600;

// Silence of the keeper after which a request is placed by the own view.
constexpr Millis kKeeperSilence = 120;

// Interval at which room is asked for again while there is none.
constexpr Millis kAskInterval = 60;

// Burden of an engine in another zone's cell, which another process keeps.
constexpr double kOtherCellBurden = 0.25;

// The largest share of memory projected in use at an engine of another cell:
// its keeper grants room too, and its use is told late.
constexpr double kMostMemoryElsewhere = 0.6;
constexpr double kMostMemoryMovedElsewhere = 0.9;

// Burden of a move's target in another zone, where a copy takes twice as long,
// and of one whose link another copy is using.
constexpr double kCopyZoneBurden = 0.25;
constexpr double kOtherCopyBurden = 0.35;

// Time for which a move that found no room keeps new work out; it asks again
// well within it.
constexpr Millis kMoveWait = 300;

// Time until a grant shows in the other's own account of its use.
constexpr Millis kGrantLife = 350;

// Objectives that a request waits for room before it goes to an endpoint all
// the same; callers wait for four. Favoured ones go while they are in time.
constexpr double kLongestWait = 3.6;

Millis longest_wait(const RequestState& request,
                    const PlacementRequirements& room) {
  const Millis objective = request.route.first_byte_slo;
  const Millis patience =
      is_prioritized(room)
          ? objective - kTimeToFirstEvent
          : static_cast<Millis>(kLongestWait * static_cast<double>(objective));
  return std::min(request.arrived_at + patience,
                  request.deadline - kTimeToFirstEvent);
}

bool is_late(const RoutingState& state, const RequestState& request) {
  return state.now >
         request.arrived_at + request.route.first_byte_slo - kTimeToFirstEvent;
}

}  // namespace

EndpointCriteria endpoint_criteria(const RoutingState& state,
                                   const PlacementRequirements& room) {
  EndpointCriteria need;
  if (state.peer_reports.size() > kMaxSingleCellPeers) {
    need.other_zone_cost = kOtherCellBurden;
    need.max_memory_share_other_zone =
        room.is_move ? kMostMemoryMovedElsewhere : kMostMemoryElsewhere;
  }
  need.service = room.service;
  need.projected_tokens = room.projected_tokens;
  need.zone = room.zone;
  need.max_memory_share = max_memory_share(room);
  need.excluded_endpoints.insert(room.excluded_endpoints.begin(),
                                 room.excluded_endpoints.end());
  if (room.is_move) {
    need.other_zone_cost = kCopyZoneBurden;
    need.copy_cost = kOtherCopyBurden;
  }
  return need;
}

PlacementRequirements placement_requirements(const RoutingState& state,
                                             const RequestState& request) {
  return {request.service,
          request.projected_tokens,
          request.caller_request.prompt_tokens,
          request.rank,
          state.config.zone,
          is_late(state, request)};
}

namespace {

void ask_room(const RoutingContext& context, std::uint64_t key,
              RequestState& request) {
  request.placement_requested_at = context.state.now;
  context.effects.push_back(
      RequestPlacement{key, placement_requirements(context.state, request)});
}

}  // namespace

bool wait_for_placement(const RoutingContext& context, std::uint64_t key,
                        RequestState& request) {
  const Millis now = context.state.now;
  const bool may_wait = request.route.kind == CallKind::kStream &&
                        request.sent_attempts == 0 && request.attempt == 0;
  if (!may_wait) return false;
  const PlacementRequirements room =
      placement_requirements(context.state, request);
  const bool is_new = request.placement_deadline == 0;
  if (is_new) request.placement_deadline = longest_wait(request, room);
  if (now >= request.placement_deadline) return false;
  if (is_new) {
    request.last_placement_reply_at = now;
    ask_room(context, key, request);
    return true;
  }
  if (now - request.last_placement_reply_at > kKeeperSilence &&
      request.placement_requested_at > request.last_placement_reply_at) {
    const EndpointCriteria need = endpoint_criteria(context.state, room);
    return choose_endpoint(context.state, need).empty();
  }
  if (now - request.placement_requested_at >= kAskInterval) {
    ask_room(context, key, request);
  }
  return true;
}

namespace {

bool has_waiting_move(const RoutingState& state, const std::string& service) {
  return std::any_of(state.blocked_moves.begin(), state.blocked_moves.end(),
                     [&](const BlockedMove& move) {
                       return move.service == service &&
                              move.expires_at > state.now;
                     });
}

// Returns how many processes may keep room: one in each availability zone.
std::size_t keepers(const RoutingState& state) {
  std::set<std::string> zones;
  for (const auto& [id, endpoint] : state.endpoints) {
    zones.insert(endpoint.entry.zone);
  }
  return zones.size();
}

void note_move(RoutingState& state, const PlacementRequested& event,
               bool has_room) {
  std::erase_if(state.blocked_moves, [&](const BlockedMove& move) {
    return move.expires_at <= state.now ||
           (move.peer == event.peer && move.request == event.request);
  });
  if (has_room) return;
  state.blocked_moves.push_back({event.peer, event.request,
                                 event.requirements.service,
                                 state.now + kMoveWait});
}

}  // namespace

bool charge_move(const RoutingContext& context, const PlacementRequested& move,
                 std::size_t sharers) {
  RoutingState& state = context.state;
  auto& counted = state.counted_moves;
  std::erase_if(counted, [&](const CountedMove& other) {
    return other.expires_at <= state.now;
  });
  const std::vector<std::string>& except = move.requirements.excluded_endpoints;
  const std::string source = except.empty() ? std::string() : except.back();
  const bool is_counted = std::any_of(
      counted.begin(), counted.end(), [&](const CountedMove& other) {
        return other.peer == move.peer && other.request == move.request &&
               other.source == source;
      });
  if (is_counted) return true;
  if (!try_take_service_retry(context, move.requirements.service, sharers))
    return false;
  counted.push_back({move.peer, move.request, source,
                     state.now + state.config.retry_limits.window / 2});
  return true;
}

void on_placement_requested(const RoutingContext& context,
                            const PlacementRequested& event) {
  RoutingState& state = context.state;
  // What runs already has cost memory and time that would be lost with it, so
  // freed room goes to moves before new work that is not favoured.
  const bool yields = !event.requirements.is_move &&
                      !is_prioritized(event.requirements) &&
                      has_waiting_move(state, event.requirements.service);
  std::string endpoint =
      yields ? std::string()
             : choose_endpoint(state,
                               endpoint_criteria(state, event.requirements));
  if (event.requirements.is_move) note_move(state, event, !endpoint.empty());
  if (event.requirements.is_move && !endpoint.empty() &&
      !charge_move(context, event, keepers(state))) {
    record_decision(
        context, "move_withheld", 0,
        {{"peer", event.peer}, {"cause", "retry budget is used up"}});
    endpoint.clear();
  }
  context.effects.push_back(
      AnswerPlacement{event.peer, event.request, endpoint});
  // What runs here is booked by this process itself.
  if (endpoint.empty() || event.peer == state.config.vm) return;
  state.reservations.push_back({endpoint, event.requirements.projected_tokens,
                                event.requirements.prefill_tokens,
                                state.now + kGrantLife});
}

void on_placement_answered(const RoutingContext& context,
                           const PlacementAnswered& event) {
  RequestState* request = find_request(context, event.request);
  if (request == nullptr) return;
  if (request->move.phase == MovePhase::kAwaitingTarget) {
    on_target_chosen(context, event.request, *request, event.endpoint);
    return;
  }
  if (request->placement_deadline == 0) return;
  request->last_placement_reply_at = context.state.now;
  if (event.endpoint.empty()) {
    if (!request->wait_recorded) {
      record_decision(context, "waits_for_room", event.request,
                      {{"tokens", std::to_string(request->projected_tokens)},
                       {"rank", std::to_string(request->rank)}});
    }
    request->wait_recorded = true;
    return;
  }
  const EndpointState* endpoint = find_endpoint(context, event.endpoint);
  const bool fits =
      endpoint != nullptr && accepts_new_requests(*endpoint, context.state.now);
  if (!fits) return;
  request->placement_deadline = 0;
  start_attempt(context, event.request, *request, event.endpoint, {});
}

}  // namespace peridotreach
