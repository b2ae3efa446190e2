#include "libperidotreach/routing/endpoint_choice.h"

#include <algorithm>
#include <cmath>

#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// Short enough that a faulty endpoint is tried again within a few seconds.
constexpr double kFailureHalfLifeMs = 4.0 * kSecond;

// Weight of the newest answer in the moving average of the failure rate.
constexpr double kNewestAnswerWeight = 0.25;

// Cost of a failing endpoint, in units of its capacity.
constexpr double kFailureCost = 4.0;

// Cost of an endpoint that is still warming up.
constexpr double kWarmUpCost = 0.3;

// Cost of a projected KV cache shortage, per share over the capacity.
constexpr double kMemoryShortageCost = 6.0;

// Cost of each recent transport failure, whichever process saw it. The count is
// limited, so that a faulty endpoint is avoided but still tried.
constexpr double kTransportFailureCost = 0.7;
constexpr double kMaxTransportFailures = 3.0;

constexpr double kTransportFailureHalfLifeMs = 2.0 * kSecond;

// Weight of the batch size relative to the KV cache share of an engine.
constexpr double kBatchWeight = 0.3;

// Pending prefill tokens that cost as much as a full KV cache. Prefilling them
// alongside other work takes an engine about as long as an urgent first-byte
// objective.
constexpr double kPrefillTokensPerFullCache = 10000;

// Cost of an engine that takes twice the typical time, for a generation whose
// output is not short: more than that of a full KV cache, as a prompt that a
// slow engine prefills interrupts its generations for longer than callers
// accept, and as slow generations hold their memory longer.
constexpr double kSlownessCost = 1.5;

// Range of the random cost that spreads the choices of several processes among
// equal endpoints.
constexpr double kMaxRandomCost = 0.02;

// Ejection time after a failed connection; doubles with each further one.
constexpr Millis kInitialEjectionTime = kSecond;
constexpr std::uint32_t kMaxEjectionDoublings = 3;

// Upper limit for the projected share of a fragile engine's KV cache in use:
// requests for which it has no memory wait there, and it lets few wait.
constexpr double kMaxMemoryShareFragile = 0.9;

// Assumed for endpoints that do not report their slots.
constexpr double kDefaultSlots = 8;

// Returns the usage of reservations at an endpoint that the peers' reports may
// not include yet.
EndpointUsage reserved_usage(const RoutingState& state,
                             const std::string& endpoint) {
  EndpointUsage sum;
  for (const PlacementReservation& reservation : state.reservations) {
    if (reservation.endpoint != endpoint) continue;
    sum.running_requests += 1;
    sum.projected_tokens += reservation.projected_tokens;
    sum.pending_prefill_tokens += reservation.prefill_tokens;
    if (reservation.is_move) sum.incoming_copies += 1;
  }
  return sum;
}

double memory_share(const EndpointState& endpoint,
                    const EndpointUsage& reserved, const EngineSpec& engine,
                    std::uint64_t tokens) {
  const double capacity =
      std::max(1.0, static_cast<double>(engine.kv_cache_tokens));
  const auto used = static_cast<double>(endpoint.own_usage.projected_tokens +
                                        endpoint.peer_usage.projected_tokens +
                                        reserved.projected_tokens + tokens);
  return used / capacity;
}

std::uint64_t pending_prefill(const EndpointState& endpoint,
                              const EndpointUsage& reserved) {
  return endpoint.own_usage.pending_prefill_tokens +
         endpoint.peer_usage.pending_prefill_tokens +
         reserved.pending_prefill_tokens;
}

double memory_cost(double share) {
  return share + kMemoryShortageCost * std::max(0.0, share - 1.0);
}

// Returns the cost of the engine's slowness for the request: that of its own
// prefill, and for a generation whose output is not short that of its output.
double slowness_cost(const EndpointCriteria& criteria, double slowness) {
  const double prefill =
      static_cast<double>(criteria.prefill_tokens) / kPrefillTokensPerFullCache;
  const double output =
      has_short_output(criteria.projected_tokens, criteria.prefill_tokens)
          ? 0
          : kSlownessCost;
  return (slowness - 1) * (prefill + output);
}

