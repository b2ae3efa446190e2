#include "libperidotreach/cell_load.h"

#include <algorithm>
#include <cmath>

namespace peridotreach {
namespace {

// Raise of the memory margin, in standard deviations, at each report of
// preemptions, and its most.
constexpr double kMarginRaise = 0.4;
constexpr double kMostMargin = 4;

// Factor on the trust in a cache after a gap in its events, and the part of
// lost trust regained with each event in order.
constexpr double kGapTrust = 0.5;
constexpr double kTrustRegained = 0.02;

// The most prefixes remembered for one endpoint.
constexpr std::size_t kMostPrefixes = 4096;

void note_deaths(CellState& cell, const CellContext& context,
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

// Batch-adjusted speed of an endpoint beside its cell's median.
double speed_ratio(const CellState& cell, const CellEndpoint& endpoint) {
  std::vector<double> others;
  for (const auto& [id, other] : cell.endpoints) {
    if (!other.has_load_report || other.load.running < 1) continue;
    others.push_back(
        predicted_step_ms(other.step_time_model, endpoint.load.running));
  }
  constexpr std::size_t kLeastPeers = 3;
  if (others.size() < kLeastPeers) return 1;
  return endpoint.load.step_ms / std::max(1.0, median(others));
}

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
    note_deaths(cell, context, endpoint);
    endpoint.cached_prefixes.clear();
  }
  const bool preempted = endpoint.has_load_report && !restarted &&
                         report.load.preemptions > endpoint.load.preemptions;
  if (preempted) {
    cell.memory_margin =
        std::min(kMostMargin, cell.memory_margin + kMarginRaise);
  }
  endpoint.load = report.load;
  endpoint.load_received_at = context.now;
  endpoint.has_load_report = true;
  endpoint.health.reachable = true;
  if (report.load.running < 1) return;
  const double ratio = speed_ratio(cell, endpoint);
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
    endpoint.cache_confidence *= kGapTrust;
  } else {
    endpoint.cache_confidence +=
        kTrustRegained * (1 - endpoint.cache_confidence);
  }
  for (const std::uint64_t prefix : report.removed) {
    endpoint.cached_prefixes.erase(prefix);
  }
  for (const std::uint64_t prefix : report.added) {
    if (endpoint.cached_prefixes.size() >= kMostPrefixes)
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
  note_deaths(cell, context, endpoint);
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
    const bool moved = known && (endpoint.info.address != info->address ||
                                 endpoint.info.port != info->port);
    endpoint.info = *info;
    endpoint.info.leaving =
        info->leaving || is_drained(context.config, info->id);
    if (known && !moved) continue;
    context.effects.emplace_back(WatchEndpoint{id, info->address, info->port});
  }
  std::vector<std::string> gone;
  for (const auto& [id, endpoint] : cell.endpoints) {
    const auto& ids = cell.cell.endpoints;
    if (std::find(ids.begin(), ids.end(), id) == ids.end()) gone.push_back(id);
  }
  for (const std::string& id : gone) {
    const std::set<RequestKey> running = cell.endpoints.at(id).running;
    for (const RequestKey& key : running) {
      remove_running(cell, context.config, key);
    }
    cell.endpoints.erase(id);
    context.effects.emplace_back(UnwatchEndpoint{id});
  }
}

}  // namespace peridotreach
