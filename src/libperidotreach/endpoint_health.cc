#include "libperidotreach/endpoint_health.h"

#include <algorithm>
#include <cstddef>

namespace peridotreach {
namespace {

// Duration of the first ejection, and the maximum number of times that it is
// doubled.
constexpr Millis kBaseEjectionTime = 2 * kSecond;
constexpr std::uint32_t kMaxDoublings = 5;

// Smoothed step time ratio at which an endpoint counts as slow, and the minimum
// number of reports after which the ratio is evaluated.
constexpr double kSlowStepTimeRatio = 2;
constexpr std::uint32_t kMinReports = 8;

// Weight of the latest report in the exponentially smoothed ratio.
constexpr double kRatioSmoothing = 0.15;

// Largest ratio counted for one report, so that a single pause of an endpoint
// does not eject it.
constexpr double kMaxRatio = 6;

}  // namespace

Availability availability(const EndpointHealth& health, Millis now) {
  if (!health.reachable) return Availability::kUnavailable;
  if (health.ejected_until == 0) return Availability::kAvailable;
  if (now < health.ejected_until) return Availability::kUnavailable;
  return health.probing ? Availability::kUnavailable : Availability::kProbeOnly;
}

void eject(EndpointHealth& health, Millis now) {
  const std::uint32_t doublings = std::min(health.ejections, kMaxDoublings);
  health.ejected_until = now + (kBaseEjectionTime << doublings);
  health.ejections += 1;
  health.probing = false;
  health.reports = 0;
  health.step_time_ratio = 1;
}

bool record_step_time_ratio(EndpointHealth& health, double ratio) {
  health.reports += 1;
  health.step_time_ratio +=
      kRatioSmoothing * (std::min(ratio, kMaxRatio) - health.step_time_ratio);
  return health.reports >= kMinReports &&
         health.step_time_ratio >= kSlowStepTimeRatio;
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
