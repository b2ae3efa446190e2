// Speed of endpoints: what this process measures on its streams, what it
// reports of that, and what it learns from the reports of others.

#include <algorithm>
#include <limits>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/routing_reducer.h"
#include "libperidotreach/routing/routing_steps.h"
#include "libperidotreach/routing/service_speeds.h"

namespace peridotreach {
namespace {

// Groups of events that have to be measured: the lower quartile of three is the
// shortest, which one prompt that is prefilled meanwhile does not lengthen.
constexpr std::size_t kMinEventGroups = 3;
constexpr std::size_t kMinPrefills = 1;

// Prompts below this size take hardly longer than a step.
constexpr std::uint32_t kMinMeasuredPrompt = 500;

constexpr Millis kTokensPerMeasuredPrefill = 1000;

// Interval at which the endpoints of a service are compared, as that costs time
// for each of them. It is short beside the time over which speeds are measured.
constexpr Millis kCompareInterval = 200;

EndpointSpeed measured_speed(const EndpointState& endpoint, Millis now) {
  return {lower_quartile(endpoint.event_group_samples, kMinEventGroups, now),
          lower_quartile(endpoint.prefill_samples, kMinPrefills, now)};
}

// Takes over what this process and its peers measure now. Without a new
// measurement the last one holds, as endpoints keep their speed.
void update_speed(RoutingState& state, EndpointState& endpoint) {
  EndpointSpeed speed = measured_speed(endpoint, state.now);
  for (const auto& [peer, report] : state.peer_reports) {
    const auto found = report.speeds.find(endpoint.entry.id);
    if (found != report.speeds.end())
      speed = merge_speeds(speed, found->second);
  }
  if (!is_known(speed)) return;
  endpoint.latest_speed = speed;
  if (speed.event_group_ms != 0)
    endpoint.speed.event_group_ms = speed.event_group_ms;
  if (speed.prefill_ms != 0) endpoint.speed.prefill_ms = speed.prefill_ms;
  endpoint.speed_updated_at = state.now;
  state.has_new_speeds = true;
}

void measure_prefill(EndpointState& endpoint, const RequestState& request,
                     Millis now) {
  const std::uint32_t prompt = request.caller_request.prompt_tokens;
  if (!request.is_prefilled_alone || prompt < kMinMeasuredPrompt) return;
  add_sample(
      endpoint.prefill_samples,
      (now - request.attempt_started_at) * kTokensPerMeasuredPrefill / prompt,
      now);
}

// Returns whether this process measured endpoints of the service that seem to
// differ. Their load may explain that; the comparison of all decides.
bool has_measured_difference(const RoutingState& state,
                             const std::string& service) {
  std::uint32_t fastest = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t slowest = 0;
  for (const std::string& id : state.measured_endpoints) {
    const auto found = state.endpoints.find(id);
    if (found == state.endpoints.end()) continue;
    if (found->second.entry.service != service) continue;
    const std::uint32_t time =
        measured_speed(found->second, state.now).event_group_ms;
    if (time == 0) continue;
    fastest = std::min(fastest, time);
    slowest = std::max(slowest, time);
  }
  return slowest != 0 && differ_much(fastest, slowest);
}

}  // namespace

ServiceSpeeds service_speeds(const RoutingState& state,
                             const std::string& service) {
  const auto found = state.service_speeds.find(service);
  return found == state.service_speeds.end() ? ServiceSpeeds() : found->second;
}

namespace {

ServiceSpeeds compare_endpoints(const RoutingState& state,
                                const std::string& service) {
  std::vector<EndpointSpeed> speeds;
  for (const auto& [id, endpoint] : state.endpoints) {
    const bool counts = endpoint.entry.service == service && endpoint.listed &&
                        is_known(endpoint.speed);
    if (counts) speeds.push_back(endpoint.speed);
  }
  return compare_speeds(speeds);
}

}  // namespace

void compare_new_speeds(RoutingState& state) {
  std::erase_if(state.measured_endpoints, [&](const std::string& id) {
    const auto found = state.endpoints.find(id);
    return found == state.endpoints.end() ||
           !is_known(measured_speed(found->second, state.now));
  });
  const bool is_due = state.has_new_speeds && state.manifest &&
                      state.now - state.speeds_compared_at >= kCompareInterval;
  if (!is_due) return;
  state.has_new_speeds = false;
  state.speeds_compared_at = state.now;
  for (const auto& [name, service] : state.manifest->services) {
    if (service.engine)
      state.service_speeds[name] = compare_endpoints(state, name);
  }
}

void append_speed_fields(const RoutingState& state,
                         const EndpointState& endpoint,
                         std::vector<DecisionField>& fields) {
  const ServiceSpeeds speeds = service_speeds(state, endpoint.entry.service);
  if (!speeds.differ) return;
  const EndpointSpeed& speed = endpoint.latest_speed;
  fields.push_back({"slowness", std::to_string(slowness(speeds, speed))});
  fields.push_back({"event_group_ms", std::to_string(speed.event_group_ms)});
  fields.push_back({"prefill_ms", std::to_string(speed.prefill_ms)});
  fields.push_back(
      {"speed_age_ms", std::to_string(state.now - endpoint.speed_updated_at)});
}

std::size_t slow_endpoint_count(const RoutingState& state) {
  std::size_t count = 0;
  if (!state.manifest) return count;
  for (const auto& [name, service] : state.manifest->services) {
    if (!service.engine) continue;
    const ServiceSpeeds speeds = service_speeds(state, name);
    for (const auto& [id, endpoint] : state.endpoints) {
      if (endpoint.entry.service != name || !endpoint.listed) continue;
      if (slowness(speeds, endpoint.latest_speed) > 1) count += 1;
    }
  }
  return count;
}

void measure_event(const RoutingContext& context, RequestState& request) {
  EndpointState* endpoint = find_endpoint(context, request.endpoint);
  if (endpoint == nullptr) return;
  const Millis now = context.state.now;
  context.state.measured_endpoints.insert(request.endpoint);
  if (request.event_count == 0) measure_prefill(*endpoint, request, now);
  if (request.event_group_started_at == 0) {
    request.event_group_started_at = now;
    request.event_group_size = 0;
    return;
  }
  request.event_group_size += 1;
  if (request.event_group_size < kEventsPerSpeedSample) return;
  add_sample(endpoint->event_group_samples,
             now - request.event_group_started_at, now);
  request.event_group_started_at = now;
  request.event_group_size = 0;
  update_speed(context.state, *endpoint);
}

void update_reported_speeds(const RoutingContext& context, PeerReport& report,
                            const std::vector<ObservedSpeed>& speeds) {
  report.speeds.clear();
  for (const ObservedSpeed& observed : speeds)
    report.speeds[observed.endpoint] = observed.speed;
  for (const ObservedSpeed& observed : speeds) {
    EndpointState* endpoint = find_endpoint(context, observed.endpoint);
    if (endpoint != nullptr) update_speed(context.state, *endpoint);
  }
}

std::vector<ObservedSpeed> reported_speeds(const RoutingState& state) {
  std::vector<ObservedSpeed> speeds;
  if (!state.manifest) return speeds;
  for (const auto& [name, service] : state.manifest->services) {
    if (!service.engine) continue;
    const bool differ = service_speeds(state, name).differ ||
                        has_measured_difference(state, name);
    if (!differ) continue;
    for (const std::string& id : state.measured_endpoints) {
      const auto found = state.endpoints.find(id);
      if (found == state.endpoints.end()) continue;
      if (found->second.entry.service != name) continue;
      const EndpointSpeed speed = measured_speed(found->second, state.now);
      if (is_known(speed)) speeds.push_back({id, speed});
    }
  }
  return speeds;
}

}  // namespace peridotreach
