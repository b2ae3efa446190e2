#include "libperidotreach/endpoint_health.h"

#include <algorithm>
#include <cstddef>

namespace peridotreach {
namespace {

constexpr Millis kFirstEjection = 2 * kSecond;
constexpr std::uint32_t kMostDoublings = 5;
constexpr double kSlowRatio = 2;
constexpr std::uint32_t kLeastReports = 8;
constexpr double kRatioWeight = 0.15;

// Ratio counted for one report at most; a single pause ejects nobody.
constexpr double kMostRatio = 6;

}  // namespace

Availability availability(const EndpointHealth& health, Millis now) {
  if (!health.reachable) return Availability::kUnavailable;
  if (health.ejected_until == 0) return Availability::kAvailable;
  if (now < health.ejected_until) return Availability::kUnavailable;
  return health.probing ? Availability::kUnavailable : Availability::kProbeOnly;
}

void eject(EndpointHealth& health, Millis now) {
  const std::uint32_t doublings = std::min(health.ejections, kMostDoublings);
  health.ejected_until = now + (kFirstEjection << doublings);
  health.ejections += 1;
  health.probing = false;
  health.reports = 0;
  health.step_time_ratio = 1;
}

bool record_step_time_ratio(EndpointHealth& health, double ratio) {
  health.reports += 1;
  health.step_time_ratio +=
      kRatioWeight * (std::min(ratio, kMostRatio) - health.step_time_ratio);
  return health.reports >= kLeastReports &&
         health.step_time_ratio >= kSlowRatio;
}

void record_success(EndpointHealth& health) {
  if (!health.probing) return;
  health.probing = false;
  health.ejected_until = 0;
  health.ejections = 0;
}

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace peridotreach
