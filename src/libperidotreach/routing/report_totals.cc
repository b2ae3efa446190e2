#include "libperidotreach/routing/report_totals.h"

namespace peridotreach {
void add_report(ReportTotals& totals, const PeerReportReceived& report) {
  for (const EndpointUsage& usage : report.endpoint_usage) {
    EndpointUsage& sum = totals.usage_by_endpoint[usage.endpoint];
    sum.endpoint = usage.endpoint;
    sum.running_requests += usage.running_requests;
    sum.projected_tokens += usage.projected_tokens;
    sum.pending_prefill_tokens += usage.pending_prefill_tokens;
    sum.incoming_copies += usage.incoming_copies;
    sum.transport_failures += usage.transport_failures;
  }
  for (const ServiceRetryCounts& counts : report.retry_counts) {
    ServiceRetryCounts& sum = totals.retries_by_service[counts.service];
    sum.service = counts.service;
    sum.requests += counts.requests;
    sum.retries += counts.retries;
  }
  for (const FinishedOutput& output : report.finished_outputs) {
    FinishedOutput& sum = totals.outputs_by_route[output.route];
    sum.route = output.route;
    sum.generations += output.generations;
    sum.tokens += output.tokens;
  }
  for (const ObservedLimit& observed : report.limits)
    update_limit(totals.limits_by_endpoint[observed.endpoint], observed.limit);
  for (const ObservedSpeed& observed : report.speeds) {
    EndpointSpeed& known = totals.speeds_by_endpoint[observed.endpoint];
    known = merge_speeds(known, observed.speed);
  }
  for (const auto& [fingerprint, crashes] : report.suspects)
    totals.crashes[fingerprint] += crashes;
  totals.processes += report.processes;
}

PeerReportReceived report_of(const ReportTotals& totals,
                             const std::string& name,
                             std::uint32_t min_crashes) {
  PeerReportReceived report;
  report.peer = name;
  report.processes = totals.processes;
  for (const auto& [id, usage] : totals.usage_by_endpoint) {
    const bool is_used = usage.running_requests > 0 ||
                         usage.incoming_copies > 0 ||
                         usage.transport_failures > 0;
    if (is_used) report.endpoint_usage.push_back(usage);
  }
  for (const auto& [service, counts] : totals.retries_by_service)
    report.retry_counts.push_back(counts);
  for (const auto& [route, output] : totals.outputs_by_route)
    report.finished_outputs.push_back(output);
  for (const auto& [endpoint, limit] : totals.limits_by_endpoint)
    report.limits.push_back({endpoint, limit});
  for (const auto& [endpoint, speed] : totals.speeds_by_endpoint)
    report.speeds.push_back({endpoint, speed});
  for (const auto& [fingerprint, crashes] : totals.crashes) {
    if (crashes >= min_crashes)
      report.suspects.emplace_back(fingerprint, crashes);
  }
  return report;
}

}  // namespace peridotreach
