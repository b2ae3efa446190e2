#pragma once

// Whether this process reaches endpoints at all. A VM may lose its links to all
// of them while callers, the store and peers still reach it. That is no failure
// of the endpoints: requests are then sent to them through peers.

#include <cstddef>
#include <set>
#include <string>

#include "libperidotreach/time.h"

namespace peridotreach {

// The direct path of this process to the endpoints.
struct EndpointPath {
  // Endpoints to which connections have failed since one was last made, and
  // when the first and the last of them failed.
  std::set<std::string> unreached;
  Millis first_failure_at = 0;
  Millis last_failure_at = 0;
  // Since when the path is lost; 0 if it is not.
  Millis lost_since = 0;
  // When it was last regained; 0 if it was never lost.
  Millis regained_at = 0;
  // When it was last probed while lost; 0 if it was not.
  Millis probed_at = 0;

  bool operator==(const EndpointPath&) const = default;
};

// Records a failed connection to `endpoint`, one of `listed_endpoints`. Returns
// whether the path counts as lost now and did not before.
bool observe_unreached(EndpointPath& path, const std::string& endpoint,
                       std::size_t listed_endpoints, Millis now);

// Records a connection that was made at `connected_at`. Returns whether the
// path was lost and is regained.
bool observe_connected(EndpointPath& path, Millis connected_at, Millis now);

// Returns whether the path was lost at some time since `since`, so that a
// connection of that time may have ended for it.
bool was_lost_since(const EndpointPath& path, Millis since);

// Returns whether to probe the path now, and records that it is probed.
bool take_due_probe(EndpointPath& path, Millis now);

}  // namespace peridotreach
