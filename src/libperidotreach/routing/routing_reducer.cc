#include "libperidotreach/routing/routing_reducer.h"

#include <algorithm>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// How long a listed endpoint's state is kept once it is gone and unused.
constexpr Millis kGoneMemory = 30 * kSecond;

// Time after the store's return in which entries that lapsed meanwhile come
// back: two seconds by the platform's word, less what it takes to notice it.
constexpr Millis kEntryReturn = 1800;

void apply(const RoutingContext& context, const ManifestTaken& event) {
  RoutingState& state = context.state;
  if (state.manifest && event.manifest.version <= state.manifest->version) {
    return;
  }
  state.manifest = event.manifest;
  record(context, "manifest_taken", 0,
         {{"version", std::to_string(event.manifest.version)}});
}

void start_leaving(const RoutingContext& context, EndpointState& endpoint,
                   const char* cause) {
  if (endpoint.leaving_since != 0) return;
  endpoint.leaving_since = context.state.now;
  record(context, "endpoint_leaving", 0,
         {{"endpoint", endpoint.entry.id}, {"cause", cause}});
}

void apply(const RoutingContext& context, const EndpointListed& event) {
  RoutingState& state = context.state;
  const EndpointEntry& entry = event.entry;
  const auto found = state.endpoints.find(entry.id);
  const bool known = found != state.endpoints.end();
  const bool reborn = known && found->second.entry.born_ms != entry.born_ms;
  if (!known || reborn) {
    EndpointState fresh;
    fresh.own.endpoint = fresh.peers.endpoint = entry.id;
    if (reborn) fresh.own = found->second.own;
    state.endpoints[entry.id] = fresh;
    record(context, "endpoint_listed", 0,
           {{"endpoint", entry.id}, {"service", entry.service}});
  }
  EndpointState& endpoint = state.endpoints[entry.id];
  const bool returned = !endpoint.listed;
  endpoint.entry = entry;
  endpoint.listed = true;
  endpoint.absent_since = 0;
  endpoint.warm_until = state.now + entry.warm_up;
  if (entry.leaving) start_leaving(context, endpoint, "notice");
  if (!entry.leaving && returned) endpoint.leaving_since = 0;
  plan_moves(context);
}

void drop(const RoutingContext& context, EndpointState& endpoint) {
  endpoint.listed = false;
  endpoint.absent_since = 0;
  start_leaving(context, endpoint, "unlisted");
}

// Leases of living endpoints lapse while the store is away; their entries come
// back soon after it.
void apply(const RoutingContext& context, const EndpointUnlisted& event) {
  RoutingState& state = context.state;
  EndpointState* endpoint = find_endpoint(context, event.id);
  if (endpoint == nullptr || !endpoint->listed) return;
  const bool may_return = endpoint->leaving_since == 0 &&
                          (!state.store_reachable ||
                           (state.store_regained != 0 &&
                            state.now - state.store_regained < kEntryReturn));
  if (may_return) {
    if (endpoint->absent_since == 0) endpoint->absent_since = state.now;
    record(context, "endpoint_absent", 0, {{"endpoint", event.id}});
    return;
  }
  drop(context, *endpoint);
  plan_moves(context);
}

// Drops endpoints whose entries have not come back.
void drop_absent(const RoutingContext& context) {
  RoutingState& state = context.state;
  for (auto& [id, endpoint] : state.endpoints) {
    if (endpoint.absent_since == 0) continue;
    const Millis since = state.store_reachable
                             ? std::min(state.store_regained, state.now)
                             : endpoint.absent_since;
    if (state.now - since < kEntryReturn) continue;
    drop(context, endpoint);
  }
}

void apply(const RoutingContext& context, const EndpointNotice& event) {
  EndpointState* endpoint = find_endpoint(context, event.id);
  if (endpoint == nullptr) return;
  start_leaving(context, *endpoint, "told by itself");
  plan_moves(context);
}

void apply(const RoutingContext& context, const StoreSeen& event) {
  RoutingState& state = context.state;
  if (event.is_reachable == state.store_reachable) return;
  state.store_reachable = event.is_reachable;
  if (event.is_reachable) state.store_regained = state.now;
}

void apply(const RoutingContext& context, const AllowanceChanged& event) {
  context.state.self.retries = event.retries;
}

void apply(const RoutingContext& context, const RequestArrived& event) {
  on_request(context, event);
}

void apply(const RoutingContext& context, const CallerDisconnected& event) {
  on_caller_left(context, event);
}

void apply(const RoutingContext& context, const AttemptEnded& event) {
  on_attempt_ended(context, event);
}

void apply(const RoutingContext& context, const StreamOpened& event) {
  on_stream_opened(context, event);
}

