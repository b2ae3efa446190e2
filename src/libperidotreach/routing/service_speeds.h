#pragma once

// Compares the endpoints of a service by speed. It answers fleets in which some
// engines generate much slower than others: a prompt that such an engine
// prefills delays the events of its generations beyond what callers accept.

#include <vector>

#include "libperidotreach/routing/endpoint_speed.h"

namespace peridotreach {

// The speeds of the endpoints of one service.
struct ServiceSpeeds {
  // Whether endpoints differ by more than their load explains.
  bool differ = false;
  // Median time for a group of events; 0 if not known.
  double event_group_ms = 0;
  // Time for a group of events per time of prefill, at endpoints of which both
  // are known; 0 if there are none.
  double groups_per_prefill = 0;
  // Slowness of the slowest fifth.
  double slowest = 1;

  bool operator==(const ServiceSpeeds&) const = default;
};

// Returns whether the slowest of these times is much above the fastest.
bool differ_much(double fastest, double slowest);

// Returns the comparison of all endpoints of a service.
ServiceSpeeds compare_speeds(const std::vector<EndpointSpeed>& speeds);

// Returns the time that an endpoint, as last measured, takes for its work
// relative to the median one; 1 if the service's endpoints hardly differ. One
// of unknown speed counts as slow until it has shown its speed.
double slowness(const ServiceSpeeds& service, const EndpointSpeed& speed);

}  // namespace peridotreach
