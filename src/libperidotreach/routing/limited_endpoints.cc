// Endpoints that limit the rate of their requests, take fewer while they are
// cold (cold_phase.h), or are fragile (fragile_endpoints.h): who knows of a
// limit, and the permits that the fleet shares (request_permits.h).

#include <algorithm>
#include <utility>

#include "libperidotreach/routing/request_permits.h"
#include "libperidotreach/routing/routing_reducer.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// Step in which the times of observations are reported, so that not every
// response changes the report.
constexpr Millis kReportedTimeStep = 200;

// How long the end of a limit is reported to peers.
constexpr Millis kEndReportPeriod = 5 * kSecond;

// Time after which an unused bucket is removed. A new one holds no more permits
// than it would by then.
constexpr Millis kBucketRetention = 10 * kSecond;

bool needs_permit(const RoutingState& state, const EndpointState& endpoint) {
  return needs_permit(find_service(state, endpoint.entry.service), endpoint,
                      state.now);
}

// Returns the limit with which permits are requested: none if the endpoint may
// be cold and takes fewer requests for that.
EndpointLimit requested_limit(const RoutingState& state,
                              const EndpointState& endpoint) {
  const std::optional<double>& limit = endpoint.limit.requests_per_second;
  const std::optional<double> cold = cold_rate(state, endpoint);
  return cold && (!limit || *cold < *limit) ? EndpointLimit() : endpoint.limit;
}

// Interval at which a process reports the slots that it holds.
constexpr Millis kSlotReportInterval = kSecond;

// Assumed for calls of a service of which this process has measured none.
constexpr double kDefaultCallMs = 100;

// Returns how long the calls of an endpoint take: as this process measured it
// there, or at the service's other endpoints.
double call_ms(const RoutingState& state, const EndpointState& endpoint) {
  if (is_current(endpoint.call_time, state.now))
    return endpoint.call_time.average_ms;
  double sum = 0;
  std::size_t measured = 0;
  for (const auto& [id, other] : state.endpoints) {
    if (other.entry.service != endpoint.entry.service) continue;
    if (!is_current(other.call_time, state.now)) continue;
    sum += other.call_time.average_ms;
    measured += 1;
  }
  return measured == 0 ? kDefaultCallMs : sum / static_cast<double>(measured);
}

// Returns the terms on which this process hands out permits; none if they are
// not limited. A request that names no limit is for an endpoint that may be
// cold, which this process need not know yet.
std::optional<PermitTerms> permit_terms(const RoutingState& state,
                                        const EndpointState& endpoint,
                                        const PermitsRequested& event) {
  const ServiceSpec* service = find_service(state, endpoint.entry.service);
  const bool is_cold = !is_limited(event.limit) ||
                       cold_rate(service, endpoint, state.now).has_value();
  std::optional<PermitTerms> terms;
  if (endpoint.limit.requests_per_second)
    terms = limit_terms(*endpoint.limit.requests_per_second, event.live_share);
  const bool has_cold_rate =
      service != nullptr && service->cold_requests_per_second > 0;
  if (!is_cold || !has_cold_rate) return terms;
  const PermitTerms cold =
      cold_terms(service->cold_requests_per_second, event.live_share);
  return terms ? stricter(*terms, cold) : cold;
}

// Returns the slots of a fragile endpoint that this process holds: those of its
// running calls, and those for which it has permits.
std::uint32_t held_slots(const EndpointState& endpoint, Millis now) {
  const auto& lapse_at = endpoint.permits.lapse_at;
  const auto valid = std::count_if(lapse_at.begin(), lapse_at.end(),
                                   [&](Millis at) { return at > now; });
  return endpoint.own_usage.running_requests +
         static_cast<std::uint32_t>(valid);
}

// Returns the permits for an endpoint that this process knows: within the free
// slots if it is fragile, and at the rate of the terms if there are any.
PermitGrant grant_permits(RoutingState& state, const EndpointState& endpoint,
                          const PermitsRequested& event) {
  PermitBucket& bucket = state.permit_buckets[event.endpoint];
  const auto terms = permit_terms(state, endpoint, event);
  const auto take = [&](std::uint32_t wanted) {
    return terms ? take_from_bucket(bucket, *terms, wanted, state.now)
                 : PermitGrant{wanted, 0};
  };
  const ServiceSpec* service = find_service(state, endpoint.entry.service);
  if (!is_fragile(service, endpoint)) return take(event.count);
  SlotLedger& ledger = bucket.slots;
  const double slots = slots_of(endpoint);
  update_slots(ledger, {event.peer, event.held_slots, event.rejections}, slots,
               *endpoint.limit.rejection_limit, state.now);
  const std::uint32_t wanted = std::min(
      event.count, free_slots(ledger, slots, event.live_share, state.now));
  if (wanted == 0) {
    return {0,
            wait_for_slot(ledger, slots, call_ms(state, endpoint), state.now)};
  }
  const PermitGrant grant = take(wanted);
  hand_out_slots(ledger, event.peer, grant.permits, state.now);
  return grant;
}

