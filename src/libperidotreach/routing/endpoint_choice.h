#pragma once

// Which endpoint takes a request: the one with the least expected burden.

#include <cstdint>
#include <set>
#include <string>

#include "libperidotreach/routing/routing_state.h"

namespace peridotreach {

// No bound on the memory projected in use: the endpoint queues what is over.
inline constexpr double kUnlimitedMemoryShare = 1e9;

// Burden of crossing to another availability zone: ties go to the own one.
inline constexpr double kOtherZoneCost = 0.03;

// What a request needs of an endpoint.
struct EndpointCriteria {
  std::string service;
  // Tokens that it is projected to hold at its peak; 0 for plain calls.
  std::uint64_t projected_tokens = 0;
  // Endpoints that must not be chosen.
  std::set<std::string> excluded_endpoints;
  // The preferred availability zone, and what another one costs.
  std::string zone;
  double other_zone_cost = kOtherZoneCost;
  // Burden of each copy that is on its way to the endpoint.
  double copy_cost = 0;
  // The largest share of an engine's memory that may be projected in use.
  double max_memory_share = kUnlimitedMemoryShare;
  // The same for engines in other availability zones.
  double max_memory_share_other_zone = kUnlimitedMemoryShare;
};

// Returns the id of the best endpoint, empty if none takes new work.
std::string choose_endpoint(const RoutingState& state,
                            const EndpointCriteria& need);

// Returns whether the endpoint takes new work now.
bool accepts_new_requests(const EndpointState& endpoint, Millis now);

// Returns the failure share of an endpoint, decayed to `now`.
double failure_rate_at(const EndpointState& endpoint, Millis now);

// Notes how an answer of an endpoint went.
void record_answer(EndpointState& endpoint, bool failed, Millis now);

// Notes a broken answer or a failed connection, which peers hear of.
void record_transport_failure(EndpointState& endpoint, Millis now);

// Returns the decayed number of recent breaks.
double transport_failures_at(const EndpointState& endpoint, Millis now);

// Returns the shape of the service's engines, null if it is a plain service.
const EngineSpec* find_engine_spec(const RoutingState& state,
                                   const std::string& service);

// Returns whether a request has room kept for it: it is of the first rank, or
// so brief that it holds memory for a moment only.
bool is_prioritized(const PlacementRequirements& room);

// Returns the most that may be projected in use of an engine's memory when a
// request is placed. Room is kept for what is favoured, and for what can still
// be answered in time.
double max_memory_share(const PlacementRequirements& room);

// Notes that an endpoint could not be connected to, which ejects it.
void record_connect_failure(EndpointState& endpoint, Millis now);

}  // namespace peridotreach
