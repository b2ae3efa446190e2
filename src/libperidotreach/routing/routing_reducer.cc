#include "libperidotreach/routing/routing_reducer.h"

#include <algorithm>
#include <utility>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/item_order.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// How long the state of an unlisted and unused endpoint is kept, and that of
// one that said that it leaves: it may go on serving, and its entry may return.
constexpr Millis kEndpointRetention = 30 * kSecond;
constexpr Millis kLeavingEndpointRetention = 90 * kSecond;

// Time after a recovery of the store in which expired entries are registered
// again: the two seconds that the platform specifies, less the delay until the
// recovery is noticed.
constexpr Millis kEntryReturnTimeout = 1800;

// Shortest time without the store in which entries may expire. They do so after
// three intervals of silence, of about a second each.
constexpr Millis kMinOutageForExpiry = kSecond;

void apply(const RoutingContext& context, const ManifestReceived& event) {
  RoutingState& state = context.state;
  std::vector<DecisionField> fields = {
      {"version", std::to_string(event.manifest.version)},
      {"revision", format_revision(event.revision)},
      {"source", event.source}};
  if (state.manifest && event.manifest.version <= state.manifest->version) {
    fields.push_back({"in_force", std::to_string(state.manifest->version)});
    record_decision(context, "manifest_ignored", 0, std::move(fields));
    return;
  }
  state.manifest = event.manifest;
  state.shortest_stream_slo = shortest_stream_slo(event.manifest);
  record_decision(context, "manifest_taken", 0, std::move(fields));
}

// Marks the endpoints of `zone` as closed since `closed_since`, or as open if
// it is 0.
void mark_zone(RoutingState& state, const std::string& zone,
               Millis closed_since) {
  for (auto& [id, endpoint] : state.endpoints) {
    if (endpoint.entry.zone == zone) endpoint.zone_closed_since = closed_since;
  }
}

Millis zone_closed_since(const RoutingState& state, const std::string& zone) {
  const auto found = state.closed_zones.find(zone);
  return found == state.closed_zones.end() ? 0 : found->second.closed_at;
}

// Returns how many requests of this process run in `zone`.
std::uint64_t running_in_zone(const RoutingState& state,
                              const std::string& zone) {
  std::uint64_t running = 0;
  for (const auto& [id, endpoint] : state.endpoints) {
    if (endpoint.entry.zone != zone) continue;
    running += endpoint.own_usage.running_requests;
  }
  return running;
}

// Lets the requests that wait for a placement in this process's cell, which has
// been closed, ask the cell of an open zone at once. The queue of the closed
// cell is dropped, so that no request is placed twice; processes that do not
// know of the closing ask again.
void ask_other_cell(RoutingState& state) {
  if (!is_own_cell_closed(state)) return;
  state.placement_queue.clear();
  for (auto& [request_number, request] : state.requests) {
    if (request.placement_deadline != 0) request.placement_requested_at = 0;
  }
}

void apply(const RoutingContext& context, const ZoneClosed& event) {
  RoutingState& state = context.state;
  if (!close_zone(state.closed_zones, event.zone, event.revision, state.now))
    return;
  mark_zone(state, event.zone, state.now);
  record_decision(
      context, "zone_closed", 0,
      {{"zone", event.zone},
       {"revision", format_revision(event.revision)},
       {"source", event.source},
       {"running", std::to_string(running_in_zone(state, event.zone))}});
  if (event.zone == state.config.zone) ask_other_cell(state);
  place_waiting_requests(context);
}

void record_zone_opened(const RoutingContext& context, const std::string& zone,
                        const ZoneClosing& closing, const std::string& cause) {
  mark_zone(context.state, zone, 0);
  record_decision(
      context, "zone_opened", 0,
      {{"zone", zone},
       {"closing_revision", format_revision(closing.revision)},
       {"closed_ms", std::to_string(context.state.now - closing.closed_at)},
       {"source", cause}});
  for (auto& [id, endpoint] : context.state.endpoints) {
    if (endpoint.entry.zone != zone) continue;
    const bool was_cold = cold_rate(context.state, endpoint).has_value();
    suspect_cold(endpoint.cold_phase, context.state.now);
    record_if_cold(context, endpoint, was_cold, "its zone was closed");
  }
}

