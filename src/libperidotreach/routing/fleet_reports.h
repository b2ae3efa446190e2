#pragma once

// The reports that one process counts. In a small fleet these are the reports
// of all others; in a large one a relay counts the processes of its zone and
// the sums of the other zones, and any other process the sum that its relay
// sends. Each process is counted once.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libperidotreach/routing/relays.h"
#include "libperidotreach/routing/report_totals.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// The processes whose requests a report counts.
enum class ReportScope : std::uint8_t { kProcess, kZone, kFleet };

// A report, the scope that it counts, and when it was received.
struct CountedReport {
  PeerReportReceived report;
  ReportScope scope = ReportScope::kProcess;
  Millis received_at = 0;

  bool operator==(const CountedReport&) const = default;
};

// The counted reports by name.
struct FleetReports {
  std::map<std::string, CountedReport> by_name;

  bool operator==(const FleetReports&) const = default;
};

// Returns the name under which a process at `self` counts a report that
// `sender` sent; none if it does not count it.
std::optional<std::string> counted_name(const RelayTopology& topology,
                                        const PeerRecord& self,
                                        const PeerRecord& sender,
                                        ReportScope scope);

// Removes the reports that no longer count after this process has become or
// ceased to be a relay. Returns their names.
std::vector<std::string> remove_uncounted(FleetReports& reports,
                                          const RelayTopology& topology,
                                          const PeerView& view,
                                          const PeerRecord& self);

// Removes reports that have not been renewed for long. Returns their names.
std::vector<std::string> remove_expired_reports(FleetReports& reports,
                                                Millis now);

// Returns the sum of `own` and the reports of single processes.
ReportTotals zone_totals(const FleetReports& reports,
                         const PeerReportReceived& own);

// Returns the sum of `own` and all reports but that of the process `except`.
ReportTotals fleet_totals(const FleetReports& reports,
                          const PeerReportReceived& own,
                          const std::string& except);

}  // namespace peridotreach
