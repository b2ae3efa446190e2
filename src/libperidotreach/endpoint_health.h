#pragma once

// Health of one endpoint as a dispatcher judges it: ejected after losses or
// when much slower than its cell, and tried again with one request after a
// growing delay.

#include <cstdint>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// The largest share of a cell that may be ejected for slowness.
inline constexpr double kMaxEjectedShare = 0.3;

// Health of one endpoint. `ejected_until` 0 means in service.
struct EndpointHealth {
  bool reachable = false;
  std::uint32_t ejections = 0;
  std::uint32_t reports = 0;
  double step_time_ratio = 1;
  Millis ejected_until = 0;
  bool probing = false;

  bool operator==(const EndpointHealth&) const = default;
};

template <class F>
auto inspect(F& f, EndpointHealth& x) {
  return f(x.reachable, x.ejections, x.reports, x.step_time_ratio,
           x.ejected_until, x.probing);
}

// Whether an endpoint takes new work.
enum class Availability { kUnavailable, kProbeOnly, kAvailable };

// Returns whether the endpoint takes new work at `now`.
Availability availability(const EndpointHealth& health, Millis now);

// Ejects the endpoint after a loss; the delay doubles with each one.
void eject(EndpointHealth& health, Millis now);

// Notes one report; `ratio` is the step time divided by the cell's median at
// the same batch. Single steps vary with the prompts they read, so the ratio
// is smoothed. Returns whether the endpoint should be ejected as slow.
bool record_step_time_ratio(EndpointHealth& health, double ratio);

// Notes a finished request, which ends probing.
void record_success(EndpointHealth& health);

// Returns the median of `values`, 0 if empty.
double median(std::vector<double> values);

}  // namespace peridotreach