void apply(const RoutingContext& context, const ZoneOpened& event) {
  RoutingState& state = context.state;
  const auto closing =
      open_zone(state.closed_zones, event.zone, event.revision, state.now);
  if (!closing) return;
  record_zone_opened(context, event.zone, *closing, event.source);
  place_queued_requests(context);
}

// Opens the zones whose closings a restored store has lost.
void open_lost_zones(const RoutingContext& context) {
  RoutingState& state = context.state;
  for (const auto& [zone, closing] :
       open_missing_zones(state.closed_zones, state.now))
    record_zone_opened(context, zone, closing,
                       "restored store lacks the closing");
}

void mark_leaving(const RoutingContext& context, EndpointState& endpoint,
                  const char* cause) {
  if (endpoint.leaving_since != 0) return;
  endpoint.leaving_since = context.state.now;
  context.state.last_leaving_at[endpoint.entry.service] = context.state.now;
  record_decision(context, "endpoint_leaving", 0,
                  {{"endpoint", endpoint.entry.id}, {"cause", cause}});
}

// Returns whether an entry says less than what is known of the endpoint. A
// restored store brings back entries of endpoints that have left since.
bool is_outdated(const EndpointState& endpoint, const EndpointEntry& entry) {
  if (is_older(entry, endpoint.entry)) return true;
  const bool is_known_entry =
      entry.sequence != 0 && entry.sequence == endpoint.entry.sequence &&
      entry.started_at_ms == endpoint.entry.started_at_ms;
  return is_known_entry && !endpoint.listed && endpoint.was_removed;
}

void apply(const RoutingContext& context, const EndpointListed& event) {
  RoutingState& state = context.state;
  EndpointEntry entry = event.entry;
  const auto found = state.endpoints.find(entry.id);
  const bool is_known = found != state.endpoints.end();
  // An entry that names no start is of the one that is known.
  if (is_known && entry.started_at_ms == 0)
    entry.started_at_ms = found->second.entry.started_at_ms;
  const bool has_restarted =
      is_known && found->second.entry.started_at_ms != entry.started_at_ms;
  if (!is_known || has_restarted) {
    EndpointState new_state;
    new_state.own_usage.endpoint = new_state.peer_usage.endpoint = entry.id;
    if (has_restarted) new_state.own_usage = found->second.own_usage;
    observe_start(new_state.cold_phase, state.now);
    state.endpoints[entry.id] = new_state;
    record_decision(context, "endpoint_listed", 0,
                    {{"endpoint", entry.id}, {"service", entry.service}});
  }
  EndpointState& endpoint = state.endpoints[entry.id];
  if (is_outdated(endpoint, entry)) {
    record_decision(context, "endpoint_entry_ignored", 0,
                    {{"endpoint", entry.id},
                     {"sequence", std::to_string(entry.sequence)},
                     {"known", std::to_string(endpoint.entry.sequence)}});
    return;
  }
  const bool is_relisted = !endpoint.listed;
  const bool was_cold =
      !endpoint.entry.id.empty() && cold_rate(state, endpoint).has_value();
  const bool is_newer = entry.sequence > endpoint.entry.sequence;
  endpoint.entry = entry;
  endpoint.listed = true;
  endpoint.was_removed = false;
  endpoint.entry_missing_since = 0;
  endpoint.zone_closed_since = zone_closed_since(state, entry.zone);
  const bool turns_cold = entry.remaining_warm_up > 0 &&
                          endpoint.cold_phase.entry_until <= state.now;
  observe_entry(endpoint.cold_phase, entry.remaining_warm_up, is_newer,
                state.now);
  if (has_restarted || turns_cold) pace_started_endpoint(context, endpoint);
  if (entry.remaining_warm_up > 0)
    record_if_cold(context, endpoint, was_cold, "entry");
  if (entry.leaving) mark_leaving(context, endpoint, "notice");
  const bool is_back =
      is_relisted && !entry.leaving && !endpoint.announced_leaving;
  if (is_back) endpoint.leaving_since = 0;
  plan_moves(context);
}

