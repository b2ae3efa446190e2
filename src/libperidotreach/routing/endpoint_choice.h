#pragma once

// Selects the endpoint with the lowest expected cost for a request.

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libperidotreach/routing/routing_state.h"

namespace peridotreach {

// No limit on the projected memory share; the endpoint queues the excess.
inline constexpr double kUnlimitedMemoryShare = 1e9;

// Prompt tokens that an engine prefills in a millisecond while it decodes for
// other requests: half of what the engines of the users' platform prefill
// alone.
inline constexpr double kPrefillTokensPerMs = 7;

// No limit on the prompt tokens that an engine has yet to prefill.
inline constexpr std::uint64_t kUnlimitedPrefillTokens =
    std::numeric_limits<std::uint64_t>::max();

// Cost of crossing to another availability zone, which breaks ties in favour of
// the local one.
inline constexpr double kOtherZoneCost = 0.03;

// The availability zones whose endpoints may be chosen, by the preferred one.
enum class ZoneScope { kAll, kPreferred, kOthers };

// Selection criteria for an endpoint.
struct EndpointCriteria {
  std::string service;
  // Projected peak number of tokens that the request holds in the KV cache; 0
  // for plain calls.
  std::uint64_t projected_tokens = 0;
  // Endpoints that must not be chosen.
  std::set<std::string> excluded_endpoints;
  // The preferred availability zone, and the cost of any other one.
  std::string zone;
  double other_zone_cost = kOtherZoneCost;
  ZoneScope scope = ZoneScope::kAll;
  // Cost of each copy in flight to the endpoint.
  double copy_cost = 0;
  // Upper limit for the projected share of an engine's KV cache in use.
  double max_memory_share = kUnlimitedMemoryShare;
  // The same limit for engines in other availability zones.
  double max_memory_share_other_zone = kUnlimitedMemoryShare;
  // Prompt tokens of the request, and the upper limit for the prompt tokens
  // that an engine has to prefill with it.
  std::uint64_t prefill_tokens = 0;
  std::uint64_t max_prefill_tokens = kUnlimitedPrefillTokens;
  // Engines that have just started are left out while their window is full.
  bool follows_pace = false;
  // Limited endpoints for which no permit is at hand are left out, even if one
  // may be obtained.
  bool needs_permit_now = false;
};

// Returns the id of the endpoint with the lowest cost, empty if none accepts
// new requests.
std::string choose_endpoint(const RoutingState& state,
                            const EndpointCriteria& criteria);

// Returns when a permit may next be obtained for an endpoint that meets the
// criteria but for its limit; none if there is no such endpoint.
std::optional<Millis> next_permit_at(const RoutingState& state,
                                     const EndpointCriteria& criteria);

// Returns when the next of the endpoints that want no requests for a while
// accepts them again; none if there is no such endpoint.
std::optional<Millis> next_acceptance_at(const RoutingState& state,
                                         const EndpointCriteria& criteria);

// Returns the endpoints of a service that this process sends no requests to for
// a while, as they are ejected or want none. Other processes do not know that.
std::vector<std::string> avoided_endpoints(const RoutingState& state,
                                           const std::string& service);

// Returns how many requests the endpoint runs at once.
double slots_of(const EndpointState& endpoint);

// Returns whether the rate of calls to the endpoint is bounded so that it has
// none to reject. Requests for engines are placed by their memory instead.
// `service` is its service, null if that is not configured.
bool is_fragile(const ServiceSpec* service, const EndpointState& endpoint);

// Returns whether requests to the endpoint need permits: it has a limit, is
// fragile or may be cold.
bool needs_permit(const ServiceSpec* service, const EndpointState& endpoint,
                  Millis now);

// Returns whether the endpoint is listed, not leaving, in an open availability
// zone, not ejected, and has not asked for a pause.
bool accepts_new_requests(const EndpointState& endpoint, Millis now);

// Returns whether a generation that runs already may be sent to the endpoint. A
// generation that was stopped for a move is not lost for a closing of its zone
// that has just become known.
bool may_continue_generations(const EndpointState& endpoint, Millis now);

// Returns the failure rate of an endpoint, decayed to `now`.
double failure_rate_at(const EndpointState& endpoint, Millis now);

// Updates the failure rate with the outcome of an answer.
void record_answer(EndpointState& endpoint, bool failed, Millis now);

// Records a broken answer or a failed connection, which is reported to peers.
void record_transport_failure(EndpointState& endpoint, Millis now);

// Returns the number of recent transport failures, decayed to `now`.
double transport_failures_at(const EndpointState& endpoint, Millis now);

// Returns the configuration of the service, null if it has none.
const ServiceSpec* find_service(const RoutingState& state,
                                const std::string& service);

// Returns the engine specification of the service, null if it is a plain
// service.
const EngineSpec* find_engine_spec(const RoutingState& state,
                                   const std::string& service);

// Returns whether a generation's output is short beside its prompt, so that it
// holds memory only briefly.
bool has_short_output(std::uint64_t projected_tokens,
                      std::uint64_t prefill_tokens);

// Returns whether capacity is reserved for a request: it has the most urgent
// rank, or is so short that it holds memory only briefly.
bool is_prioritized(const PlacementRequirements& requirements);

// Returns the limit for the projected share of an engine's KV cache in use when
// a request is placed. The limit leaves capacity for prioritized requests, and
// for requests that can still meet their first-byte objective.
double max_memory_share(const PlacementRequirements& requirements);

// Returns the limit for the prompt tokens that an engine has to prefill when a
// request is placed. An engine prefills one prompt after another, so that each
// delays the first event of the next; a request that is not prioritized waits
// where it does not delay others.
std::uint64_t max_prefill_tokens(const RoutingState& state,
                                 const PlacementRequirements& requirements);

// Returns the prompt tokens that an engine prefills within this share of the
// shortest first-byte objective of the manifest's stream routes.
std::uint64_t prefill_tokens_within(const RoutingState& state,
                                    double objective_share);

// Records a failed connection and ejects the endpoint for a while.
void record_connect_failure(EndpointState& endpoint, Millis now);

}  // namespace peridotreach
