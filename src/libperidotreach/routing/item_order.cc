#include "libperidotreach/routing/item_order.h"

namespace peridotreach {

bool is_older(const Manifest& other, const Manifest& held) {
  return other.version < held.version;
}

bool is_older(const EndpointEntry& other, const EndpointEntry& held) {
  return other.started_at_ms == held.started_at_ms &&
         other.sequence < held.sequence;
}

}  // namespace peridotreach