double endpoint_cost(const RoutingState& state, const EndpointState& endpoint,
                     const EndpointUsage& reserved,
                     const EndpointCriteria& criteria, const EngineSpec* engine,
                     double slowness) {
  const double batch =
      static_cast<double>(endpoint.own_usage.running_requests +
                          endpoint.peer_usage.running_requests +
                          reserved.running_requests + 1) /
      slots_of(endpoint);
  double sum = batch;
  if (engine != nullptr && criteria.projected_tokens > 0) {
    const auto prefill =
        static_cast<double>(pending_prefill(endpoint, reserved));
    sum = kBatchWeight * batch +
          slowness * prefill / kPrefillTokensPerFullCache +
          slowness_cost(criteria, slowness) +
          memory_cost(memory_share(endpoint, reserved, *engine,
                                   criteria.projected_tokens));
  }
  sum += criteria.copy_cost *
         static_cast<double>(endpoint.own_usage.incoming_copies +
                             endpoint.peer_usage.incoming_copies +
                             reserved.incoming_copies);
  sum += kTransportFailureCost *
         std::min(kMaxTransportFailures,
                  transport_failures_at(endpoint, state.now) +
                      endpoint.peer_usage.transport_failures);
  sum += kFailureCost * failure_rate_at(endpoint, state.now);
  const std::string& zone =
      criteria.zone.empty() ? state.config.zone : criteria.zone;
  if (endpoint.entry.zone != zone) sum += criteria.other_zone_cost;
  if (endpoint.cold_phase.entry_until > state.now) sum += kWarmUpCost;
  return sum;
}

bool is_in_scope(const EndpointState& endpoint,
                 const EndpointCriteria& criteria) {
  const bool is_preferred = endpoint.entry.zone == criteria.zone;
  switch (criteria.scope) {
    case ZoneScope::kAll:
      return true;
    case ZoneScope::kPreferred:
      return is_preferred;
    case ZoneScope::kOthers:
      return !is_preferred;
  }
  return true;
}

// Returns whether a request may be sent to the endpoint now as far as its limit
// or its being cold are concerned, or a permit for it may be requested.
bool is_within_limit(const ServiceSpec* service, const EndpointState& endpoint,
                     const EndpointCriteria& criteria, Millis now) {
  if (!needs_permit(service, endpoint, now)) return true;
  if (has_permit(endpoint.permits, now)) return true;
  return !criteria.needs_permit_now && endpoint.permits.denied_until <= now;
}

// Returns whether the endpoint serves the criteria's service and accepts new
// requests, whatever its load and limit.
bool is_candidate(const EndpointState& endpoint,
                  const EndpointCriteria& criteria, Millis now) {
  return endpoint.entry.service == criteria.service &&
         !criteria.excluded_endpoints.contains(endpoint.entry.id) &&
         accepts_new_requests(endpoint, now) && is_in_scope(endpoint, criteria);
}

// Returns a number from 0 to 1 that depends on the endpoint and `draw`.
double random_fraction(const std::string& id, std::uint64_t draw) {
  const std::uint64_t mixed =
      (std::hash<std::string>{}(id) ^ draw) * 0x9E3779B97F4A7C15ULL;
  return static_cast<double>(mixed >> 11U) / static_cast<double>(1ULL << 53U);
}

// Returns whether a fragile engine runs a request of the criteria without
// letting it wait for a slot or memory.
bool runs_at_once(const EndpointState& endpoint, const EndpointUsage& reserved,
                  const EngineSpec& engine, std::uint64_t tokens) {
  const std::uint32_t running = endpoint.own_usage.running_requests +
                                endpoint.peer_usage.running_requests +
                                reserved.running_requests;
  return running + 1 <= slots_of(endpoint) &&
         memory_share(endpoint, reserved, engine, tokens) <=
             kMaxMemoryShareFragile;
}

}  // namespace

double slots_of(const EndpointState& endpoint) {
  return endpoint.entry.slots == 0 ? kDefaultSlots : endpoint.entry.slots;
}

bool is_fragile(const ServiceSpec* service, const EndpointState& endpoint) {
  const bool has_engines = service != nullptr && service->engine;
  return endpoint.limit.rejection_limit && !has_engines;
}