// Returns the best endpoint that needs no permit or has one at hand, which is
// used rather than another one awaited; any other one if there is none.
std::string choose_with_permit_at_hand(const RoutingContext& context,
                                       const EndpointCriteria& criteria) {
  EndpointCriteria at_hand = criteria;
  at_hand.needs_permit_now = true;
  const std::string id = choose_endpoint(context.state, at_hand);
  return id.empty() ? choose_endpoint(context.state, criteria) : id;
}

}  // namespace

PermittedChoice choose_with_permit(const RoutingContext& context,
                                   const EndpointCriteria& criteria,
                                   const std::string& awaited_permit) {
  const EndpointState* awaited = find_endpoint(context, awaited_permit);
  const bool is_outstanding = awaited != nullptr &&
                              awaited->permits.requested_at != 0 &&
                              !criteria.needs_permit_now;
  if (is_outstanding) return {"", awaited_permit};
  const bool has_arrived =
      awaited != nullptr &&
      (cold_rate(context.state, *awaited) || awaited->limit.rejection_limit) &&
      has_permit(awaited->permits, context.state.now);
  const std::string id = has_arrived
                             ? choose_with_permit_at_hand(context, criteria)
                             : choose_endpoint(context.state, criteria);
  EndpointState* endpoint = find_endpoint(context, id);
  if (endpoint == nullptr) return {};
  if (!needs_permit(context.state, *endpoint)) return {id, ""};
  if (use_permit(endpoint->permits, context.state.now)) return {id, ""};
  context.state.permits_wanted.insert(id);
  return {"", id};
}

std::string choose_for_move(const RoutingContext& context,
                            EndpointCriteria criteria) {
  const PermittedChoice choice = choose_with_permit(context, criteria);
  const EndpointState* awaited = find_endpoint(context, choice.awaited_permit);
  if (awaited == nullptr || !cold_rate(context.state, *awaited))
    return choice.endpoint;
  criteria.needs_permit_now = true;
  return choose_with_permit(context, criteria).endpoint;
}

void overdraw_permits(const RoutingContext& context, const std::string& id) {
  EndpointState* endpoint = find_endpoint(context, id);
  if (endpoint == nullptr || !needs_permit(context.state, *endpoint)) return;
  if (use_permit(endpoint->permits, context.state.now)) return;
  endpoint->permits.overdrawn += 1;
  context.state.permits_wanted.insert(id);
}

void observe_limit(const RoutingContext& context, EndpointState& endpoint,
                   const EndpointLimit& observed, const std::string& source) {
  if (!update_limit(endpoint.limit, observed)) return;
  const std::optional<double>& rate = observed.requests_per_second;
  if (!is_limited(observed)) {
    endpoint.limit_ended_at = context.state.now;
    endpoint.permits = {};
  }
  record_decision(
      context, "endpoint_limit_changed", 0,
      {{"endpoint", endpoint.entry.id},
       {"requests_per_second", rate ? std::to_string(*rate) : "none"},
       {"rejections_per_second", observed.rejection_limit
                                     ? std::to_string(*observed.rejection_limit)
                                     : "none"},
       {"source", source},
       {"age_ms", std::to_string(context.state.now - observed.observed_at)}});
}

void on_endpoint_answered(const RoutingContext& context,
                          const EndpointAnswered& event) {
  EndpointState* endpoint = find_endpoint(context, event.endpoint);
  if (endpoint == nullptr) return;
  observe_answer(endpoint->cold_phase, context.state.now);
  endpoint->own_limit = {event.notice.requests_per_second, context.state.now,
                         event.notice.rejection_limit};
  observe_limit(context, *endpoint, endpoint->own_limit,
                context.state.config.vm);
  if (event.notice.retry_after == 0) return;
  // Answers to earlier requests may name shorter pauses.
  endpoint->declined_until = std::max(
      endpoint->declined_until, context.state.now + event.notice.retry_after);
  record_decision(
      context, "endpoint_declines", 0,
      {{"endpoint", event.endpoint},
       {"retry_after_ms", std::to_string(event.notice.retry_after)}});
}

void record_if_cold(const RoutingContext& context,
                    const EndpointState& endpoint, bool was_cold,
                    const std::string& cause) {
  const RoutingState& state = context.state;
  const std::optional<double> rate = cold_rate(state, endpoint);
  if (was_cold || !rate) return;
  const ColdPhase& phase = endpoint.cold_phase;
  const auto age = [&](Millis since) {
    return since == 0 ? std::string("none") : std::to_string(state.now - since);
  };
  record_decision(context, "endpoint_may_be_cold", 0,
                  {{"endpoint", endpoint.entry.id},
                   {"requests_per_second", std::to_string(*rate)},
                   {"cause", cause},
                   {"entry_left_ms", std::to_string(std::max<Millis>(
                                         0, phase.entry_until - state.now))},
                   {"started_age_ms", age(phase.started_at)},
                   {"suspected_age_ms", age(phase.suspected_since)}});
}

