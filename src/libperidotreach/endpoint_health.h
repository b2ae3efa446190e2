#pragma once

// Outlier ejection. An endpoint is ejected when it is reported as crashed,
// loses a request or is much slower than the rest of its cell. It is probed
// with a single request after a delay that doubles with each ejection.

#include <cstdint>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// The largest share of a cell's endpoints that may be out of service for
// another one to be ejected for slowness.
inline constexpr double kMaxEjectedShare = 0.3;

// Health of one endpoint. `ejected_until` is 0 while it is in service;
// `ejections` counts ejections since the last successful probe;
// `step_time_ratio` is smoothed over `reports` reports.
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

// Whether an endpoint accepts new requests. kProbeOnly allows a single one.
enum class Availability { kUnavailable, kProbeOnly, kAvailable };

// Returns whether the endpoint accepts new requests at `now`.
Availability availability(const EndpointHealth& health, Millis now);

// Ejects the endpoint. The time until it is probed doubles with each ejection.
void eject(EndpointHealth& health, Millis now);

// Records a load report. `ratio` is the reported step time divided by the
// median of the cell at the same batch size. It is smoothed, since single steps
// vary with the prompts that they process. Returns whether the endpoint should
// be ejected as slow.
bool record_step_time_ratio(EndpointHealth& health, double ratio);

// Records a finished request. Ends the ejection if the endpoint is being
// probed.
void record_success(EndpointHealth& health);

// Returns the median of `values`, 0 if empty.
double median(std::vector<double> values);

}  // namespace peridotreach
