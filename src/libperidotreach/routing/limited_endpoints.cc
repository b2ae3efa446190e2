// Endpoints that limit the rate of their requests: who knows of a limit, and
// the permits that the fleet shares (request_permits.h).

#include <algorithm>

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

// Time after which an unused bucket is removed. A new one starts empty, so no
// permits are added by that.
constexpr Millis kBucketRetention = 10 * kSecond;

}  // namespace

PermittedChoice choose_with_permit(const RoutingContext& context,
                                   const EndpointCriteria& criteria,
                                   const std::string& awaited_permit) {
  const EndpointState* awaited = find_endpoint(context, awaited_permit);
  const bool is_outstanding = awaited != nullptr &&
                              awaited->permits.requested_at != 0 &&
                              !criteria.needs_permit_now;
  if (is_outstanding) return {"", awaited_permit};
  const std::string id = choose_endpoint(context.state, criteria);
  EndpointState* endpoint = find_endpoint(context, id);
  if (endpoint == nullptr) return {};
  if (!endpoint->limit.requests_per_second) return {id, ""};
  if (use_permit(endpoint->permits, context.state.now)) return {id, ""};
  context.state.permits_wanted.insert(id);
  return {"", id};
}

void overdraw_permits(const RoutingContext& context, const std::string& id) {
  EndpointState* endpoint = find_endpoint(context, id);
  if (endpoint == nullptr || !endpoint->limit.requests_per_second) return;
  if (use_permit(endpoint->permits, context.state.now)) return;
  endpoint->permits.overdrawn += 1;
  context.state.permits_wanted.insert(id);
}

void observe_limit(const RoutingContext& context, EndpointState& endpoint,
                   const EndpointLimit& observed, const std::string& source) {
  if (!update_limit(endpoint.limit, observed)) return;
  const std::optional<double>& rate = observed.requests_per_second;
  if (!rate) {
    endpoint.limit_ended_at = context.state.now;
    endpoint.permits = {};
  }
  record_decision(
      context, "endpoint_limit_changed", 0,
      {{"endpoint", endpoint.entry.id},
       {"requests_per_second", rate ? std::to_string(*rate) : "none"},
       {"source", source},
       {"age_ms", std::to_string(context.state.now - observed.observed_at)}});
}

void on_endpoint_answered(const RoutingContext& context,
                          const EndpointAnswered& event) {
  EndpointState* endpoint = find_endpoint(context, event.endpoint);
  if (endpoint == nullptr) return;
  endpoint->own_limit = {event.notice.requests_per_second, context.state.now};
  observe_limit(context, *endpoint, endpoint->own_limit,
                context.state.config.vm);
  if (event.notice.retry_after == 0) return;
  endpoint->declined_until = context.state.now + event.notice.retry_after;
  record_decision(
      context, "endpoint_declines", 0,
      {{"endpoint", event.endpoint},
       {"retry_after_ms", std::to_string(event.notice.retry_after)}});
}

void on_permits_requested(const RoutingContext& context,
                          const PermitsRequested& event) {
  RoutingState& state = context.state;
  EndpointLimit limit = event.limit;
  if (EndpointState* endpoint = find_endpoint(context, event.endpoint)) {
    observe_limit(context, *endpoint, event.limit, event.peer);
    limit = endpoint->limit;
  }
  PermitGrant grant{event.count, 0};
  if (limit.requests_per_second) {
    grant = take_from_bucket(
        state.permit_buckets[event.endpoint],
        permitted_rate(*limit.requests_per_second, event.live_share),
        event.count, state.now);
  }
  context.effects.push_back(
      AnswerPermits{event.peer, event.endpoint, grant, event.requested_at});
}

void on_permits_answered(const RoutingContext& context,
                         const PermitsAnswered& event) {
  RoutingState& state = context.state;
  EndpointState* endpoint = find_endpoint(context, event.endpoint);
  if (endpoint == nullptr) return;
  const bool is_in_time = add_permits(endpoint->permits, event.grant,
                                      event.requested_at, state.now);
  if (is_in_time && event.grant.permits == 0) {
    record_decision(
        context, "permits_denied", 0,
        {{"endpoint", event.endpoint},
         {"age_ms", std::to_string(state.now - event.requested_at)},
         {"retry_after_ms", std::to_string(event.grant.retry_after)}});
  }
  place_queued_requests(context);
  place_waiting_requests(context);
}

void request_wanted_permits(const RoutingContext& context) {
  RoutingState& state = context.state;
  for (const std::string& id : state.permits_wanted) {
    EndpointState* endpoint = find_endpoint(context, id);
    if (endpoint == nullptr) continue;
    const auto count = take_due_permit_request(endpoint->permits, state.now);
    if (!count) continue;
    context.effects.push_back(
        RequestPermits{id, *count, endpoint->limit, state.now});
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
    return state.now - entry.second.refilled_at > kBucketRetention;
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
    if (!own.requests_per_second && !has_just_ended) continue;
    const Millis observed_at =
        own.observed_at / kReportedTimeStep * kReportedTimeStep;
    limits.push_back({id, {own.requests_per_second, observed_at}});
  }
  return limits;
}

}  // namespace peridotreach
