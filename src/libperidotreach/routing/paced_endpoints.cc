// Engines with a pace (endpoint_pace.h): when a window begins, and how it
// follows what the processes of the fleet report.

#include <algorithm>
#include <map>
#include <vector>

#include "libperidotreach/routing/endpoint_pace.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// Part of the shortest first-byte objective that prompts may take at an engine
// that has no window.
constexpr double kPeerWindowObjectiveShare = 0.67;

// Transport failures after which an engine counts as one that has to recover.
constexpr double kRecoveryFailures = 3;

// Interval at which windows are adjusted: that of the reports which they
// follow.
constexpr Millis kAdjustInterval = 120;

// Time after its last placement in which a process counts as a placement
// coordinator. Only coordinators adjust windows; others keep those that they
// began, in case they take over.
constexpr Millis kCoordinatesFor = 5 * kSecond;

// The rate of a service's engines is known from this many of them.
constexpr std::size_t kMinRatedPeers = 3;

double all_failures(const EndpointState& endpoint, Millis now) {
  return transport_failures_at(endpoint, now) +
         endpoint.peer_usage.transport_failures;
}

// Returns whether the configuration says that engines of this service start
// cold.
bool may_be_paced(const ServiceSpec* service) {
  return service != nullptr && service->engine && service->cold_start > 0;
}

// Returns the median rate of the engines of `service` that have no window.
double peer_rate(const RoutingState& state, const std::string& service) {
  std::vector<double> rates;
  for (const auto& [id, endpoint] : state.endpoints) {
    if (endpoint.entry.service != service || is_paced(endpoint.pace)) continue;
    if (endpoint.answer_rate.tokens_per_ms <= 0) continue;
    rates.push_back(endpoint.answer_rate.tokens_per_ms);
  }
  if (rates.size() < kMinRatedPeers) return kPrefillTokensPerMs;
  const auto middle =
      rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
  std::nth_element(rates.begin(), middle, rates.end());
  return *middle;
}

// Records a change of a window by which this process has placed requests.
void record_pace(const RoutingContext& context, const EndpointState& endpoint,
                 PaceChange change, Millis began_at,
                 const PaceObservation& observed) {
  record_decision(
      context, "pace_changed", 0,
      {{"endpoint", endpoint.entry.id},
       {"change", pace_change_name(change)},
       {"window_tokens", std::to_string(endpoint.pace.tokens)},
       {"pending_tokens", std::to_string(observed.pending_tokens)},
       {"failures", std::to_string(observed.failures)},
       {"peer_tokens_per_ms", std::to_string(observed.peer_tokens_per_ms)},
       {"age_ms", std::to_string(context.state.now - began_at)}});
}

}  // namespace

void pace_started_endpoint(const RoutingContext& context,
                           EndpointState& endpoint) {
  const RoutingState& state = context.state;
  if (!may_be_paced(find_service(state, endpoint.entry.service))) return;
  if (is_paced(endpoint.pace)) return;
  begin_pace(endpoint.pace, all_failures(endpoint, state.now), state.now);
}

void adjust_paces(const RoutingContext& context) {
  RoutingState& state = context.state;
  const bool is_due = state.last_grant_at != 0 &&
                      state.now - state.last_grant_at < kCoordinatesFor &&
                      state.now - state.paces_adjusted_at >= kAdjustInterval;
  if (!is_due) return;
  state.paces_adjusted_at = state.now;
  const bool has_pace =
      state.manifest &&
      std::any_of(
          state.manifest->services.begin(), state.manifest->services.end(),
          [](const auto& service) { return may_be_paced(&service.second); });
  if (!has_pace) return;
  const std::uint64_t window =
      prefill_tokens_within(state, kPeerWindowObjectiveShare);
  std::map<std::string, double> rates;
  for (auto& [id, endpoint] : state.endpoints) {
    if (!may_be_paced(find_service(state, endpoint.entry.service))) continue;
    PaceObservation observed;
    observed.now = state.now;
    observed.pending_tokens = endpoint.own_usage.pending_prefill_tokens +
                              endpoint.peer_usage.pending_prefill_tokens;
    observed.answered_tokens = observe_pending(
        endpoint.answer_rate, observed.pending_tokens, state.now);
    observed.failures = all_failures(endpoint, state.now);
    observed.peer_window = window;
    if (!is_paced(endpoint.pace)) {
      if (observed.failures >= kRecoveryFailures)
        pace_started_endpoint(context, endpoint);
      continue;
    }
    const auto [rate, is_new] = rates.try_emplace(endpoint.entry.service);
    if (is_new) rate->second = peer_rate(state, endpoint.entry.service);
    observed.peer_tokens_per_ms = rate->second;
    const PaceWindow before = endpoint.pace;
    const PaceChange change = adjust_pace(endpoint.pace, observed);
    if (change == PaceChange::kNone || !before.is_used) continue;
    record_pace(context, endpoint, change, before.began_at, observed);
  }
}

}  // namespace peridotreach
