#include "libperidotreach/placement.h"

#include <algorithm>
#include <limits>

namespace peridotreach {
namespace {

// Age at which a memory projection is computed anew.
constexpr Millis kProjectionLife = 400;

// Share of the step target that placement plans for; the rest absorbs error.
constexpr double kStepMargin = 0.92;

// Part of a rank's share of memory from which an endpoint gets no new work of
// it. Less urgent ranks stop earlier, so that they cannot shut urgent work out.
constexpr double kFullMemory = 0.92;

// Part of the memory margin that the most urgent rank keeps: it takes more
// risk of preemption, of less urgent work first, to start at once.
constexpr double kUrgentMargin = 0.5;

// Prompt tokens that prefill handles in a millisecond.
constexpr double kPrefillRate = 20;

// Tokens covered by each prefix hash.
constexpr double kPrefixTokens = 64;

// Part of an endpoint's slots taken by one request on probation.
constexpr double kProbeBatch = 1;

double estimated_produced(const CellEndpoint& endpoint,
                          const RunningRequest& request, Millis now) {
  if (!request.started) return request.produced_tokens;
  const double step = std::max(5.0, endpoint.load.step_ms);
  const auto elapsed = static_cast<double>(now - request.last_progress_at);
  return request.produced_tokens + elapsed / step;
}

// Memory of work that this dispatcher did not grant.
double foreign_memory(const CellEndpoint& endpoint) {
  return std::max(0.0, endpoint.load.kv_used - endpoint.projection.mean.at(0));
}

bool fits_memory(const CellState& cell, const CellEndpoint& endpoint,
                 const QueuedRequest& item, const PlacementLimits& limits) {
  const double capacity = endpoint.load.kv_capacity;
  if (capacity <= 0) return true;
  const double usable = limits.memory_share * capacity;
  if (endpoint.load.kv_used > kFullMemory * usable) return false;
  MemoryProjection projection = endpoint.projection;
  const SurvivalCurve curve =
      survival_curve(cell.length_model, item.rank, item.caller);
  add_generation(projection, curve, item.prompt_tokens, 0);
  const double margin = cell.memory_margin * limits.margin_share;
  return projected_peak(projection, margin) + foreign_memory(endpoint) <=
         usable;
}

bool fits_batch(const CellState& cell, const CellEndpoint& endpoint,
                const PlacementLimits& limits) {
  const double batch = estimated_batch(cell, endpoint);
  if (batch < 1) return true;
  const double limit = slot_limit(endpoint, limits.step_target_ms);
  return batch + 1 <= std::max(1.0, limit * limits.slot_share);
}

double cached_tokens(const CellEndpoint& endpoint, const QueuedRequest& item) {
  double tokens = 0;
  for (const std::uint64_t prefix : item.prefix_hashes) {
    if (!endpoint.cached_prefixes.contains(prefix)) break;
    tokens += kPrefixTokens;
  }
  return std::min<double>(tokens, item.prompt_tokens) *
         endpoint.cache_confidence;
}

double expected_delay_ms(const CellState& cell, const CellEndpoint& endpoint,
                         const QueuedRequest& item) {
  const double batch = estimated_batch(cell, endpoint);
  const double step = predicted_step_ms(endpoint.step_time_model, batch + 1);
  const double prefill = item.prompt_tokens - cached_tokens(endpoint, item);
  const double capacity = std::max(1.0, endpoint.load.kv_capacity);
  const double occupancy = endpoint.projection.mean.at(0) / capacity;
  constexpr double kOccupancyWeightMs = 10;
  return step + prefill / kPrefillRate + kOccupancyWeightMs * occupancy;
}

bool is_excluded(const QueuedRequest& item, const std::string& endpoint) {
  const auto& excluded = item.excluded_endpoints;
  return std::find(excluded.begin(), excluded.end(), endpoint) !=
         excluded.end();
}

bool runs_model(const CellEndpoint& endpoint, const std::string& model) {
  const auto& models = endpoint.load.models;
  return std::find(models.begin(), models.end(), model) != models.end();
}

}  // namespace

PlacementLimits placement_limits(const FleetConfig& config,
                                 const RankPolicy& rank) {
  PlacementLimits limits;
  limits.step_target_ms = std::numeric_limits<double>::max();
  double reserved = 0;
  for (const RankPolicy& other : config.ranks) {
    limits.step_target_ms = std::min<double>(
        limits.step_target_ms, static_cast<double>(other.token_gap_target));
    if (other.order < rank.order) reserved += other.headroom;
  }
  limits.slot_share = std::max(0.1, 1 - reserved);
  limits.memory_share = limits.slot_share;
  const bool most_urgent =
      std::none_of(config.ranks.begin(), config.ranks.end(),
                   [&](const auto& other) { return other.order < rank.order; });
  if (most_urgent) limits.margin_share = kUrgentMargin;
  return limits;
}

double estimated_batch(const CellState& cell, const CellEndpoint& endpoint) {
  const Millis reported_for = endpoint.load_received_at - endpoint.load.age;
  double since = 0;
  for (const RequestKey& key : endpoint.running) {
    const auto found = cell.running.find(key);
    if (found == cell.running.end()) continue;
    if (found->second.granted_at > reported_for) since += 1;
  }
  const auto own = static_cast<double>(endpoint.running.size());
  const double foreign =
      std::max(0.0, endpoint.load.running + endpoint.load.waiting - own);
  // Work that this dispatcher saw finish after the report's time is in the
  // report still; half of the excess is taken for that.
  constexpr double kForeignTrust = 0.5;
  return std::max(own, own + kForeignTrust * (foreign - since));
}

double slot_limit(const CellEndpoint& endpoint, double step_target_ms) {
  return batch_limit(endpoint.step_time_model, kStepMargin * step_target_ms);
}

bool is_eligible(const CellEndpoint& endpoint, const QueuedRequest& item,
                 Millis now) {
  if (endpoint.info.leaving || endpoint.load.leaving) return false;
  if (!runs_model(endpoint, item.model)) return false;
  if (is_excluded(item, endpoint.info.id)) return false;
  return availability(endpoint.health, now) != Availability::kUnavailable;
}

void refresh_projection(const CellState& cell, CellEndpoint& endpoint,
                        Millis now) {
  const bool fresh = endpoint.projected_at >= 0 &&
                     now - endpoint.projected_at < kProjectionLife;
  if (fresh) return;
  endpoint.projection = {};
  endpoint.projected_at = now;
  for (const RequestKey& key : endpoint.running) {
    const auto found = cell.running.find(key);
    if (found == cell.running.end()) continue;
    const RunningRequest& request = found->second;
    const double produced = estimated_produced(endpoint, request, now);
    add_generation(endpoint.projection, request.curve,
                   request.item.prompt_tokens + produced, produced);
  }
}

PlacementChoice place(CellState& cell, const QueuedRequest& item,
                      const PlacementLimits& limits, Millis now) {
  PlacementChoice choice;
  double best = std::numeric_limits<double>::max();
  for (auto& [id, endpoint] : cell.endpoints) {
    if (!is_eligible(endpoint, item, now)) continue;
    const bool probe =
        availability(endpoint.health, now) == Availability::kProbeOnly;
    if (probe && estimated_batch(cell, endpoint) > kProbeBatch) continue;
    if (!fits_batch(cell, endpoint, limits)) continue;
    refresh_projection(cell, endpoint, now);
    if (!fits_memory(cell, endpoint, item, limits)) continue;
    const double delay = expected_delay_ms(cell, endpoint, item);
    if (delay >= best) continue;
    best = delay;
    choice.endpoint = id;
    choice.reason = GrantReason::kRankOrder;
    if (cached_tokens(endpoint, item) > 0) {
      choice.reason = GrantReason::kCacheHit;
    }
    if (probe) choice.reason = GrantReason::kProbe;
  }
  return choice;
}

PlacementChoice place_least_connections(const CellState& cell,
                                        const QueuedRequest& item, Millis now) {
  PlacementChoice choice;
  std::size_t fewest = std::numeric_limits<std::size_t>::max();
  for (const auto& [id, endpoint] : cell.endpoints) {
    if (!is_eligible(endpoint, item, now)) continue;
    if (endpoint.running.size() >= fewest) continue;
    fewest = endpoint.running.size();
    choice.endpoint = id;
    choice.reason = GrantReason::kBaseline;
  }
  return choice;
}

}  // namespace peridotreach
