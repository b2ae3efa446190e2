#include "libperidotreach/routing/endpoint_limit.h"

namespace peridotreach {

bool update_limit(EndpointLimit& known, const EndpointLimit& observed) {
  if (observed.observed_at < known.observed_at) return false;
  const bool changed =
      known.requests_per_second != observed.requests_per_second;
  known = observed;
  return changed;
}

}  // namespace peridotreach