void apply(const RoutingContext& context, const StreamEventArrived& event) {
  on_stream_event(context, event);
}

void apply(const RoutingContext& context, const CopyAnswered& event) {
  on_copy_answered(context, event);
}

void apply(const RoutingContext& context, const TurnGranted& event) {
  on_turn_granted(context, event);
}

void apply(const RoutingContext& context, const TurnQueued& event) {
  RequestState* request = find_request(context, event.request);
  if (request != nullptr) request->move.heard = context.state.now;
}

void apply(const RoutingContext& context, const RoomAsked& event) {
  on_room_asked(context, event);
}

void apply(const RoutingContext& context, const RoomAnswered& event) {
  on_room_answered(context, event);
}

// Recomputes what peers use of the endpoints named in `uses`.
void sum_peers(RoutingState& state,
               const std::map<std::string, EndpointUse>& uses) {
  for (const auto& [id, ignored] : uses) {
    const auto found = state.endpoints.find(id);
    if (found == state.endpoints.end()) continue;
    EndpointUse& sum = found->second.peers;
    sum = EndpointUse{id};
    for (const auto& [peer, told] : state.peers) {
      const auto use = told.uses.find(id);
      if (use == told.uses.end()) continue;
      sum.running += use->second.running;
      sum.tokens += use->second.tokens;
      sum.unread_tokens += use->second.unread_tokens;
      sum.copies += use->second.copies;
      sum.breaks += use->second.breaks;
    }
  }
}

void apply(const RoutingContext& context, const PeerUseArrived& event) {
  RoutingState& state = context.state;
  ToldByPeer& told = state.peers[event.peer];
  std::map<std::string, EndpointUse> touched = std::move(told.uses);
  told.uses.clear();
  for (const EndpointUse& use : event.uses) told.uses[use.endpoint] = use;
  touched.insert(told.uses.begin(), told.uses.end());
  sum_peers(state, touched);
  told.suspects = {event.suspects.begin(), event.suspects.end()};
  for (const FinishedOutput& output : event.finished) {
    told.finished[output.route] = output;
  }
  ToldRepeats& repeats = state.peer_repeats[event.peer];
  repeats.at = state.now;
  repeats.services.clear();
  for (const ServiceRepeats& counts : event.repeats) {
    repeats.services[counts.service] = {counts.requests, counts.repeats};
  }
}

void apply(const RoutingContext& context, const PeerLost& event) {
  RoutingState& state = context.state;
  const auto lost = state.peers.extract(event.peer);
  if (!lost.empty()) sum_peers(state, lost.mapped().uses);
}

void apply(const RoutingContext& context, const RoutingTicked&) {
  RoutingState& state = context.state;
  end_overdue_requests(context);
  drop_absent(context);
  place_waiting_requests(context);
  plan_moves(context);
  expire_suspects(state.suspects, state.now);
  std::erase_if(state.peer_repeats, [&](const auto& entry) {
    return state.now - entry.second.at > state.self.retries.window;
  });
  std::erase_if(state.granted, [&](const GrantedRoom& room) {
    return room.until <= state.now;
  });
  std::erase_if(state.endpoints, [&](const auto& entry) {
    const EndpointState& endpoint = entry.second;
    return !endpoint.listed && endpoint.own.running == 0 &&
           state.now - endpoint.leaving_since > kGoneMemory;
  });
}

}  // namespace

void record(const RoutingContext& context, std::string decision,
            std::uint64_t request, std::vector<DecisionField> fields) {
  context.effects.push_back(
      RecordDecision{std::move(decision), request, std::move(fields)});
}

RequestState* find_request(const RoutingContext& context, std::uint64_t key) {
  const auto found = context.state.requests.find(key);
  return found == context.state.requests.end() ? nullptr : &found->second;
}

EndpointState* find_endpoint(const RoutingContext& context,
                             const std::string& id) {
  const auto found = context.state.endpoints.find(id);
  return found == context.state.endpoints.end() ? nullptr : &found->second;
}

RoutingState initial_routing_state(const RoutingSelf& self) {
  RoutingState state;
  state.self = self;
  return state;
}

RoutingStep reduce(RoutingState state, const RoutingEvent& event) {
  RoutingStep step{std::move(state), {}};
  step.state.now = std::max(step.state.now, event.at);
  step.state.random = event.random;
  const RoutingContext context{step.state, step.effects};
  std::visit([&](const auto& body) { apply(context, body); }, event.body);
  const bool frees_room =
      std::holds_alternative<AttemptEnded>(event.body) ||
      std::holds_alternative<CallerDisconnected>(event.body);
  if (frees_room) place_waiting_requests(context);
  return step;
}

}  // namespace peridotreach