void drop_endpoint(const RoutingContext& context, EndpointState& endpoint) {
  endpoint.listed = false;
  endpoint.entry_missing_since = 0;
  mark_leaving(context, endpoint, "unlisted");
}

// The leases of live endpoints expire during a store outage. Their entries are
// registered again soon after it.
void apply(const RoutingContext& context, const EndpointUnlisted& event) {
  RoutingState& state = context.state;
  EndpointState* endpoint = find_endpoint(context, event.id);
  if (endpoint == nullptr || !endpoint->listed) return;
  const bool may_return =
      endpoint->leaving_since == 0 &&
      (!state.store_reachable ||
       (state.store_regained_at != 0 &&
        state.now - state.store_regained_at < kEntryReturnTimeout));
  if (may_return) {
    if (endpoint->entry_missing_since == 0)
      endpoint->entry_missing_since = state.now;
    record_decision(context, "endpoint_absent", 0, {{"endpoint", event.id}});
    return;
  }
  endpoint->was_removed = true;
  drop_endpoint(context, *endpoint);
  plan_moves(context);
}

// Drops endpoints whose entries have not been registered again.
void drop_missing_endpoints(const RoutingContext& context) {
  RoutingState& state = context.state;
  for (auto& [id, endpoint] : state.endpoints) {
    if (endpoint.entry_missing_since == 0) continue;
    const Millis since = state.store_reachable
                             ? std::min(state.store_regained_at, state.now)
                             : endpoint.entry_missing_since;
    if (state.now - since < kEntryReturnTimeout) continue;
    drop_endpoint(context, endpoint);
  }
}

// Records that an endpoint said that it is leaving. Returns whether that was
// not known.
bool announce_leaving(const RoutingContext& context, const std::string& id) {
  EndpointState* endpoint = find_endpoint(context, id);
  if (endpoint == nullptr) return false;
  endpoint->announced_leaving = true;
  const bool was_known = endpoint->leaving_since != 0;
  mark_leaving(context, *endpoint, "announced by the endpoint");
  plan_moves(context);
  return !was_known;
}

void apply(const RoutingContext& context, const EndpointLeaving& event) {
  announce_leaving(context, event.id);
}

void apply(const RoutingContext& context, const EndpointAnswered& event) {
  on_connected(context, event.connected_at);
  on_endpoint_answered(context, event);
  if (!event.notice.is_leaving) return;
  if (announce_leaving(context, event.endpoint))
    context.effects.push_back(AnnounceEndpointLeaving{event.endpoint});
}

void apply(const RoutingContext& context, const EndpointUnreachable& event) {
  on_endpoint_unreachable(context, event.endpoint);
}

void apply(const RoutingContext& context, const EndpointPathProbed&) {
  on_connected(context, context.state.now);
}

void apply(const RoutingContext& context,
           const StoreReachabilityChanged& event) {
  RoutingState& state = context.state;
  const bool is_back = event.is_reachable && !state.store_reachable;
  state.store_reachable = event.is_reachable;
  if (!event.is_reachable) return;
  const Millis answered_at = std::exchange(state.store_answered_at, state.now);
  // One call that was cut off makes no entry expire.
  if (is_back && state.now - answered_at >= kMinOutageForExpiry)
    state.store_regained_at = state.now;
}

