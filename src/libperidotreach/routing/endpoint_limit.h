#pragma once

// What an endpoint in need takes from all processes together. It names that in
// its responses, for as long as it holds.

#include <optional>

#include "libperidotreach/time.h"

namespace peridotreach {

// The limit of one endpoint, as last observed.
struct EndpointLimit {
  // None if the endpoint names no rate.
  std::optional<double> requests_per_second;
  // When the endpoint last answered this process or the peer that reported the
  // limit; 0 if nothing is known.
  Millis observed_at = 0;
  // Requests a second that it may reject for want of capacity before it fails;
  // none if it is not fragile (fragile_endpoints.h).
  std::optional<double> rejection_limit;

  bool operator==(const EndpointLimit&) const = default;
};

// Returns whether the endpoint names any limit.
bool is_limited(const EndpointLimit& limit);

// Replaces `known` by a newer observation. Returns whether a limit changed.
bool update_limit(EndpointLimit& known, const EndpointLimit& observed);

}  // namespace peridotreach
