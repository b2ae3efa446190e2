#pragma once

// The newest times that one process measured at an endpoint.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// A bounded number of times in milliseconds.
struct SpeedSamples {
  std::vector<std::uint32_t> times;
  // Index of the time that is replaced next.
  std::size_t next = 0;
  // When the last one was measured; 0 if none was.
  Millis measured_at = 0;

  bool operator==(const SpeedSamples&) const = default;
};

// Adds a time. Earlier ones are forgotten if the last is old.
void add_sample(SpeedSamples& samples, Millis time, Millis now);

// Returns the lower quartile of the times, rounded to steps of about a tenth
// so that reports of it change rarely; 0 if there are fewer than `min_samples`
// or the last one is old.
std::uint32_t lower_quartile(const SpeedSamples& samples,
                             std::size_t min_samples, Millis now);

}  // namespace peridotreach
