#include "libperidotreach/cell_credits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libperidotreach/placement.h"

namespace peridotreach {
namespace {

// How long a cell must be without contention before credits are issued.
constexpr Millis kUncontendedPeriod = 2 * kSecond;

// Share of the spare slots that is issued as credits; the rest absorbs errors
// of outdated load reports.
constexpr double kIssuedSpareShare = 0.5;

// Returns the limits of the least urgent rank, which is the last in
// `config.ranks`. Credits are usable by every rank, and these limits keep the
// headroom of more urgent ranks free.
PlacementLimits credit_limits(const FleetConfig& config) {
  PlacementLimits limits;
  for (const RankPolicy& rank : config.ranks) {
    limits = placement_limits(config, rank);
  }
  return limits;
}

// Returns the slots of `endpoint` that are free within `limits`, reduced when
// less than half of the memory within `limits` is projected to stay free.
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

// Returns up to kMaxCreditEndpoints available endpoints, chosen for `vm` by
// rendezvous hashing.
std::vector<const CellEndpoint*> credit_endpoints(const CellState& cell,
                                                  const std::string& vm,
                                                  Millis now) {
  std::vector<std::pair<std::uint64_t, const CellEndpoint*>> scored;
  for (const auto& [id, endpoint] : cell.endpoints) {
    const bool available =
        !endpoint.info.leaving && !endpoint.load.leaving &&
        availability(endpoint.health, now) == Availability::kAvailable;
    if (!available || endpoint.load.models.empty()) continue;
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
        return queue.waiting == 0 &&
               now - queue.last_contended_at > kUncontendedPeriod;
      });
}

std::vector<Credit> credits_for_entry(const CellState& cell,
                                      const FleetConfig& config, Millis now,
                                      const std::string& vm,
                                      std::size_t entries) {
  std::vector<Credit> credits;
  const PlacementLimits limits = credit_limits(config);
  for (const CellEndpoint* endpoint : credit_endpoints(cell, vm, now)) {
    const double spare =
        kIssuedSpareShare * spare_slots(cell, *endpoint, limits);
    // The estimated number of entries that hold credits for one endpoint.
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
  const bool uncontended = is_uncontended(cell, context.now);
  const bool due = context.now - cell.credits_issued_at >= kCreditInterval;
  if (uncontended && due) {
    cell.credits_issued_at = context.now;
    cell.credits_outstanding = true;
    for (const std::string& vm : vms) {
      context.effects.emplace_back(
          IssueCredits{vm, cell.cell.id,
                       credits_for_entry(cell, context.config, context.now, vm,
                                         vms.size())});
    }
  }
  if (uncontended || !cell.credits_outstanding) return;
  cell.credits_outstanding = false;
  for (const std::string& vm : vms) {
    context.effects.emplace_back(IssueCredits{vm, cell.cell.id, {}});
  }
}

}  // namespace peridotreach
