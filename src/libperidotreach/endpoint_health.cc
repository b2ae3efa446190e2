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
  if (!health.reachable) return Availability::kNo;
  if (health.ejected_until == 0) return Availability::kYes;
  if (now < health.ejected_until) return Availability::kNo;
  return health.probing ? Availability::kNo : Availability::kProbeOnly;
}

void eject(EndpointHealth& health, Millis now) {
  const std::uint32_t doublings = std::min(health.losses, kMostDoublings);
  health.ejected_until = now + (kFirstEjection << doublings);
  health.losses += 1;
  health.probing = false;
  health.reports = 0;
  health.speed_ratio = 1;
}

bool note_speed(EndpointHealth& health, double ratio) {
  health.reports += 1;
  health.speed_ratio +=
      kRatioWeight * (std::min(ratio, kMostRatio) - health.speed_ratio);
  return health.reports >= kLeastReports && health.speed_ratio >= kSlowRatio;
}

void note_success(EndpointHealth& health) {
  if (!health.probing) return;
  health.probing = false;
  health.ejected_until = 0;
  health.losses = 0;
}

double median(std::vector<double> values) {
  if (values.empty()) return 0;
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace peridotreach
