#include "libperidotreach/routing/service_speeds.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace peridotreach {
namespace {

// Endpoints of known speed below which they are not compared.
constexpr std::size_t kMinMeasured = 6;

// Ratio of times from which on endpoints differ in speed. A full batch alone
// takes 1.4 times as long for a step as a single request.
constexpr double kMinRatio = 1.5;

// Slowness around 1 that is taken as equal, as load explains it.
constexpr double kEqualRatio = 1.25;

// The slowest and the fastest fifth are compared, so that single endpoints do
// not decide.
constexpr std::size_t kOuterShare = 5;

// Bounds for what one measurement may claim.
constexpr double kMinSlowness = 0.5;
constexpr double kMaxSlowness = 3;

// Returns the median of at least one value.
double median(std::vector<double> values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

// Returns the time for a group of events; 0 if not known. Prompts that an
// endpoint prefills lengthen its groups up to twice, and prompts in front
// lengthen a prefill, so the lower of both measurements is nearer to its speed.
double group_time(const EndpointSpeed& speed, double groups_per_prefill) {
  const double by_prefill = speed.prefill_ms * groups_per_prefill;
  if (speed.event_group_ms == 0) return by_prefill;
  if (by_prefill == 0) return speed.event_group_ms;
  return std::min(by_prefill, static_cast<double>(speed.event_group_ms));
}

double groups_per_prefill(const std::vector<EndpointSpeed>& speeds) {
  std::vector<double> ratios;
  for (const EndpointSpeed& speed : speeds) {
    if (speed.event_group_ms == 0 || speed.prefill_ms == 0) continue;
    ratios.push_back(static_cast<double>(speed.event_group_ms) /
                     speed.prefill_ms);
  }
  return ratios.empty() ? 0 : median(std::move(ratios));
}

double relative_time(double time, double typical) {
  const double value = std::clamp(time / typical, kMinSlowness, kMaxSlowness);
  return value < kEqualRatio && value > 1 / kEqualRatio ? 1 : value;
}

}  // namespace

bool differ_much(double fastest, double slowest) {
  return fastest > 0 && slowest >= kMinRatio * fastest;
}

ServiceSpeeds compare_speeds(const std::vector<EndpointSpeed>& speeds) {
  ServiceSpeeds service;
  service.groups_per_prefill = groups_per_prefill(speeds);
  std::vector<double> times;
  for (const EndpointSpeed& speed : speeds) {
    const double time = group_time(speed, service.groups_per_prefill);
    if (time > 0) times.push_back(time);
  }
  if (times.size() < kMinMeasured) return service;
  std::sort(times.begin(), times.end());
  const std::size_t outer = times.size() / kOuterShare;
  const double slow = times[times.size() - 1 - outer];
  service.differ = differ_much(times[outer], slow);
  service.event_group_ms = times[times.size() / 2];
  service.slowest = relative_time(slow, service.event_group_ms);
  return service;
}

double slowness(const ServiceSpeeds& service, const EndpointSpeed& speed) {
  if (!service.differ) return 1;
  // The events of its generations count first: callers see these.
  const double time = speed.event_group_ms != 0
                          ? speed.event_group_ms
                          : group_time(speed, service.groups_per_prefill);
  return time > 0 ? relative_time(time, service.event_group_ms)
                  : service.slowest;
}

}  // namespace peridotreach
