#include "libperidotreach/cell_credits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libperidotreach/placement.h"

namespace peridotreach {
namespace {

// Time without contention before credits are issued.
constexpr Millis kCalm = 2 * kSecond;

// Part of the spare slots that is given away; the rest absorbs stale counts.
constexpr double kSparePart = 0.5;

// The least urgent rank's limits hold for credits: whoever spends them leaves
// more urgent ranks their headroom.
PlacementLimits credit_limits(const FleetConfig& config) {
  PlacementLimits limits;
  for (const RankPolicy& rank : config.ranks) {
    limits = placement_limits(config, rank);
  }
  return limits;
}

double spare_slots(const CellState& cell, const CellEndpoint& endpoint,
                   const PlacementLimits& limits) {
  const double slots =
      slot_limit(endpoint, limits.step_target_ms) * limits.slot_share -
      estimated_batch(cell, endpoint);
  const double capacity = endpoint.load.kv_capacity;
  if (capacity <= 0) return slots;
  const double peak = projected_peak(endpoint.projection, cell.memory_margin);
  const double free_share = 1 - peak / (limits.memory_share * capacity);
  return std::min(slots, slots * 2 * std::max(0.0, free_share));
}

// Returns the serving endpoints that rendezvous hashing gives to `vm`.
std::vector<const CellEndpoint*> endpoints_for(const CellState& cell,
                                               const std::string& vm,
                                               Millis now) {
  std::vector<std::pair<std::uint64_t, const CellEndpoint*>> scored;
  for (const auto& [id, endpoint] : cell.endpoints) {
    const bool serves =
        !endpoint.info.leaving && !endpoint.load.leaving &&
        availability(endpoint.health, now) == Availability::kAvailable;
    if (!serves || endpoint.load.models.empty()) continue;
    scored.emplace_back(stable_hash(id, stable_hash(vm)), &endpoint);
  }
  std::sort(scored.rbegin(), scored.rend());
  std::vector<const CellEndpoint*> chosen;
  for (const auto& [score, endpoint] : scored) {
    if (chosen.size() >= kMaxCreditEndpoints) break;
    chosen.push_back(endpoint);
  }
  return chosen;
}

}  // namespace

bool is_uncontended(const CellState& cell, Millis now) {
  if (!cell.quarantine.suspects.empty()) return false;
  return std::all_of(
      cell.ranks.begin(), cell.ranks.end(), [&](const auto& entry) {
        const RankQueue& queue = entry.second;
        return queue.waiting == 0 && now - queue.last_contended_at > kCalm;
      });
}

std::vector<Credit> credits_for_entry(const CellState& cell,
                                      const FleetConfig& config, Millis now,
                                      const std::string& vm,
                                      std::size_t entries) {
  std::vector<Credit> credits;
  const PlacementLimits limits = credit_limits(config);
  for (const CellEndpoint* endpoint : endpoints_for(cell, vm, now)) {
    const double spare = kSparePart * spare_slots(cell, *endpoint, limits);
    // Endpoints are spread over the entries; each is shared by this many.
    const double sharers =
        std::max(1.0, static_cast<double>(entries * kMaxCreditEndpoints) /
                          static_cast<double>(cell.endpoints.size()));
    const double shares =
        sharers * static_cast<double>(endpoint->load.models.size());
    const auto count =
        static_cast<std::uint32_t>(std::max(0.0, std::floor(spare / shares)));
    if (count == 0) continue;
    for (const std::string& model : endpoint->load.models) {
      credits.push_back({endpoint->info.id, model, count});
    }
  }
  return credits;
}

void update_credits(CellState& cell, const CellContext& context,
                    const std::vector<std::string>& vms) {
  if (context.baseline) return;
  const bool calm = is_uncontended(cell, context.now);
  const bool due = context.now - cell.credits_issued_at >= kCreditInterval;
  if (calm && due) {
    cell.credits_issued_at = context.now;
    cell.credits_outstanding = true;
    for (const std::string& vm : vms) {
      context.effects.emplace_back(
          IssueCredits{vm, cell.cell.id,
                       credits_for_entry(cell, context.config, context.now, vm,
                                         vms.size())});
    }
  }
  if (calm || !cell.credits_outstanding) return;
  cell.credits_outstanding = false;
  for (const std::string& vm : vms) {
    context.effects.emplace_back(IssueCredits{vm, cell.cell.id, {}});
  }
}

}  // namespace peridotreach
