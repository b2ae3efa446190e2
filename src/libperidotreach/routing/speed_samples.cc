#include "libperidotreach/routing/speed_samples.h"

#include <algorithm>
#include <cmath>

namespace peridotreach {
namespace {

// About two seconds of one generation, so that a lasting change of speed shows
// within that time.
constexpr std::size_t kMaxSamples = 12;

// Age after which samples say nothing of an endpoint's present speed.
constexpr Millis kSampleLifetime = 4 * kSecond;

// Steps of reported times on a logarithmic scale; one is about a tenth.
constexpr double kStepsPerDoubling = 8;

bool are_old(const SpeedSamples& samples, Millis now) {
  return now - samples.measured_at > kSampleLifetime;
}

std::uint32_t round_to_step(std::uint32_t time) {
  const double steps =
      std::round(std::log2(static_cast<double>(time)) * kStepsPerDoubling);
  return static_cast<std::uint32_t>(
      std::lround(std::exp2(steps / kStepsPerDoubling)));
}

}  // namespace

void add_sample(SpeedSamples& samples, Millis time, Millis now) {
  if (time <= 0) return;
  if (are_old(samples, now)) samples = {};
  samples.measured_at = now;
  const auto value = static_cast<std::uint32_t>(time);
  if (samples.times.size() < kMaxSamples) {
    samples.times.push_back(value);
    return;
  }
  samples.times[samples.next] = value;
  samples.next = (samples.next + 1) % kMaxSamples;
}

std::uint32_t lower_quartile(const SpeedSamples& samples,
                             std::size_t min_samples, Millis now) {
  if (samples.times.size() < min_samples || samples.times.empty()) return 0;
  if (are_old(samples, now)) return 0;
  std::vector<std::uint32_t> sorted = samples.times;
  std::sort(sorted.begin(), sorted.end());
  return round_to_step(sorted[sorted.size() / 4]);
}

}  // namespace peridotreach