bool needs_permit(const ServiceSpec* service, const EndpointState& endpoint,
                  Millis now) {
  return endpoint.limit.requests_per_second || is_fragile(service, endpoint) ||
         cold_rate(service, endpoint, now).has_value();
}

bool accepts_new_requests(const EndpointState& endpoint, Millis now) {
  return endpoint.listed && endpoint.leaving_since == 0 &&
         endpoint.zone_closed_since == 0 && endpoint.ejected_until <= now &&
         endpoint.declined_until <= now;
}

bool may_continue_generations(const EndpointState& endpoint, Millis now) {
  return endpoint.zone_closed_since == 0 ||
         now - endpoint.zone_closed_since < kClosedZoneGrace;
}

std::string choose_endpoint(const RoutingState& state,
                            const EndpointCriteria& criteria) {
  const ServiceSpec* service = find_service(state, criteria.service);
  const EngineSpec* engine = find_engine_spec(state, criteria.service);
  const bool is_generation = engine != nullptr && criteria.projected_tokens > 0;
  const ServiceSpeeds speeds =
      is_generation ? service_speeds(state, criteria.service) : ServiceSpeeds();
  std::string best;
  double lowest_cost = 0;
  for (const auto& [id, endpoint] : state.endpoints) {
    if (!is_candidate(endpoint, criteria, state.now)) continue;
    if (!is_within_limit(service, endpoint, criteria, state.now)) continue;
    const EndpointUsage reserved = reserved_usage(state, id);
    const bool in_other_zone =
        !criteria.zone.empty() && endpoint.entry.zone != criteria.zone;
    const double max_share =
        in_other_zone ? std::min(criteria.max_memory_share,
                                 criteria.max_memory_share_other_zone)
                      : criteria.max_memory_share;
    if (engine != nullptr &&
        memory_share(endpoint, reserved, *engine, criteria.projected_tokens) >
            max_share) {
      continue;
    }
    if (engine != nullptr && endpoint.limit.rejection_limit &&
        !runs_at_once(endpoint, reserved, *engine, criteria.projected_tokens)) {
      continue;
    }
    const std::uint64_t pending = pending_prefill(endpoint, reserved);
    if (engine != nullptr &&
        pending + criteria.prefill_tokens > criteria.max_prefill_tokens &&
        pending > 0) {
      continue;
    }
    if (criteria.follows_pace &&
        !allows_prompt(endpoint.pace, pending, criteria.prefill_tokens)) {
      continue;
    }
    const double cost =
        endpoint_cost(state, endpoint, reserved, criteria, engine,
                      slowness(speeds, endpoint.latest_speed)) +
        kMaxRandomCost * random_fraction(id, state.random);
    if (!best.empty() && cost >= lowest_cost) continue;
    best = id;
    lowest_cost = cost;
  }
  return best;
}

std::optional<Millis> next_permit_at(const RoutingState& state,
                                     const EndpointCriteria& criteria) {
  const ServiceSpec* service = find_service(state, criteria.service);
  std::optional<Millis> earliest;
  for (const auto& [id, endpoint] : state.endpoints) {
    if (!needs_permit(service, endpoint, state.now)) continue;
    if (!is_candidate(endpoint, criteria, state.now)) continue;
    const Millis at = std::max(state.now, endpoint.permits.denied_until);
    if (!earliest || at < *earliest) earliest = at;
  }
  return earliest;
}

std::optional<Millis> next_acceptance_at(const RoutingState& state,
                                         const EndpointCriteria& criteria) {
  std::optional<Millis> earliest;
  for (const auto& [id, endpoint] : state.endpoints) {
    if (endpoint.declined_until <= state.now) continue;
    if (endpoint.entry.service != criteria.service) continue;
    if (!endpoint.listed || endpoint.leaving_since != 0) continue;
    if (endpoint.zone_closed_since != 0) continue;
    if (!earliest || endpoint.declined_until < *earliest)
      earliest = endpoint.declined_until;
  }
  return earliest;
}

std::vector<std::string> avoided_endpoints(const RoutingState& state,
                                           const std::string& service) {
  std::vector<std::string> avoided;
  for (const auto& [id, endpoint] : state.endpoints) {
    if (endpoint.entry.service != service) continue;
    if (std::max(endpoint.ejected_until, endpoint.declined_until) > state.now)
      avoided.push_back(id);
  }
  return avoided;
}

