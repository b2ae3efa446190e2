#include "libperidotreach/placement.h"

#include <algorithm>
#include <limits>

namespace peridotreach {
namespace {

// Age at which a memory projection is recomputed.
constexpr Millis kProjectionMaxAge = 400;

// Share of the step time target that placement uses; the rest absorbs
// prediction errors.
constexpr double kStepTargetShare = 0.92;

// Occupied share of the memory available to a rank above which an endpoint gets
// no new requests of it. Less urgent ranks have less memory available and reach
// the limit earlier, so they cannot starve more urgent ones.
constexpr double kFullMemoryShare = 0.92;

// Share of the memory margin that applies to the most urgent rank. To start its
// requests at once, it accepts a higher risk of preemptions, which hit less
// urgent requests first.
constexpr double kUrgentMarginShare = 0.5;

// Expected prefill throughput.
constexpr double kPrefillTokensPerMs = 20;

// Prompt tokens covered by each prefix hash.
constexpr double kTokensPerPrefixHash = 64;

// Largest estimated batch at which an ejected endpoint gets a probe request.
constexpr double kMaxProbeBatch = 1;

// Returns the tokens that `request` has produced by `now`, extrapolated from
// its last progress report.
double estimated_produced(const CellEndpoint& endpoint,
                          const RunningRequest& request, Millis now) {
  if (!request.started) return request.produced_tokens;
  const double step = std::max(5.0, endpoint.load.step_ms);
  const auto elapsed = static_cast<double>(now - request.last_progress_at);
  return request.produced_tokens + elapsed / step;
}

// Returns the tokens in memory of requests that this dispatcher does not track.
double untracked_memory(const CellEndpoint& endpoint) {
  return std::max(0.0, endpoint.load.kv_used - endpoint.projection.mean.at(0));
}

// Returns whether the projected memory with `item` stays within `limits`.
bool fits_memory(const CellState& cell, const CellEndpoint& endpoint,
                 const QueuedRequest& item, const PlacementLimits& limits) {
  const double capacity = endpoint.load.kv_capacity;
  if (capacity <= 0) return true;
  const double usable = limits.memory_share * capacity;
  if (endpoint.load.kv_used > kFullMemoryShare * usable) return false;
  MemoryProjection projection = endpoint.projection;
  const SurvivalCurve curve =
      survival_curve(cell.length_model, item.rank, item.caller);
  add_generation(projection, curve, item.prompt_tokens, 0);
  const double margin = cell.memory_margin * limits.margin_share;
  return projected_peak(projection, margin) + untracked_memory(endpoint) <=
         usable;
}

// Returns whether the endpoint has a free slot within `limits`.
bool fits_batch(const CellState& cell, const CellEndpoint& endpoint,
                const PlacementLimits& limits) {
  const double batch = estimated_batch(cell, endpoint);
  if (batch < 1) return true;
  const double limit = slot_limit(endpoint, limits.step_target_ms);
  return batch + 1 <= std::max(1.0, limit * limits.slot_share);
}

// Returns the prompt tokens expected in the endpoint's prefix cache.
double cached_tokens(const CellEndpoint& endpoint, const QueuedRequest& item) {
  double tokens = 0;
  for (const std::uint64_t prefix : item.prefix_hashes) {
    if (!endpoint.cached_prefixes.contains(prefix)) break;
    tokens += kTokensPerPrefixHash;
  }
  return std::min<double>(tokens, item.prompt_tokens) *
         endpoint.cache_confidence;
}

// Returns the cost of placing `item` on `endpoint`: step time, prefill time of
// the tokens not cached, and a penalty for occupied memory.
double expected_delay_ms(const CellState& cell, const CellEndpoint& endpoint,
                         const QueuedRequest& item) {
  const double batch = estimated_batch(cell, endpoint);
  const double step = predicted_step_ms(endpoint.step_time_model, batch + 1);
  const double prefill = item.prompt_tokens - cached_tokens(endpoint, item);
  const double capacity = std::max(1.0, endpoint.load.kv_capacity);
  const double occupancy = endpoint.projection.mean.at(0) / capacity;
  constexpr double kOccupancyWeightMs = 10;
  return step + prefill / kPrefillTokensPerMs + kOccupancyWeightMs * occupancy;
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
  if (most_urgent) limits.margin_share = kUrgentMarginShare;
  return limits;
}

double estimated_batch(const CellState& cell, const CellEndpoint& endpoint) {
  const Millis measured_at = endpoint.load_received_at - endpoint.load.age;
  double granted_since = 0;
  for (const RequestKey& key : endpoint.running) {
    const auto found = cell.running.find(key);
    if (found == cell.running.end()) continue;
    if (found->second.granted_at > measured_at) granted_since += 1;
  }
  const auto tracked = static_cast<double>(endpoint.running.size());
  const double untracked =
      std::max(0.0, endpoint.load.running + endpoint.load.waiting - tracked);
  // The report still contains requests that this dispatcher saw finish after it
  // was measured; half of the excess is attributed to those.
  constexpr double kUntrackedShare = 0.5;
  return std::max(tracked,
                  tracked + kUntrackedShare * (untracked - granted_since));
}

double slot_limit(const CellEndpoint& endpoint, double step_target_ms) {
  return batch_limit(endpoint.step_time_model,
                     kStepTargetShare * step_target_ms);
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
                     now - endpoint.projected_at < kProjectionMaxAge;
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
  double lowest_delay = std::numeric_limits<double>::max();
  for (auto& [id, endpoint] : cell.endpoints) {
    if (!is_eligible(endpoint, item, now)) continue;
    const bool probe =
        availability(endpoint.health, now) == Availability::kProbeOnly;
    if (probe && estimated_batch(cell, endpoint) > kMaxProbeBatch) continue;
    if (!fits_batch(cell, endpoint, limits)) continue;
    refresh_projection(cell, endpoint, now);
    if (!fits_memory(cell, endpoint, item, limits)) continue;
    const double delay = expected_delay_ms(cell, endpoint, item);
    if (delay >= lowest_delay) continue;
    lowest_delay = delay;
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
  std::size_t fewest_running = std::numeric_limits<std::size_t>::max();
  for (const auto& [id, endpoint] : cell.endpoints) {
    if (!is_eligible(endpoint, item, now)) continue;
    if (endpoint.running.size() >= fewest_running) continue;
    fewest_running = endpoint.running.size();
    choice.endpoint = id;
    choice.reason = GrantReason::kBaseline;
  }
  return choice;
}

}  // namespace peridotreach
