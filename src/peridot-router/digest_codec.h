#pragma once

// Encodes and decodes digests.

#include "peridot-router/peer_digest.h"

namespace peridotreach {

namespace proto {
class RoutingDigest;
}

// Writes `digest` into an empty message. Times are sent as ages, as processes
// do not share a clock.
void encode_digest(const PeerDigest& digest, Millis now,
                   proto::RoutingDigest& message);

PeerDigest decode_digest(const proto::RoutingDigest& message, Millis now);

}  // namespace peridotreach
