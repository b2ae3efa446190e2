#pragma once

// When an endpoint may be cold. A cold endpoint takes fewer requests a second
// than a warm one; its service's configuration says how many and for how long.

#include <optional>

#include "libperidotreach/time.h"

namespace peridotreach {

struct EndpointState;
struct RoutingState;
struct ServiceSpec;

// Time from the failure of an endpoint until an entry that is received may be
// taken as written after it if it says that the endpoint is cold. Entries
// travel through the store and from peer to peer.
inline constexpr Millis kColdEntryDelay = 500;

// The same for an entry that says that it is warm, by which nothing bounds the
// requests any more: also if the store is slow.
inline constexpr Millis kWarmEntryDelay = 2 * kSecond;

// What is known of the phases in which one endpoint is cold.
struct ColdPhase {
  // Until when it is cold by its newest entry.
  Millis entry_until = 0;
  // When it started, or answered again after it had been suspected; it may be
  // cold for its service's cold start time from then on. 0 if neither happened.
  Millis started_at = 0;
  // Since when it may have become cold unnoticed, until it answers or has
  // written another entry; 0 if it is not suspected.
  Millis suspected_since = 0;

  bool operator==(const ColdPhase&) const = default;
};

// Records that the endpoint was listed for the first time or started anew.
void observe_start(ColdPhase& phase, Millis now);

// Records that the endpoint may have become cold: a connection or an answer
// failed, or no request was to be sent to it for a while.
void suspect_cold(ColdPhase& phase, Millis now);

// Records that the endpoint answers. If it has come back cold, it has not been
// back for longer than this process has suspected it, so that it is warm within
// the cold start time.
void observe_answer(ColdPhase& phase, Millis now);

// Records an entry by which the endpoint stays cold for `remaining`. `is_newer`
// says whether it was written after the entry that was known.
void observe_entry(ColdPhase& phase, Millis remaining, bool is_newer,
                   Millis now);

// Returns whether an endpoint with this cold start time may be cold.
bool may_be_cold(const ColdPhase& phase, Millis cold_start, Millis now);

// Returns how many requests a second the endpoint takes from all processes
// together because it may be cold; none if it is warm or its service names no
// such rate. `service` is that of the endpoint, null if it is not configured.
std::optional<double> cold_rate(const ServiceSpec* service,
                                const EndpointState& endpoint, Millis now);
std::optional<double> cold_rate(const RoutingState& state,
                                const EndpointState& endpoint);

}  // namespace peridotreach
