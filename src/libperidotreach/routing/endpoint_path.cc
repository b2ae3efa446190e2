#include "libperidotreach/routing/endpoint_path.h"

#include <algorithm>

namespace peridotreach {
namespace {

// Endpoints that have to be out of reach at the same time: one alone may have
// failed itself.
constexpr std::size_t kMinUnreached = 2;

// Failures that are further apart are not of the same cause.
constexpr Millis kMaxFailureGap = 2 * kSecond;

constexpr Millis kProbeInterval = 500;

}  // namespace

bool observe_unreached(EndpointPath& path, const std::string& endpoint,
                       std::size_t listed_endpoints, Millis now) {
  if (now - path.last_failure_at > kMaxFailureGap) path.unreached.clear();
  if (path.unreached.empty()) path.first_failure_at = now;
  path.last_failure_at = now;
  path.unreached.insert(endpoint);
  if (path.lost_since != 0) return false;
  if (path.unreached.size() < std::min(kMinUnreached, listed_endpoints))
    return false;
  path.lost_since = path.first_failure_at;
  path.probed_at = 0;
  return true;
}

bool observe_connected(EndpointPath& path, Millis connected_at, Millis now) {
  // One that was made before the failures does not tell how it is now.
  if (path.unreached.empty() || connected_at < path.last_failure_at)
    return false;
  path.unreached.clear();
  if (path.lost_since == 0) return false;
  path.lost_since = 0;
  path.regained_at = now;
  return true;
}

bool was_lost_since(const EndpointPath& path, Millis since) {
  return path.lost_since != 0 || path.regained_at > since;
}

bool take_due_probe(EndpointPath& path, Millis now) {
  if (path.lost_since == 0) return false;
  if (path.probed_at != 0 && now - path.probed_at < kProbeInterval)
    return false;
  path.probed_at = now;
  return true;
}

}  // namespace peridotreach
