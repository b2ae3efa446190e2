#include "libperidotreach/routing/endpoint_limit.h"

namespace peridotreach {

bool is_limited(const EndpointLimit& limit) {
  return limit.requests_per_second || limit.rejection_limit;
}

bool update_limit(EndpointLimit& known, const EndpointLimit& observed) {
  if (observed.observed_at < known.observed_at) return false;
  const bool changed =
      known.requests_per_second != observed.requests_per_second ||
      known.rejection_limit != observed.rejection_limit;
  known = observed;
  return changed;
}

}  // namespace peridotreach
