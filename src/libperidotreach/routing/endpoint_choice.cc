#include "libperidotreach/routing/endpoint_choice.h"

#include <algorithm>
#include <cmath>

namespace peridotreach {
namespace {

// Time in which a remembered failure loses half of its weight; a faulty
// endpoint is tried again within a few seconds.
constexpr double kFailureHalfLife = 4.0 * kSecond;

// Weight of the newest answer in the failure share.
constexpr double kNewestAnswer = 0.25;

// Burden of a failing endpoint, in shares of its capacity.
constexpr double kFailureBurden = 4.0;

// Burden of an endpoint that still warms up.
constexpr double kWarmUpBurden = 0.3;

// Burden of memory that is projected to run out, for each share over it.
constexpr double kOverfullBurden = 6.0;

// Burden of each recent break, whoever saw it, up to a bound: a faulty
// endpoint is avoided but not forgotten.
constexpr double kBreakBurden = 0.7;
constexpr double kMostBreaks = 3.0;

// Time in which a break loses half of its weight.
constexpr double kBreakHalfLife = 2.0 * kSecond;

// Weight of the batch beside the memory of an engine.
constexpr double kBatchBurden = 0.3;

// Unread prompt tokens that weigh as much as a full memory: reading them takes
// an engine between other work about as long as an urgent objective.
constexpr double kUnreadTokens = 10000;

// Range of the random part that spreads equal choices of several processes.
constexpr double kSpread = 0.02;

// Ejection after a failed connection, doubled with each further one.
constexpr Millis kFirstEjection = kSecond;
constexpr std::uint32_t kMostEjectionDoublings = 3;

// Slots assumed where an endpoint does not say.
constexpr double kDefaultSlots = 8;

double slots_of(const EndpointState& endpoint) {
  return endpoint.entry.slots == 0 ? kDefaultSlots : endpoint.entry.slots;
}

// Returns what has been granted to others at an endpoint and may not show yet.
EndpointUsage granted_at(const RoutingState& state,
                         const std::string& endpoint) {
  EndpointUsage sum;
  for (const PlacementReservation& room : state.reservations) {
    if (room.endpoint != endpoint) continue;
    sum.running_requests += 1;
    sum.projected_tokens += room.projected_tokens;
    sum.pending_prefill_tokens += room.prefill_tokens;
  }
  return sum;
}

double memory_share(const EndpointState& endpoint, const EndpointUsage& granted,
                    const EngineSpec& engine, std::uint64_t tokens) {
  const double capacity =
      std::max(1.0, static_cast<double>(engine.kv_cache_tokens));
  const auto held = static_cast<double>(endpoint.own_usage.projected_tokens +
                                        endpoint.peer_usage.projected_tokens +
                                        granted.projected_tokens + tokens);
  return held / capacity;
}

double memory_burden(double share) {
  return share + kOverfullBurden * std::max(0.0, share - 1.0);
}

double burden(const RoutingState& state, const EndpointState& endpoint,
              const EndpointUsage& granted, const EndpointCriteria& need,
              const EngineSpec* engine) {
  const double batch =
      static_cast<double>(endpoint.own_usage.running_requests +
                          endpoint.peer_usage.running_requests +
                          granted.running_requests + 1) /
      slots_of(endpoint);
  double sum = batch;
  if (engine != nullptr && need.projected_tokens > 0) {
    const auto unread =
        static_cast<double>(endpoint.own_usage.pending_prefill_tokens +
                            endpoint.peer_usage.pending_prefill_tokens +
                            granted.pending_prefill_tokens);
    sum = kBatchBurden * batch + unread / kUnreadTokens +
          memory_burden(
              memory_share(endpoint, granted, *engine, need.projected_tokens));
  }
  sum +=
      need.copy_cost * static_cast<double>(endpoint.own_usage.incoming_copies +
                                           endpoint.peer_usage.incoming_copies);
  sum += kBreakBurden *
         std::min(kMostBreaks, transport_failures_at(endpoint, state.now) +
                                   endpoint.peer_usage.transport_failures);
  sum += kFailureBurden * failure_rate_at(endpoint, state.now);
  const std::string& zone = need.zone.empty() ? state.config.zone : need.zone;
  if (endpoint.entry.zone != zone) sum += need.other_zone_cost;
  if (endpoint.warm_up_until > state.now) sum += kWarmUpBurden;
  return sum;
}

// Returns a number from 0 to 1 that differs by endpoint and draw.
double spread(const std::string& id, std::uint64_t draw) {
  const std::uint64_t mixed =
      (std::hash<std::string>{}(id) ^ draw) * 0x9E3779B97F4A7C15ULL;
  return static_cast<double>(mixed >> 11U) / static_cast<double>(1ULL << 53U);
}

}  // namespace

bool accepts_new_requests(const EndpointState& endpoint, Millis now) {
  return endpoint.listed && endpoint.leaving_since == 0 &&
         endpoint.ejected_until <= now;
}

std::string choose_endpoint(const RoutingState& state,
                            const EndpointCriteria& need) {
  const EngineSpec* engine = find_engine_spec(state, need.service);
  std::string best;
  double least = 0;
  for (const auto& [id, endpoint] : state.endpoints) {
    if (endpoint.entry.service != need.service) continue;
    if (need.excluded_endpoints.contains(id)) continue;
    if (!accepts_new_requests(endpoint, state.now)) continue;
    const EndpointUsage granted = granted_at(state, id);
    const bool elsewhere =
        !need.zone.empty() && endpoint.entry.zone != need.zone;
    const double most = elsewhere ? std::min(need.max_memory_share,
                                             need.max_memory_share_other_zone)
                                  : need.max_memory_share;
    if (engine != nullptr && memory_share(endpoint, granted, *engine,
                                          need.projected_tokens) > most) {
      continue;
    }
    const double cost = burden(state, endpoint, granted, need, engine) +
                        kSpread * spread(id, state.random);
    if (!best.empty() && cost >= least) continue;
    best = id;
    least = cost;
  }
  return best;
}

double failure_rate_at(const EndpointState& endpoint, Millis now) {
  const auto age = static_cast<double>(
      std::max<Millis>(0, now - endpoint.failure_rate_updated_at));
  return endpoint.failure_rate * std::exp2(-age / kFailureHalfLife);
}

void record_answer(EndpointState& endpoint, bool failed, Millis now) {
  const double before = failure_rate_at(endpoint, now);
  endpoint.failure_rate =
      before + kNewestAnswer * ((failed ? 1.0 : 0.0) - before);
  endpoint.failure_rate_updated_at = now;
  endpoint.consecutive_connect_failures = 0;
}

void record_transport_failure(EndpointState& endpoint, Millis now) {
  endpoint.own_usage.transport_failures =
      transport_failures_at(endpoint, now) + 1;
  endpoint.transport_failures_updated_at = now;
}

double transport_failures_at(const EndpointState& endpoint, Millis now) {
  const auto age = static_cast<double>(
      std::max<Millis>(0, now - endpoint.transport_failures_updated_at));
  return endpoint.own_usage.transport_failures *
         std::exp2(-age / kBreakHalfLife);
}

const EngineSpec* find_engine_spec(const RoutingState& state,
                                   const std::string& service) {
  if (!state.manifest) return nullptr;
  const auto found = state.manifest->services.find(service);
  const bool has_engine = found != state.manifest->services.end() &&
                          found->second.engine.has_value();
  return has_engine ? &*found->second.engine : nullptr;
}

bool is_prioritized(const PlacementRequirements& room) {
  // Output for which a brief request holds its memory, beside its prompt: a
  // twentieth is written in about the time that reading the prompt takes.
  constexpr std::uint64_t kBriefPart = 20;
  if (room.rank == 0) return true;
  return room.projected_tokens <
         room.prefill_tokens + room.prefill_tokens / kBriefPart;
}

double max_memory_share(const PlacementRequirements& room) {
  constexpr double kMostMemoryMoved = 1.1;
  constexpr double kMostMemoryFavoured = 1.05;
  constexpr double kMostMemory = 0.97;
  constexpr double kLateShare = 0.87;
  if (room.is_move) return kMostMemoryMoved;
  const double most = is_prioritized(room) ? kMostMemoryFavoured : kMostMemory;
  return room.is_late ? kLateShare * most : most;
}

void record_connect_failure(EndpointState& endpoint, Millis now) {
  record_transport_failure(endpoint, now);
  const std::uint32_t doublings =
      std::min(endpoint.consecutive_connect_failures, kMostEjectionDoublings);
  endpoint.ejected_until = now + (kFirstEjection << doublings);
  endpoint.consecutive_connect_failures += 1;
}

}  // namespace peridotreach
