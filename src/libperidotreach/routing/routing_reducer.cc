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

void apply(const RoutingContext& context, const ManifestReceived& event) {
  RoutingState& state = context.state;
  if (state.manifest && event.manifest.version <= state.manifest->version) {
    return;
  }
  state.manifest = event.manifest;
  record_decision(context, "manifest_taken", 0,
                  {{"version", std::to_string(event.manifest.version)}});
}

void start_leaving(const RoutingContext& context, EndpointState& endpoint,
                   const char* cause) {
  if (endpoint.leaving_since != 0) return;
  endpoint.leaving_since = context.state.now;
  record_decision(context, "endpoint_leaving", 0,
                  {{"endpoint", endpoint.entry.id}, {"cause", cause}});
}

void apply(const RoutingContext& context, const EndpointListed& event) {
  RoutingState& state = context.state;
  const EndpointEntry& entry = event.entry;
  const auto found = state.endpoints.find(entry.id);
  const bool known = found != state.endpoints.end();
  const bool reborn =
      known && found->second.entry.started_at_ms != entry.started_at_ms;
  if (!known || reborn) {
    EndpointState fresh;
    fresh.own_usage.endpoint = fresh.peer_usage.endpoint = entry.id;
    if (reborn) fresh.own_usage = found->second.own_usage;
    state.endpoints[entry.id] = fresh;
    record_decision(context, "endpoint_listed", 0,
                    {{"endpoint", entry.id}, {"service", entry.service}});
  }
  EndpointState& endpoint = state.endpoints[entry.id];
  const bool returned = !endpoint.listed;
  endpoint.entry = entry;
  endpoint.listed = true;
  endpoint.entry_missing_since = 0;
  endpoint.warm_up_until = state.now + entry.remaining_warm_up;
  if (entry.leaving) start_leaving(context, endpoint, "notice");
  if (!entry.leaving && returned) endpoint.leaving_since = 0;
  plan_moves(context);
}

void drop(const RoutingContext& context, EndpointState& endpoint) {
  endpoint.listed = false;
  endpoint.entry_missing_since = 0;
  start_leaving(context, endpoint, "unlisted");
}

// Leases of living endpoints lapse while the store is away; their entries come
// back soon after it.
void apply(const RoutingContext& context, const EndpointUnlisted& event) {
  RoutingState& state = context.state;
  EndpointState* endpoint = find_endpoint(context, event.id);
  if (endpoint == nullptr || !endpoint->listed) return;
  const bool may_return =
      endpoint->leaving_since == 0 &&
      (!state.store_reachable ||
       (state.store_regained_at != 0 &&
        state.now - state.store_regained_at < kEntryReturn));
  if (may_return) {
    if (endpoint->entry_missing_since == 0)
      endpoint->entry_missing_since = state.now;
    record_decision(context, "endpoint_absent", 0, {{"endpoint", event.id}});
    return;
  }
  drop(context, *endpoint);
  plan_moves(context);
}

// Drops endpoints whose entries have not come back.
void drop_absent(const RoutingContext& context) {
  RoutingState& state = context.state;
  for (auto& [id, endpoint] : state.endpoints) {
    if (endpoint.entry_missing_since == 0) continue;
    const Millis since = state.store_reachable
                             ? std::min(state.store_regained_at, state.now)
                             : endpoint.entry_missing_since;
    if (state.now - since < kEntryReturn) continue;
    drop(context, endpoint);
  }
}

void apply(const RoutingContext& context, const EndpointLeaving& event) {
  EndpointState* endpoint = find_endpoint(context, event.id);
  if (endpoint == nullptr) return;
  start_leaving(context, *endpoint, "told by itself");
  plan_moves(context);
}

void apply(const RoutingContext& context,
           const StoreReachabilityChanged& event) {
  RoutingState& state = context.state;
  if (event.is_reachable == state.store_reachable) return;
  state.store_reachable = event.is_reachable;
  if (event.is_reachable) state.store_regained_at = state.now;
}

void apply(const RoutingContext& context, const RetryLimitsChanged& event) {
  context.state.config.retry_limits = event.retry_limits;
}

void apply(const RoutingContext& context, const RequestArrived& event) {
  on_request_arrived(context, event);
}

