#pragma once

// The order of two contents of one item of the store, by what its writer put
// into them. It holds whatever revisions the store gives them.

#include "libperidotreach/routing/endpoint_entry.h"
#include "libperidotreach/routing/manifest.h"

namespace peridotreach {

// Returns whether `other` is an earlier manifest than `held`.
bool is_older(const Manifest& other, const Manifest& held);

// Returns whether `other` is an earlier entry of the endpoint than `held`. The
// entries of two starts of an endpoint are not ordered: its clock may have been
// set back between them.
bool is_older(const EndpointEntry& other, const EndpointEntry& held);

}  // namespace peridotreach
