#pragma once

// Speeds of endpoints in the digests that router processes exchange.

#include <vector>

#include "libperidotreach/routing/routing_event.h"

namespace peridotreach {

namespace proto {
class RoutingDigest;
}  // namespace proto

// Adds speeds to a digest.
void encode_speeds(const std::vector<ObservedSpeed>& speeds,
                   proto::RoutingDigest& message);

// Returns the speeds of a digest. Cells without an endpoint are left out.
std::vector<ObservedSpeed> decode_speeds(const proto::RoutingDigest& message);

}  // namespace peridotreach
