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

Millis longest_wait(const RequestState& request, const RoomNeed& room) {
  const Millis objective = request.route.objective;
  const Millis patience =
      is_favoured(room)
          ? objective - kTimeToFirstEvent
          : static_cast<Millis>(kLongestWait * static_cast<double>(objective));
  return std::min(request.arrived + patience,
                  request.deadline - kTimeToFirstEvent);
}

bool is_late(const RoutingState& state, const RequestState& request) {
  return state.now >
         request.arrived + request.route.objective - kTimeToFirstEvent;
}

}  // namespace

EndpointNeed need_of(const RoutingState& state, const RoomNeed& room) {
  EndpointNeed need;
  if (state.peers.size() > kMostPeersOfOneCell) {
    need.other_zone_burden = kOtherCellBurden;
    need.most_memory_elsewhere =
        room.is_move ? kMostMemoryMovedElsewhere : kMostMemoryElsewhere;
  }
  need.service = room.service;
  need.tokens = room.tokens;
  need.zone = room.zone;
  need.most_memory = most_memory(room);
  need.except.insert(room.except.begin(), room.except.end());
  if (room.is_move) {
    need.other_zone_burden = kCopyZoneBurden;
    need.copy_burden = kOtherCopyBurden;
  }
  return need;
}

RoomNeed room_of(const RoutingState& state, const RequestState& request) {
  return {
      request.service, request.projected_tokens, request.facts.prompt_tokens,
      request.rank,    state.self.zone,          is_late(state, request)};
}

namespace {

void ask_room(const RoutingContext& context, std::uint64_t key,
              RequestState& request) {
  request.room_asked = context.state.now;
  context.effects.push_back(AskRoom{key, room_of(context.state, request)});
}

}  // namespace

bool seek_room(const RoutingContext& context, std::uint64_t key,
               RequestState& request) {
  const Millis now = context.state.now;
  const bool may_wait = request.route.kind == CallKind::kStream &&
                        request.sent == 0 && request.attempt == 0;
  if (!may_wait) return false;
  const RoomNeed room = room_of(context.state, request);
  const bool is_new = request.waits_until == 0;
  if (is_new) request.waits_until = longest_wait(request, room);
  if (now >= request.waits_until) return false;
  if (is_new) {
    request.room_heard = now;
    ask_room(context, key, request);
    return true;
  }
  if (now - request.room_heard > kKeeperSilence &&
      request.room_asked > request.room_heard) {
    const EndpointNeed need = need_of(context.state, room);
    return choose_endpoint(context.state, need).empty();
  }
  if (now - request.room_asked >= kAskInterval) {
    ask_room(context, key, request);
  }
  return true;
}

namespace {

bool has_waiting_move(const RoutingState& state, const std::string& service) {
  return std::any_of(state.waiting_moves.begin(), state.waiting_moves.end(),
                     [&](const WaitingMove& move) {
                       return move.service == service && move.until > state.now;
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

void note_move(RoutingState& state, const RoomAsked& event, bool has_room) {
  std::erase_if(state.waiting_moves, [&](const WaitingMove& move) {
    return move.until <= state.now ||
           (move.peer == event.peer && move.request == event.request);
  });
  if (has_room) return;
  state.waiting_moves.push_back(
      {event.peer, event.request, event.need.service, state.now + kMoveWait});
}

}  // namespace

bool count_move(const RoutingContext& context, const RoomAsked& move,
                std::size_t sharers) {
  RoutingState& state = context.state;
  auto& counted = state.counted_moves;
  std::erase_if(counted, [&](const CountedMove& other) {
    return other.until <= state.now;
  });
  const std::vector<std::string>& except = move.need.except;
  const std::string source = except.empty() ? std::string() : except.back();
  const bool is_counted = std::any_of(
      counted.begin(), counted.end(), [&](const CountedMove& other) {
        return other.peer == move.peer && other.request == move.request &&
               other.source == source;
      });
  if (is_counted) return true;
  if (!may_repeat(context, move.need.service, sharers)) return false;
  counted.push_back({move.peer, move.request, source,
                     state.now + state.self.retries.window / 2});
  return true;
}

void on_room_asked(const RoutingContext& context, const RoomAsked& event) {
  RoutingState& state = context.state;
  // What runs already has cost memory and time that would be lost with it, so
  // freed room goes to moves before new work that is not favoured.
  const bool yields = !event.need.is_move && !is_favoured(event.need) &&
                      has_waiting_move(state, event.need.service);
  std::string endpoint =
      yields ? std::string()
             : choose_endpoint(state, need_of(state, event.need));
  if (event.need.is_move) note_move(state, event, !endpoint.empty());
  if (event.need.is_move && !endpoint.empty() &&
      !count_move(context, event, keepers(state))) {
    record(context, "move_withheld", 0,
           {{"peer", event.peer}, {"cause", "retry budget is used up"}});
    endpoint.clear();
  }
  context.effects.push_back(AnswerRoom{event.peer, event.request, endpoint});
  // What runs here is booked by this process itself.
  if (endpoint.empty() || event.peer == state.self.vm) return;
  state.granted.push_back({endpoint, event.need.tokens,
                           event.need.unread_tokens, state.now + kGrantLife});
}

void on_room_answered(const RoutingContext& context,
                      const RoomAnswered& event) {
  RequestState* request = find_request(context, event.request);
  if (request == nullptr) return;
  if (request->move.phase == MovePhase::kChoosing) {
    on_target_chosen(context, event.request, *request, event.endpoint);
    return;
  }
  if (request->waits_until == 0) return;
  request->room_heard = context.state.now;
  if (event.endpoint.empty()) {
    if (!request->told_waiting) {
      record(context, "waits_for_room", event.request,
             {{"tokens", std::to_string(request->projected_tokens)},
              {"rank", std::to_string(request->rank)}});
    }
    request->told_waiting = true;
    return;
  }
  const EndpointState* endpoint = find_endpoint(context, event.endpoint);
  const bool fits =
      endpoint != nullptr && takes_new_work(*endpoint, context.state.now);
  if (!fits) return;
  request->waits_until = 0;
  start_attempt(context, event.request, *request, event.endpoint, {});
}

}  // namespace peridotreach
