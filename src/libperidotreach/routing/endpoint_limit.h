#pragma once

// The rate of requests that an endpoint takes from all processes together. An
// endpoint in need names it in its responses, for as long as it holds.

#include <optional>

#include "libperidotreach/time.h"

namespace peridotreach {

// The limit of one endpoint, as last observed.
struct EndpointLimit {
  // None if the endpoint names no limit.
  std::optional<double> requests_per_second;
  // When the endpoint last answered this process or the peer that reported the
  // limit; 0 if nothing is known.
  Millis observed_at = 0;

  bool operator==(const EndpointLimit&) const = default;
};

// Replaces `known` by a newer observation. Returns whether the rate changed.
bool update_limit(EndpointLimit& known, const EndpointLimit& observed);

}  // namespace peridotreach