// The entries that a restored store lost are registered again, as after an
// outage.
void apply(const RoutingContext& context, const StoreEraSeen& event) {
  RoutingState& state = context.state;
  if (event.era <= state.store_era) return;
  const std::uint64_t previous_era = std::exchange(state.store_era, event.era);
  if (previous_era == 0) return;
  if (state.store_reachable) state.store_regained_at = state.now;
  record_decision(context, "store_restored", 0,
                  {{"era", std::to_string(event.era)},
                   {"previous_era", std::to_string(previous_era)}});
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

void apply(const RoutingContext& context,
           const ForwardedPlacementGranted& event) {
  RoutingState& state = context.state;
  const auto granted = std::find_if(
      state.placement_queue.begin(), state.placement_queue.end(),
      [&](const WaitingPlacement& waiting) {
        return waiting.peer == event.peer && waiting.request == event.request;
      });
  if (granted == state.placement_queue.end()) return;
  if (!is_prioritized(granted->requirements)) {
    record_placement(state.placement_rate, granted->requirements.is_late,
                     state.now);
  }
  state.placement_queue.erase(granted);
}

void apply(const RoutingContext& context, const PlacementAnswered& event) {
  on_placement_answered(context, event);
}

void apply(const RoutingContext& context, const PermitsRequested& event) {
  on_permits_requested(context, event);
}

void apply(const RoutingContext& context, const PermitsAnswered& event) {
  on_permits_answered(context, event);
}

// Recomputes the peers' usage of the endpoints in `affected`.
void sum_peer_usage(RoutingState& state,
                    const std::map<std::string, EndpointUsage>& affected) {
  for (const auto& [id, ignored] : affected) {
    const auto found = state.endpoints.find(id);
    if (found == state.endpoints.end()) continue;
    EndpointUsage& sum = found->second.peer_usage;
    sum = EndpointUsage{id};
    for (const auto& [peer, report] : state.peer_reports) {
      const auto usage = report.endpoint_usage.find(id);
      if (usage == report.endpoint_usage.end()) continue;
      sum.running_requests += usage->second.running_requests;
      sum.projected_tokens += usage->second.projected_tokens;
      sum.pending_prefill_tokens += usage->second.pending_prefill_tokens;
      sum.incoming_copies += usage->second.incoming_copies;
      sum.transport_failures += usage->second.transport_failures;
    }
  }
}

// Suspects the endpoints for which a peer reports more failures than before: a
// request may be placed there by this process, whether it sends any or not.
void suspect_reported_failures(
    const RoutingContext& context, const PeerReportReceived& event,
    const std::map<std::string, EndpointUsage>& previous) {
  RoutingState& state = context.state;
  for (const EndpointUsage& usage : event.endpoint_usage) {
    const auto found = previous.find(usage.endpoint);
    const double known =
        found == previous.end() ? 0 : found->second.transport_failures;
    if (usage.transport_failures <= known) continue;
    EndpointState* endpoint = find_endpoint(context, usage.endpoint);
    if (endpoint == nullptr) continue;
    const ServiceSpec* service = find_service(state, endpoint->entry.service);
    if (service == nullptr || service->cold_requests_per_second <= 0) continue;
    const bool was_cold = cold_rate(state, *endpoint).has_value();
    suspect_cold(endpoint->cold_phase, state.now);
    record_if_cold(context, *endpoint, was_cold, "failure at " + event.peer);
  }
}

void apply(const RoutingContext& context, const PeerReportReceived& event) {
  RoutingState& state = context.state;
  PeerReport& report = state.peer_reports[event.peer];
  std::map<std::string, EndpointUsage> affected =
      std::move(report.endpoint_usage);
  suspect_reported_failures(context, event, affected);
  report.endpoint_usage.clear();
  for (const EndpointUsage& usage : event.endpoint_usage)
    report.endpoint_usage[usage.endpoint] = usage;
  affected.insert(report.endpoint_usage.begin(), report.endpoint_usage.end());
  sum_peer_usage(state, affected);
  report.suspects = {event.suspects.begin(), event.suspects.end()};
  report.processes = event.processes;
  for (const FinishedOutput& output : event.finished_outputs) {
    report.finished_outputs[output.route] = output;
  }
  for (const ObservedLimit& observed : event.limits) {
    EndpointState* endpoint = find_endpoint(context, observed.endpoint);
    if (endpoint != nullptr)
      observe_limit(context, *endpoint, observed.limit, event.peer);
  }
  update_reported_speeds(context, report, event.speeds);
  compare_new_speeds(state);
  PeerRetryReport& retry_report = state.peer_retry_reports[event.peer];
  retry_report.received_at = state.now;
  retry_report.counts_by_service.clear();
  for (const ServiceRetryCounts& counts : event.retry_counts) {
    retry_report.counts_by_service[counts.service] = {counts.requests,
                                                      counts.retries};
  }
}

void apply(const RoutingContext& context, const PromptReportReceived& event) {
  RoutingState& state = context.state;
  record_pattern_change(
      context, merge_report(state.prompt_quarantine, event.report, state.now),
      event.peer);
}

void apply(const RoutingContext& context, const PeerLost& event) {
  RoutingState& state = context.state;
  const auto removed = state.peer_reports.extract(event.peer);
  if (!removed.empty()) sum_peer_usage(state, removed.mapped().endpoint_usage);
}

void apply(const RoutingContext& context, const StopRequested& event) {
  on_stop_requested(context, event);
}

void apply(const RoutingContext& context, const RoutingTicked&) {
  RoutingState& state = context.state;
  end_overdue_requests(context);
  end_requests_at_stop(context);
  drop_missing_endpoints(context);
  open_lost_zones(context);
  probe_endpoint_path(context);
  expire_permits(context);
  report_held_slots(context);
  adjust_paces(context);
  compare_new_speeds(state);
  place_queued_requests(context);
  place_waiting_requests(context);
  plan_moves(context);
  expire_suspects(state.quarantine, state.now);
  record_pattern_change(context,
                        expire_prompts(state.prompt_quarantine, state.now),
                        state.config.vm);
  std::erase_if(state.peer_retry_reports, [&](const auto& entry) {
    return state.now - entry.second.received_at >
           state.config.retry_limits.window;
  });
  std::erase_if(state.endpoints, [&](const auto& entry) {
    const EndpointState& endpoint = entry.second;
    const Millis retention = endpoint.announced_leaving
                                 ? kLeavingEndpointRetention
                                 : kEndpointRetention;
    return !endpoint.listed && endpoint.own_usage.running_requests == 0 &&
           state.now - endpoint.leaving_since > retention;
  });
}

}  // namespace

