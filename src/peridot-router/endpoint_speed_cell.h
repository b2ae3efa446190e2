#pragma once

// Speeds of endpoints in the digests that router processes exchange.

#include <vector>

#include "libperidotreach/routing/routing_event.h"

namespace peridotreach {

namespace proto {
class RoutingDigest;
}  // namespace proto

// Adds speeds to a digest, as `repeated EndpointSpeedCell speeds = 22` with the
// fields `string endpoint = 1`, `uint32 event_group_ms = 2` and
// `uint32 prefill_ms = 3`.
void encode_speeds(const std::vector<ObservedSpeed>& speeds,
                   proto::RoutingDigest& message);

// Returns the speeds of a digest. Cells that cannot be read are left out.
std::vector<ObservedSpeed> decode_speeds(const proto::RoutingDigest& message);

}  // namespace peridotreach
