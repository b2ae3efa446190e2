#pragma once

// Projected occupancy of an endpoint's KV cache. Each running generation grows
// by one token per step until it ends at an unknown length. The projected peak
// is the highest mean over the coming steps plus a margin in standard
// deviations.

#include <array>
#include <cstddef>

#include "libperidotreach/length_model.h"

namespace peridotreach {

// Numbers of decoding steps ahead at which occupancy is projected.
inline constexpr std::array<double, 16> kProjectionSteps = {
    0,   16,  32,  64,   96,   128,  192,  256,
    384, 512, 768, 1024, 1536, 2048, 4096, 12288};

// Mean and variance of the occupancy in tokens at each of kProjectionSteps.
struct MemoryProjection {
  std::array<double, kProjectionSteps.size()> mean{};
  std::array<double, kProjectionSteps.size()> variance{};

  bool operator==(const MemoryProjection&) const = default;
};

// Adds a generation with `context` tokens in the cache, of which `produced` are
// output.
void add_generation(MemoryProjection& projection, const SurvivalCurve& curve,
                    double context, double produced);

// Returns the highest projected occupancy in tokens; `margin` is the number
// of standard deviations above the mean.
double projected_peak(const MemoryProjection& projection, double margin);

}  // namespace peridotreach