double failure_rate_at(const EndpointState& endpoint, Millis now) {
  const auto age = static_cast<double>(
      std::max<Millis>(0, now - endpoint.failure_rate_updated_at));
  return endpoint.failure_rate * std::exp2(-age / kFailureHalfLifeMs);
}

void record_answer(EndpointState& endpoint, bool failed, Millis now) {
  const double previous = failure_rate_at(endpoint, now);
  endpoint.failure_rate =
      previous + kNewestAnswerWeight * ((failed ? 1.0 : 0.0) - previous);
  endpoint.failure_rate_updated_at = now;
  endpoint.consecutive_connect_failures = 0;
}

void record_transport_failure(EndpointState& endpoint, Millis now) {
  endpoint.own_usage.transport_failures =
      transport_failures_at(endpoint, now) + 1;
  endpoint.transport_failures_updated_at = now;
  suspect_cold(endpoint.cold_phase, now);
}

double transport_failures_at(const EndpointState& endpoint, Millis now) {
  const auto age = static_cast<double>(
      std::max<Millis>(0, now - endpoint.transport_failures_updated_at));
  return endpoint.own_usage.transport_failures *
         std::exp2(-age / kTransportFailureHalfLifeMs);
}

const ServiceSpec* find_service(const RoutingState& state,
                                const std::string& service) {
  if (!state.manifest) return nullptr;
  const auto found = state.manifest->services.find(service);
  return found == state.manifest->services.end() ? nullptr : &found->second;
}

const EngineSpec* find_engine_spec(const RoutingState& state,
                                   const std::string& service) {
  const ServiceSpec* found = find_service(state, service);
  return found != nullptr && found->engine ? &*found->engine : nullptr;
}

bool has_short_output(std::uint64_t projected_tokens,
                      std::uint64_t prefill_tokens) {
  // Generating a twentieth of the prompt takes about as long as prefilling it.
  constexpr std::uint64_t kPromptPerShortOutput = 20;
  return projected_tokens <
         prefill_tokens + prefill_tokens / kPromptPerShortOutput;
}

bool is_prioritized(const PlacementRequirements& requirements) {
  return requirements.rank == 0 ||
         has_short_output(requirements.projected_tokens,
                          requirements.prefill_tokens);
}

std::uint64_t max_prefill_tokens(const RoutingState& state,
                                 const PlacementRequirements& requirements) {
  // Parts of the objective that prompts ahead may take. The rest is for the
  // prompt of a prioritized request that comes next.
  constexpr double kObjectiveShare = 0.67;
  constexpr double kObjectiveShareLate = 0.43;
  if (requirements.is_move || is_prioritized(requirements))
    return kUnlimitedPrefillTokens;
  return prefill_tokens_within(
      state, requirements.is_late ? kObjectiveShareLate : kObjectiveShare);
}

std::uint64_t prefill_tokens_within(const RoutingState& state,
                                    double objective_share) {
  if (state.shortest_stream_slo == 0) return kUnlimitedPrefillTokens;
  return static_cast<std::uint64_t>(
      kPrefillTokensPerMs * objective_share *
      static_cast<double>(state.shortest_stream_slo));
}

double max_memory_share(const PlacementRequirements& requirements) {
  constexpr double kMaxShareForMoves = 1.1;
  constexpr double kMaxShareForPrioritized = 1.05;
  constexpr double kMaxShare = 0.97;
  constexpr double kLateRequestFactor = 0.87;
  if (requirements.is_move) return kMaxShareForMoves;
  const double max_share =
      is_prioritized(requirements) ? kMaxShareForPrioritized : kMaxShare;
  return requirements.is_late ? kLateRequestFactor * max_share : max_share;
}

void record_connect_failure(EndpointState& endpoint, Millis now) {
  record_transport_failure(endpoint, now);
  const std::uint32_t doublings =
      std::min(endpoint.consecutive_connect_failures, kMaxEjectionDoublings);
  endpoint.ejected_until = now + (kInitialEjectionTime << doublings);
  endpoint.consecutive_connect_failures += 1;
}

}  // namespace peridotreach
