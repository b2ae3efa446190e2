#pragma once

// Permits for requests to endpoints that limit their rate. One process, the
// coordinator of an endpoint, hands out permits at the rate that the endpoint
// takes; the others request them when they have requests to send. A permit
// lapses soon after it was requested and late answers are ignored, so that the
// coordinator need not know which processes are lost or paused.

#include <cstdint>
#include <deque>
#include <optional>

#include "libperidotreach/routing/fragile_endpoints.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Time from the request of a permit until it lapses.
inline constexpr Millis kPermitLifetime = 500;

// Time for the coordinator to answer.
inline constexpr Millis kPermitTimeout = 120;

// The same for an endpoint that may be cold: what it takes is counted within a
// single second, so permits must not pile up.
inline constexpr Millis kColdPermitLifetime = 200;

// The same for the slot of a fragile endpoint, which others may need meanwhile.
inline constexpr Millis kSlotPermitLifetime = 60;

// Permits that one process requests at once at the most.
inline constexpr std::uint32_t kMaxPermitsAtOnce = 8;

// Longest time after which a process that got no permit requests one again, as
// the rate or the demand of others may have changed.
inline constexpr Millis kMaxPermitWait = kSecond;

// The permits of one endpoint at its coordinator.
struct PermitBucket {
  // Permits that can be handed out now, and when that was computed; 0 if it
  // never was.
  double permits = 0;
  Millis refilled_at = 0;
  // When the process that was last told to wait may request again.
  Millis last_slot_at = 0;
  // The slots of a fragile endpoint.
  SlotLedger slots;

  bool operator==(const PermitBucket&) const = default;
};

// The answer to a request for permits.
struct PermitGrant {
  std::uint32_t permits = 0;
  // When to request again if there was none.
  Millis retry_after = 0;

  bool operator==(const PermitGrant&) const = default;
};

// Returns the rate at which a coordinator hands out permits if it is in contact
// with `live_share` of the fleet. If the fleet is split, each part has a
// coordinator of its own; together they stay within one and a half times the
// endpoint's rate.
double permitted_rate(double requests_per_second, double live_share);

// How a coordinator hands out the permits of an endpoint.
struct PermitTerms {
  double permits_per_second = 0;
  // Permits that the bucket collects while none are requested.
  double bucket_capacity = 0;
  // Permits in a new bucket: for the first request to an endpoint that has
  // become cold, of which only a part with more than half of the fleet has one.
  double first_permits = 0;

  bool operator==(const PermitTerms&) const = default;
};

// Returns the terms for an endpoint that names a limit.
PermitTerms limit_terms(double requests_per_second, double live_share);

// Returns the terms for an endpoint that may be cold. The parts of a split
// fleet together hand out no more than the endpoint's rate and what their
// buckets keep; small parts hand out none.
PermitTerms cold_terms(double requests_per_second, double live_share);

// Returns the stricter of both terms in each respect.
PermitTerms stricter(const PermitTerms& left, const PermitTerms& right);

// Takes up to `wanted` permits out of a bucket. Processes that get none are
// given different times to request again, so that they do not all return at
// once.
PermitGrant take_from_bucket(PermitBucket& bucket, const PermitTerms& terms,
                             std::uint32_t wanted, Millis now);

// The permits that one process has for an endpoint.
struct EndpointPermits {
  // When each permit lapses, the earliest in front.
  std::deque<Millis> lapse_at;
  // Requests that need a permit and have not been requested one for.
  std::uint32_t wanted = 0;
  // Requests that were sent without a permit. The next permits are for them.
  std::uint32_t overdrawn = 0;
  // When permits were requested; 0 if no answer is awaited.
  Millis requested_at = 0;
  // Until when there is no permit, as the coordinator said.
  Millis denied_until = 0;
  // Requests that the endpoint has rejected since the last report.
  std::uint32_t rejections = 0;
  // Slots of a fragile endpoint that the coordinator takes to be held by this
  // process, and when that was last reported.
  std::uint32_t reported_slots = 0;
  Millis slots_reported_at = 0;

  bool operator==(const EndpointPermits&) const = default;
};

// Returns whether a permit is at hand.
bool has_permit(const EndpointPermits& permits, Millis now);

// Uses a permit. Without one, counts the request as waiting for it and returns
// false.
bool use_permit(EndpointPermits& permits, Millis now);

// Returns how many permits to request now, and records the request; none if
// none is needed or an answer is awaited.
std::optional<std::uint32_t> take_due_permit_request(EndpointPermits& permits,
                                                     Millis now);

// Adds the permits that were requested at `requested_at` and lapse `lifetime`
// later. Returns whether the answer was in time.
bool add_permits(EndpointPermits& permits, const PermitGrant& grant,
                 Millis requested_at, Millis lifetime, Millis now);

// Gives up an unanswered request. Returns whether there was one.
bool expire_permit_request(EndpointPermits& permits, Millis now);

}  // namespace peridotreach