void record_decision(const RoutingContext& context, std::string decision,
                     std::uint64_t request, std::vector<DecisionField> fields) {
  context.effects.push_back(
      RecordDecision{std::move(decision), request, std::move(fields)});
}

RequestState* find_request(const RoutingContext& context,
                           std::uint64_t request_number) {
  const auto found = context.state.requests.find(request_number);
  return found == context.state.requests.end() ? nullptr : &found->second;
}

EndpointState* find_endpoint(const RoutingContext& context,
                             const std::string& id) {
  const auto found = context.state.endpoints.find(id);
  return found == context.state.endpoints.end() ? nullptr : &found->second;
}

std::size_t process_count(const RoutingState& state) {
  std::size_t count = 1;
  for (const auto& [peer, report] : state.peer_reports)
    count += report.processes;
  return count;
}

RoutingState initial_routing_state(const RoutingConfig& config) {
  RoutingState state;
  state.config = config;
  return state;
}

RoutingStep reduce(RoutingState state, const RoutingEvent& event) {
  RoutingStep step{std::move(state), {}};
  step.state.now = std::max(step.state.now, event.at);
  step.state.random = event.random;
  const RoutingContext context{step.state, step.effects};
  std::visit([&](const auto& body) { apply(context, body); }, event.body);
  const bool frees_capacity =
      std::holds_alternative<AttemptEnded>(event.body) ||
      std::holds_alternative<CallerDisconnected>(event.body);
  if (frees_capacity) place_waiting_requests(context);
  request_wanted_permits(context);
  return step;
}

}  // namespace peridotreach
