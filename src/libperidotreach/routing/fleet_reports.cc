#include "libperidotreach/routing/fleet_reports.h"

namespace peridotreach {
namespace {

// Silence after which the use of endpoints by a process no longer counts. It is
// longer than the time in which a process that was killed starts again.
constexpr Millis kReportRetention = 5 * kSecond;

// Names of reports that count several processes.
constexpr const char* kFleetReport = "fleet";
constexpr const char* kZoneReportPrefix = "zone/";

}  // namespace

std::optional<std::string> counted_name(const RelayTopology& topology,
                                        const PeerRecord& self,
                                        const PeerRecord& sender,
                                        ReportScope scope) {
  const bool same_zone = sender.zone == self.zone;
  if (!topology.uses_relays) {
    if (scope != ReportScope::kProcess) return std::nullopt;
    return sender.vm;
  }
  if (!topology.is_relay) {
    if (scope != ReportScope::kFleet || !same_zone) return std::nullopt;
    return kFleetReport;
  }
  if (scope == ReportScope::kProcess && same_zone) return sender.vm;
  if (scope == ReportScope::kZone && !same_zone)
    return kZoneReportPrefix + sender.zone;
  return std::nullopt;
}

std::vector<std::string> remove_uncounted(FleetReports& reports,
                                          const RelayTopology& topology,
                                          const PeerView& view,
                                          const PeerRecord& self) {
  std::vector<std::string> removed;
  for (const auto& [name, counted] : reports.by_name) {
    const auto peer = view.peers.find(name);
    const bool still_counts =
        counted.scope == ReportScope::kProcess && peer != view.peers.end() &&
        counted_name(topology, self, peer->second.record, counted.scope);
    if (!still_counts) removed.push_back(name);
  }
  for (const std::string& name : removed) reports.by_name.erase(name);
  return removed;
}

std::vector<std::string> remove_expired_reports(FleetReports& reports,
                                                Millis now) {
  std::vector<std::string> removed;
  for (const auto& [name, counted] : reports.by_name) {
    if (now - counted.received_at > kReportRetention) removed.push_back(name);
  }
  for (const std::string& name : removed) reports.by_name.erase(name);
  return removed;
}

ReportTotals zone_totals(const FleetReports& reports,
                         const PeerReportReceived& own) {
  ReportTotals totals;
  add_report(totals, own);
  for (const auto& [name, counted] : reports.by_name) {
    if (counted.scope == ReportScope::kProcess)
      add_report(totals, counted.report);
  }
  return totals;
}

ReportTotals fleet_totals(const FleetReports& reports,
                          const PeerReportReceived& own,
                          const std::string& except) {
  ReportTotals totals;
  add_report(totals, own);
  for (const auto& [name, counted] : reports.by_name) {
    if (name != except) add_report(totals, counted.report);
  }
  return totals;
}

}  // namespace peridotreach