void on_permits_requested(const RoutingContext& context,
                          const PermitsRequested& event) {
  RoutingState& state = context.state;
  const std::optional<double>& limit = event.limit.requests_per_second;
  // For an endpoint that this process does not know, only the limit that the
  // other one knows can be applied.
  PermitGrant grant{0, kMaxPermitWait};
  if (EndpointState* endpoint = find_endpoint(context, event.endpoint)) {
    if (is_limited(event.limit))
      observe_limit(context, *endpoint, event.limit, event.peer);
    grant = grant_permits(state, *endpoint, event);
  } else if (limit) {
    grant = take_from_bucket(state.permit_buckets[event.endpoint],
                             limit_terms(*limit, event.live_share), event.count,
                             state.now);
  }
  if (event.count == 0) return;
  context.effects.push_back(
      AnswerPermits{event.peer, event.endpoint, grant, event.requested_at});
}

namespace {

Millis permit_lifetime(const RoutingState& state,
                       const EndpointState& endpoint) {
  const ServiceSpec* service = find_service(state, endpoint.entry.service);
  if (is_fragile(service, endpoint)) return kSlotPermitLifetime;
  return cold_rate(state, endpoint) ? kColdPermitLifetime : kPermitLifetime;
}

}  // namespace

void on_permits_answered(const RoutingContext& context,
                         const PermitsAnswered& event) {
  RoutingState& state = context.state;
  EndpointState* endpoint = find_endpoint(context, event.endpoint);
  if (endpoint == nullptr) return;
  const Millis lifetime = permit_lifetime(state, *endpoint);
  const bool is_in_time = add_permits(endpoint->permits, event.grant,
                                      event.requested_at, lifetime, state.now);
  if (is_in_time && event.grant.permits == 0) {
    record_decision(
        context, "permits_denied", 0,
        {{"endpoint", event.endpoint},
         {"age_ms", std::to_string(state.now - event.requested_at)},
         {"retry_after_ms", std::to_string(event.grant.retry_after)}});
  }
  if (is_in_time) endpoint->permits.reported_slots += event.grant.permits;
  if (endpoint->limit.rejection_limit)
    state.permits_wanted.insert(event.endpoint);
  place_queued_requests(context);
  place_waiting_requests(context);
}

namespace {

// Returns whether the coordinator takes this process to hold more slots of a
// fragile endpoint than it does, or will forget the ones that it holds.
bool is_report_due(const RoutingState& state, const EndpointState& endpoint) {
  const ServiceSpec* service = find_service(state, endpoint.entry.service);
  const EndpointPermits& permits = endpoint.permits;
  if (!is_fragile(service, endpoint) || permits.requested_at != 0) return false;
  const std::uint32_t held = held_slots(endpoint, state.now);
  return held < permits.reported_slots ||
         (held > 0 &&
          state.now - permits.slots_reported_at >= kSlotReportInterval);
}

}  // namespace

void report_held_slots(const RoutingContext& context) {
  for (const auto& [id, endpoint] : context.state.endpoints) {
    if (is_report_due(context.state, endpoint))
      context.state.permits_wanted.insert(id);
  }
}

void request_wanted_permits(const RoutingContext& context) {
  RoutingState& state = context.state;
  for (const std::string& id : state.permits_wanted) {
    EndpointState* endpoint = find_endpoint(context, id);
    if (endpoint == nullptr) continue;
    const auto count = take_due_permit_request(endpoint->permits, state.now);
    if (!count && !is_report_due(state, *endpoint)) continue;
    EndpointPermits& permits = endpoint->permits;
    permits.reported_slots = held_slots(*endpoint, state.now);
    permits.slots_reported_at = state.now;
    context.effects.push_back(RequestPermits{
        id, count.value_or(0), requested_limit(state, *endpoint), state.now,
        std::exchange(permits.rejections, 0), permits.reported_slots});
  }
  state.permits_wanted.clear();
}

void expire_permits(const RoutingContext& context) {
  RoutingState& state = context.state;
  for (auto& [id, endpoint] : state.endpoints) {
    if (!expire_permit_request(endpoint.permits, state.now)) continue;
    record_decision(context, "permits_not_answered", 0, {{"endpoint", id}});
  }
  std::erase_if(state.permit_buckets, [&](const auto& entry) {
    const PermitBucket& bucket = entry.second;
    return state.now - std::max(bucket.refilled_at, bucket.slots.updated_at) >
           kBucketRetention;
  });
}

std::vector<ObservedLimit> reported_limits(const RoutingState& state) {
  std::vector<ObservedLimit> limits;
  for (const auto& [id, endpoint] : state.endpoints) {
    const EndpointLimit& own = endpoint.own_limit;
    const bool has_just_ended =
        endpoint.limit_ended_at != 0 &&
        own.observed_at >= endpoint.limit_ended_at &&
        state.now - endpoint.limit_ended_at < kEndReportPeriod;
    if (!is_limited(own) && !has_just_ended) continue;
    const Millis observed_at =
        own.observed_at / kReportedTimeStep * kReportedTimeStep;
    limits.push_back(
        {id, {own.requests_per_second, observed_at, own.rejection_limit}});
  }
  return limits;
}

}  // namespace peridotreach