void apply(const RoutingContext& context, const CallerDisconnected& event) {
  on_caller_disconnected(context, event);
}

void apply(const RoutingContext& context, const AttemptEnded& event) {
  on_attempt_ended(context, event);
}

void apply(const RoutingContext& context, const StreamOpened& event) {
  on_stream_opened(context, event);
}

void apply(const RoutingContext& context, const StreamEventReceived& event) {
  on_stream_event_received(context, event);
}

void apply(const RoutingContext& context, const CopyFinished& event) {
  on_copy_finished(context, event);
}

void apply(const RoutingContext& context, const CopyLeaseGranted& event) {
  on_copy_lease_granted(context, event);
}

void apply(const RoutingContext& context, const CopyLeaseQueued& event) {
  RequestState* request = find_request(context, event.request);
  if (request != nullptr) request->move.last_lease_reply_at = context.state.now;
}

void apply(const RoutingContext& context, const PlacementRequested& event) {
  on_placement_requested(context, event);
}

void apply(const RoutingContext& context, const PlacementAnswered& event) {
  on_placement_answered(context, event);
}

// Recomputes what peers use of the endpoints named in `uses`.
void sum_peers(RoutingState& state,
               const std::map<std::string, EndpointUsage>& uses) {
  for (const auto& [id, ignored] : uses) {
    const auto found = state.endpoints.find(id);
    if (found == state.endpoints.end()) continue;
    EndpointUsage& sum = found->second.peer_usage;
    sum = EndpointUsage{id};
    for (const auto& [peer, told] : state.peer_reports) {
      const auto use = told.endpoint_usage.find(id);
      if (use == told.endpoint_usage.end()) continue;
      sum.running_requests += use->second.running_requests;
      sum.projected_tokens += use->second.projected_tokens;
      sum.pending_prefill_tokens += use->second.pending_prefill_tokens;
      sum.incoming_copies += use->second.incoming_copies;
      sum.transport_failures += use->second.transport_failures;
    }
  }
}

void apply(const RoutingContext& context, const PeerReportReceived& event) {
  RoutingState& state = context.state;
  PeerReport& told = state.peer_reports[event.peer];
  std::map<std::string, EndpointUsage> touched = std::move(told.endpoint_usage);
  told.endpoint_usage.clear();
  for (const EndpointUsage& use : event.endpoint_usage)
    told.endpoint_usage[use.endpoint] = use;
  touched.insert(told.endpoint_usage.begin(), told.endpoint_usage.end());
  sum_peers(state, touched);
  told.suspects = {event.suspects.begin(), event.suspects.end()};
  for (const FinishedOutput& output : event.finished_outputs) {
    told.finished_outputs[output.route] = output;
  }
  PeerRetryReport& repeats = state.peer_retry_reports[event.peer];
  repeats.received_at = state.now;
  repeats.counts_by_service.clear();
  for (const ServiceRetryCounts& counts : event.retry_counts) {
    repeats.counts_by_service[counts.service] = {counts.requests,
                                                 counts.retries};
  }
}

void apply(const RoutingContext& context, const PeerLost& event) {
  RoutingState& state = context.state;
  const auto lost = state.peer_reports.extract(event.peer);
  if (!lost.empty()) sum_peers(state, lost.mapped().endpoint_usage);
}

void apply(const RoutingContext& context, const RoutingTicked&) {
  RoutingState& state = context.state;
  end_overdue_requests(context);
  drop_absent(context);
  place_waiting_requests(context);
  plan_moves(context);
  expire_suspects(state.quarantine, state.now);
  std::erase_if(state.peer_retry_reports, [&](const auto& entry) {
    return state.now - entry.second.received_at > state.config.retry_limits.window;
  });
  std::erase_if(state.reservations, [&](const PlacementReservation& room) {
    return room.expires_at <= state.now;
  });
  std::erase_if(state.endpoints, [&](const auto& entry) {
    const EndpointState& endpoint = entry.second;
    return !endpoint.listed && endpoint.own_usage.running_requests == 0 &&
           state.now - endpoint.leaving_since > kGoneMemory;
  });
}

}  // namespace

void record_decision(const RoutingContext& context, std::string decision,
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

RoutingState initial_routing_state(const RoutingConfig& self) {
  RoutingState state;
  state.config = self;
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
