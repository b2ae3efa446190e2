#include "libperidotreach/cell_load.h"

#include <algorithm>
#include <cmath>

namespace peridotreach {
namespace {

// Increase of the memory margin, in standard deviations, at each report of new
// preemptions, and the highest margin.
constexpr double kMarginIncrease = 0.4;
constexpr double kMaxMemoryMargin = 4;

// Factor on the confidence in the cache contents after a gap in the cache
// events, and the share of the lost confidence that each event in order
// restores.
constexpr double kGapConfidenceFactor = 0.5;
constexpr double kConfidenceRecovery = 0.02;

// Maximum number of cached prefixes tracked for one endpoint. When it is
// reached, all tracked prefixes are removed before the next one is added.
constexpr std::size_t kMaxCachedPrefixes = 4096;

// Records a crash for each request in flight on `endpoint` and removes them.
void record_crashes(CellState& cell, const CellContext& context,
                    const CellEndpoint& endpoint) {
  const std::vector<RequestKey> keys(endpoint.running.begin(),
                                     endpoint.running.end());
  for (const RequestKey& key : keys) {
    const auto found = cell.running.find(key);
    if (found == cell.running.end()) continue;
    record_crash(cell.quarantine, found->second.item.fingerprint, context.now);
    remove_running(cell, context.config, key);
  }
}

// Returns the step time that `endpoint` reports, divided by the median of what
// the endpoints of the cell are predicted to need at the same batch size; 1 if
// there are too few to compare.
double step_time_ratio(const CellState& cell, const CellEndpoint& endpoint) {
  std::vector<double> peer_step_ms;
  for (const auto& [id, other] : cell.endpoints) {
    if (!other.has_load_report || other.load.running < 1) continue;
    peer_step_ms.push_back(
        predicted_step_ms(other.step_time_model, endpoint.load.running));
  }
  constexpr std::size_t kMinPeers = 3;
  if (peer_step_ms.size() < kMinPeers) return 1;
  return endpoint.load.step_ms / std::max(1.0, median(peer_step_ms));
}

// Returns whether one more endpoint may be ejected for slowness.
bool may_eject_slow(const CellState& cell, Millis now) {
  double ejected = 0;
  for (const auto& [id, endpoint] : cell.endpoints) {
    if (availability(endpoint.health, now) != Availability::kAvailable)
      ejected += 1;
  }
  const auto total = static_cast<double>(cell.endpoints.size());
  return ejected + 1 <= std::floor(kMaxEjectedShare * total);
}

}  // namespace

void apply_load(CellState& cell, const CellContext& context,
                const LoadReported& report) {
  const auto found = cell.endpoints.find(report.endpoint);
  if (found == cell.endpoints.end()) return;
  CellEndpoint& endpoint = found->second;
  const bool restarted = endpoint.has_load_report &&
                         endpoint.load.incarnation != report.load.incarnation;
  if (restarted) {
    record_crashes(cell, context, endpoint);
    endpoint.cached_prefixes.clear();
  }
  const bool preempted = endpoint.has_load_report && !restarted &&
                         report.load.preemptions > endpoint.load.preemptions;
  if (preempted) {
    cell.memory_margin =
        std::min(kMaxMemoryMargin, cell.memory_margin + kMarginIncrease);
  }
  endpoint.load = report.load;
  endpoint.load_received_at = context.now;
  endpoint.has_load_report = true;
  endpoint.health.reachable = true;
  if (report.load.running < 1) return;
  const double ratio = step_time_ratio(cell, endpoint);
  observe_step_time(endpoint.step_time_model, report.load.running,
                    report.load.step_ms);
  if (record_step_time_ratio(endpoint.health, ratio) &&
      may_eject_slow(cell, context.now)) {
    eject(endpoint.health, context.now);
  }
}

void apply_cache(CellState& cell, const CacheReported& report, Millis now) {
  const auto found = cell.endpoints.find(report.endpoint);
  if (found == cell.endpoints.end()) return;
  CellEndpoint& endpoint = found->second;
  const bool gap = endpoint.cache_sequence != 0 &&
                   report.sequence != endpoint.cache_sequence + 1;
  endpoint.cache_sequence = report.sequence;
  if (gap) {
    endpoint.cache_confidence *= kGapConfidenceFactor;
  } else {
    endpoint.cache_confidence +=
        kConfidenceRecovery * (1 - endpoint.cache_confidence);
  }
  for (const std::uint64_t prefix : report.removed) {
    endpoint.cached_prefixes.erase(prefix);
  }
  for (const std::uint64_t prefix : report.added) {
    if (endpoint.cached_prefixes.size() >= kMaxCachedPrefixes)
      endpoint.cached_prefixes.clear();
    endpoint.cached_prefixes[prefix] = now;
  }
}

void apply_endpoint_down(CellState& cell, const CellContext& context,
                         const EndpointDown& down) {
  const auto found = cell.endpoints.find(down.endpoint);
  if (found == cell.endpoints.end()) return;
  CellEndpoint& endpoint = found->second;
  endpoint.health.reachable = false;
  if (!down.crashed) return;
  record_crashes(cell, context, endpoint);
  endpoint.cached_prefixes.clear();
  endpoint.has_load_report = false;
  eject(endpoint.health, context.now);
}

void apply_view(CellState& cell, const CellContext& context,
                const FleetView& view) {
  for (const std::string& id : cell.cell.endpoints) {
    const EndpointInfo* info = find_endpoint(view, id);
    if (info == nullptr) continue;
    const bool known = cell.endpoints.contains(id);
    CellEndpoint& endpoint = cell.endpoints[id];
    const bool address_changed =
        known && (endpoint.info.address != info->address ||
                  endpoint.info.port != info->port);
    endpoint.info = *info;
    endpoint.info.leaving =
        info->leaving || is_drained(context.config, info->id);
    if (known && !address_changed) continue;
    context.effects.emplace_back(WatchEndpoint{id, info->address, info->port});
  }
  std::vector<std::string> removed;
  for (const auto& [id, endpoint] : cell.endpoints) {
    const auto& ids = cell.cell.endpoints;
    if (std::find(ids.begin(), ids.end(), id) == ids.end())
      removed.push_back(id);
  }
  for (const std::string& id : removed) {
    const std::set<RequestKey> running = cell.endpoints.at(id).running;
    for (const RequestKey& key : running) {
      remove_running(cell, context.config, key);
    }
    cell.endpoints.erase(id);
    context.effects.emplace_back(UnwatchEndpoint{id});
  }
}

}  // namespace peridotreach
