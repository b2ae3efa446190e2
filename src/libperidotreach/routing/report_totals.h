#pragma once

// Sums of the reports of several processes, which relays pass on in place of
// the reports themselves.

#include <cstdint>
#include <map>
#include <string>

#include "libperidotreach/routing/routing_event.h"

namespace peridotreach {

// The sum of several reports.
struct ReportTotals {
  std::map<std::string, EndpointUsage> usage_by_endpoint;
  std::map<std::string, ServiceRetryCounts> retries_by_service;
  std::map<std::string, FinishedOutput> outputs_by_route;
  // The newest observation of each endpoint's limit.
  std::map<std::string, EndpointLimit> limits_by_endpoint;
  // What all reports together say of each endpoint's speed.
  std::map<std::string, EndpointSpeed> speeds_by_endpoint;
  // Crashes by fingerprint of the request.
  std::map<std::uint64_t, std::uint32_t> crashes;
  std::uint32_t processes = 0;

  bool operator==(const ReportTotals&) const = default;
};

// Adds a report to the totals.
void add_report(ReportTotals& totals, const PeerReportReceived& report);

// Returns the totals as one report named `name`. Requests with fewer than
// `min_crashes` crashes are left out.
PeerReportReceived report_of(const ReportTotals& totals,
                             const std::string& name,
                             std::uint32_t min_crashes);

}  // namespace peridotreach
