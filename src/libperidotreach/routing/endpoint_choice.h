#pragma once

// Which endpoint takes a request: the one with the least expected burden.

#include <cstdint>
#include <set>
#include <string>

#include "libperidotreach/routing/routing_state.h"

namespace peridotreach {

// No bound on the memory projected in use: the endpoint queues what is over.
inline constexpr double kAnyMemory = 1e9;

// Burden of crossing to another availability zone: ties go to the own one.
inline constexpr double kOtherZoneBurden = 0.03;

// What a request needs of an endpoint.
struct EndpointNeed {
  std::string service;
  // Tokens that it is projected to hold at its peak; 0 for plain calls.
  std::uint64_t tokens = 0;
  // Endpoints that must not be chosen.
  std::set<std::string> except;
  // The preferred availability zone, and what another one costs.
  std::string zone;
  double other_zone_burden = kOtherZoneBurden;
  // Burden of each copy that is on its way to the endpoint.
  double copy_burden = 0;
  // The largest share of an engine's memory that may be projected in use.
  double most_memory = kAnyMemory;
  // The same for engines in other availability zones.
  double most_memory_elsewhere = kAnyMemory;
};

// Returns the id of the best endpoint, empty if none takes new work.
std::string choose_endpoint(const RoutingState& state,
                            const EndpointNeed& need);

// Returns whether the endpoint takes new work now.
bool takes_new_work(const EndpointState& endpoint, Millis now);

// Returns the failure share of an endpoint, decayed to `now`.
double failure_share_at(const EndpointState& endpoint, Millis now);

// Notes how an answer of an endpoint went.
void note_answer(EndpointState& endpoint, bool failed, Millis now);

// Notes a broken answer or a failed connection, which peers hear of.
void note_break(EndpointState& endpoint, Millis now);

// Returns the decayed number of recent breaks.
double breaks_at(const EndpointState& endpoint, Millis now);

// Returns the shape of the service's engines, null if it is a plain service.
const EngineShape* engine_of(const RoutingState& state,
                             const std::string& service);

// Returns whether a request has room kept for it: it is of the first rank, or
// so brief that it holds memory for a moment only.
bool is_favoured(const RoomNeed& room);

// Returns the most that may be projected in use of an engine's memory when a
// request is placed. Room is kept for what is favoured, and for what can still
// be answered in time.
double most_memory(const RoomNeed& room);

// Notes that an endpoint could not be connected to, which ejects it.
void note_unreachable(EndpointState& endpoint, Millis now);

}  // namespace peridotreach
