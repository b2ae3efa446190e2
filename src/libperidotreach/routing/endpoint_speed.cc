#include "libperidotreach/routing/endpoint_speed.h"

#include <algorithm>

namespace peridotreach {
namespace {

std::uint32_t lower_known(std::uint32_t left, std::uint32_t right) {
  if (left == 0 || right == 0) return std::max(left, right);
  return std::min(left, right);
}

}  // namespace

bool is_known(const EndpointSpeed& speed) {
  return speed.event_group_ms != 0 || speed.prefill_ms != 0;
}

EndpointSpeed merge_speeds(const EndpointSpeed& left,
                           const EndpointSpeed& right) {
  return {lower_known(left.event_group_ms, right.event_group_ms),
          lower_known(left.prefill_ms, right.prefill_ms)};
}

}  // namespace peridotreach
