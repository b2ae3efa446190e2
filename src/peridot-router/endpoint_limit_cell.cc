#include "peridot-router/endpoint_limit_cell.h"

#include <algorithm>

#include "fleet.pb.h"

namespace peridotreach {

void encode_limit(const ObservedLimit& observed, Millis now,
                  proto::EndpointLimitCell& cell) {
  cell.set_endpoint(observed.endpoint);
  if (observed.limit.requests_per_second)
    cell.set_requests_per_second(*observed.limit.requests_per_second);
  if (observed.limit.rejection_limit)
    cell.set_rejections_per_second(*observed.limit.rejection_limit);
  cell.set_age_ms(static_cast<std::uint32_t>(
      std::max<Millis>(0, now - observed.limit.observed_at)));
}

ObservedLimit decode_limit(const proto::EndpointLimitCell& cell, Millis now) {
  ObservedLimit observed;
  observed.endpoint = cell.endpoint();
  if (cell.has_requests_per_second())
    observed.limit.requests_per_second = cell.requests_per_second();
  if (cell.has_rejections_per_second())
    observed.limit.rejection_limit = cell.rejections_per_second();
  observed.limit.observed_at = now - static_cast<Millis>(cell.age_ms());
  return observed;
}

}  // namespace peridotreach
