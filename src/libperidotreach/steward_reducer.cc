#include "libperidotreach/steward_reducer.h"

#include <algorithm>
#include <utility>

namespace peridotreach {
namespace {

using Effects = std::vector<StewardEffect>;

// Intervals between lease renewals, between attempts to acquire a lease and
// between reads of the endpoints.
constexpr Millis kRenewalInterval = 3 * kSecond;
constexpr Millis kAcquireInterval = 4 * kSecond;
constexpr Millis kReadInterval = 2 * kSecond;

// Time within which an order is reflected in the state that an endpoint
// reports.
constexpr Millis kOrderSettleTime = 5 * kSecond;

// Adds a scope for each model service of the configuration in this region.
void add_configured_scopes(StewardState& state) {
  for (const ServicePolicy& service : state.config.services) {
    if (!service.is_model) continue;
    const std::string name = state.region + "/" + service.id;
    ScopeState& scope = state.scopes[name];
    scope.service = service.id;
    scope.region = state.region;
  }
}

bool holds_lease(const ScopeState& scope, Millis now) {
  return now < scope.lease_valid_until;
}

void apply(StewardState& state, const LeaseObtained& event,
           Effects& /*effects*/) {
  const auto found = state.scopes.find(event.scope);
  if (found == state.scopes.end()) return;
  ScopeState& scope = found->second;
  const bool newly_acquired = scope.fencing_token != event.fencing_token;
  scope.fencing_token = event.fencing_token;
  // Validity counts from the start of the call, since the store may have
  // granted the lease at any time after that, and ends before expiry by the
  // margin.
  scope.lease_valid_until =
      event.requested_at + kStewardLeaseDuration - kStewardLeaseMargin;
  if (!newly_acquired) return;
  scope.orders_allowed_from = state.now + kStewardLeaseMargin;
  scope.endpoint_models.clear();
  scope.endpoints_read_at = -kMinute;
}

void apply(StewardState& state, const LeaseUnavailable& event,
           Effects& /*effects*/) {
  const auto found = state.scopes.find(event.scope);
  if (found == state.scopes.end()) return;
  found->second.lease_valid_until = 0;
}

// Returns the scope of `endpoint`, or null if either is unknown.
ScopeState* find_scope(StewardState& state, const std::string& endpoint) {
  const EndpointInfo* info = find_endpoint(state.view, endpoint);
  if (info == nullptr) return nullptr;
  const auto found = state.scopes.find(info->region + "/" + info->service);
  return found == state.scopes.end() ? nullptr : &found->second;
}

void apply(StewardState& state, const EndpointModelsRead& event,
           Effects& /*effects*/) {
  ScopeState* scope = find_scope(state, event.endpoint);
  if (scope == nullptr) return;
  EndpointModels& current = scope->endpoint_models[event.endpoint];
  current.reachable = event.reachable;
  if (!event.reachable) return;
  std::vector<std::string> models = event.models;
  std::sort(models.begin(), models.end());
  // A read that was in flight when the order was sent reports the old state.
  const auto order = scope->last_order_by_endpoint.find(event.endpoint);
  const bool may_be_stale = order != scope->last_order_by_endpoint.end() &&
                            state.now - order->second < kOrderSettleTime &&
                            models == current.models;
  if (may_be_stale && current.changing) return;
  current.models = std::move(models);
  // An endpoint that runs no models is still loading them.
  current.changing = event.models.empty();
}

void apply(StewardState& state, const OrderAnswered& event,
           Effects& /*effects*/) {
  ScopeState* scope = find_scope(state, event.endpoint);
  if (scope == nullptr) return;
  if (event.stale_fencing_token) {
    // A newer lease holder sends orders, so this one stops immediately.
    scope->lease_valid_until = 0;
    return;
  }
  if (!event.accepted) scope->endpoint_models[event.endpoint].changing = false;
}

void apply(StewardState& state, const StewardViewChanged& event,
           Effects& /*effects*/) {
  state.view = event.view;
}

void apply(StewardState& state, const StewardConfigChanged& event,
           Effects& /*effects*/) {
  if (event.config.revision < state.config.revision) return;
  state.config = event.config;
  add_configured_scopes(state);
}

void request_lease(const StewardState& state, const std::string& name,
                   ScopeState& scope, Effects& effects) {
  const Millis interval =
      holds_lease(scope, state.now) ? kRenewalInterval : kAcquireInterval;
  if (state.now - scope.lease_requested_at < interval) return;
  scope.lease_requested_at = state.now;
  effects.emplace_back(AcquireLease{name});
}

void read_endpoints(const StewardState& state, ScopeState& scope,
                    Effects& effects) {
  if (state.now - scope.endpoints_read_at < kReadInterval) return;
  scope.endpoints_read_at = state.now;
  for (const EndpointInfo& endpoint : state.view.endpoints) {
    const bool in_scope =
        endpoint.service == scope.service && endpoint.region == scope.region;
    if (in_scope) effects.emplace_back(ReadEndpointModels{endpoint.id});
  }
}

void send_orders(const StewardState& state, ScopeState& scope,
                 Effects& effects) {
  if (state.now - scope.last_order_at < kMinOrderInterval) return;
  const auto desired = desired_models(state.config, state.view, scope.service,
                                      scope.region, scope.endpoint_models);
  for (const RolloutStep& step :
       next_rollout_steps(desired, scope.endpoint_models)) {
    scope.last_order_at = state.now;
    scope.endpoint_models[step.endpoint].changing = true;
    scope.last_order_by_endpoint[step.endpoint] = state.now;
    effects.emplace_back(
        SendOrder{step.endpoint, step.models, scope.fencing_token});
    return;
  }
}

void apply(StewardState& state, const StewardTicked& /*tick*/,
           Effects& effects) {
  for (auto& [name, scope] : state.scopes) {
    request_lease(state, name, scope, effects);
    if (!holds_lease(scope, state.now)) continue;
    read_endpoints(state, scope, effects);
    if (may_send_orders(scope, state.now)) send_orders(state, scope, effects);
  }
}

}  // namespace

bool may_send_orders(const ScopeState& scope, Millis now) {
  return now >= scope.orders_allowed_from && holds_lease(scope, now) &&
         !scope.endpoint_models.empty();
}

StewardState initial_steward_state(const std::string& vm,
                                   const std::string& zone,
                                   const std::string& region) {
  StewardState state;
  state.vm = vm;
  state.zone = zone;
  state.region = region;
  return state;
}

StewardStep reduce(StewardState state, const StewardEvent& event) {
  StewardStep step{std::move(state), {}};
  step.state.now = std::max(step.state.now, event.at);
  std::visit([&](const auto& body) { apply(step.state, body, step.effects); },
             event.body);
  return step;
}

}  // namespace peridotreach
