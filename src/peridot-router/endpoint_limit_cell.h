#pragma once

// The limit of an endpoint as it is encoded in messages between processes.

#include "libperidotreach/routing/routing_event.h"

namespace peridotreach {

namespace proto {
class EndpointLimitCell;
}  // namespace proto

// Encodes a limit with its age at `now`.
void encode_limit(const ObservedLimit& observed, Millis now,
                  proto::EndpointLimitCell& cell);

// Decodes a limit, with times of this process.
ObservedLimit decode_limit(const proto::EndpointLimitCell& cell, Millis now);

}  // namespace peridotreach
