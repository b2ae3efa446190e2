#include "libperidotreach/memory_projection.h"

#include <algorithm>
#include <cmath>

namespace peridotreach {

void add_generation(MemoryProjection& projection, const SurvivalCurve& curve,
                    double context, double produced) {
  for (std::size_t i = 0; i < kProjectionSteps.size(); ++i) {
    const double ahead = kProjectionSteps.at(i);
    const double alive = remaining_survival(curve, produced, ahead);
    const double size = context + ahead;
    projection.mean.at(i) += alive * size;
    projection.variance.at(i) += alive * (1 - alive) * size * size;
  }
}

double projected_peak(const MemoryProjection& projection, double margin) {
  double peak = 0;
  for (std::size_t i = 0; i < kProjectionSteps.size(); ++i) {
    const double deviation = std::sqrt(projection.variance.at(i));
    peak = std::max(peak, projection.mean.at(i) + margin * deviation);
  }
  return peak;
}

}  // namespace peridotreach
