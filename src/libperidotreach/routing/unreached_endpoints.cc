// Failed connections to endpoints: whether the endpoints fail, or this process
// has lost the path to all of them (endpoint_path.h).

#include <algorithm>
#include <vector>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// Endpoints that a probe of the path connects to: some may have failed.
constexpr std::size_t kEndpointsToProbe = 3;

std::vector<const EndpointState*> listed_endpoints(const RoutingState& state) {
  std::vector<const EndpointState*> listed;
  for (const auto& [id, endpoint] : state.endpoints) {
    if (endpoint.listed) listed.push_back(&endpoint);
  }
  return listed;
}

// Takes back what was concluded from failed connections to the endpoints.
void clear_connect_failures(const RoutingContext& context) {
  for (const std::string& id : context.state.endpoint_path.unreached) {
    EndpointState* endpoint = find_endpoint(context, id);
    if (endpoint == nullptr) continue;
    endpoint->ejected_until = 0;
    endpoint->consecutive_connect_failures = 0;
    endpoint->own_usage.transport_failures = 0;
  }
}

}  // namespace

bool sends_through_peers(const RoutingState& state) {
  return state.endpoint_path.lost_since != 0 && process_count(state) > 1;
}

bool may_path_have_ended(const RoutingState& state,
                         const RequestState& request) {
  return !request.through_peer &&
         was_lost_since(state.endpoint_path, request.attempt_started_at);
}

void eject_unreachable(const RoutingContext& context, const std::string& id) {
  EndpointState* endpoint = find_endpoint(context, id);
  if (endpoint == nullptr) return;
  const bool was_cold = cold_rate(context.state, *endpoint).has_value();
  record_connect_failure(*endpoint, context.state.now);
  record_if_cold(context, *endpoint, was_cold, "connection failed");
  record_decision(context, "endpoint_ejected", 0,
                  {{"endpoint", id},
                   {"cause", "connection failed"},
                   {"until_ms", std::to_string(endpoint->ejected_until)}});
}

void on_endpoint_unreachable(const RoutingContext& context,
                             const std::string& id) {
  RoutingState& state = context.state;
  EndpointPath& path = state.endpoint_path;
  const std::size_t listed = listed_endpoints(state).size();
  if (observe_unreached(path, id, listed, state.now)) {
    clear_connect_failures(context);
    record_decision(context, "endpoint_path_lost", 0,
                    {{"unreached", std::to_string(path.unreached.size())},
                     {"endpoints", std::to_string(listed)},
                     {"processes", std::to_string(process_count(state))}});
  }
  if (!sends_through_peers(state)) eject_unreachable(context, id);
}

void on_connected(const RoutingContext& context, Millis connected_at) {
  RoutingState& state = context.state;
  const Millis lost_since = state.endpoint_path.lost_since;
  if (!observe_connected(state.endpoint_path, connected_at, state.now)) return;
  record_decision(context, "endpoint_path_regained", 0,
                  {{"lost_ms", std::to_string(state.now - lost_since)}});
}

void probe_endpoint_path(const RoutingContext& context) {
  RoutingState& state = context.state;
  if (!take_due_probe(state.endpoint_path, state.now)) return;
  std::vector<const EndpointState*> listed = listed_endpoints(state);
  // Those that failed may have failed themselves.
  std::erase_if(listed, [&](const EndpointState* endpoint) {
    return state.endpoint_path.unreached.contains(endpoint->entry.id);
  });
  if (listed.empty()) listed = listed_endpoints(state);
  const std::size_t probes = std::min(kEndpointsToProbe, listed.size());
  for (std::size_t i = 0; i < probes; ++i) {
    const EndpointEntry& entry =
        listed[(state.random + i) % listed.size()]->entry;
    context.effects.push_back(ProbeEndpointPath{entry.address, entry.port});
  }
}

}  // namespace peridotreach
