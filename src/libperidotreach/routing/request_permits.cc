#include "libperidotreach/routing/request_permits.h"

#include <algorithm>
#include <cmath>

namespace peridotreach {
namespace {

// A bucket collects the permits of this time, or a few if that is more, so that
// the permits of slow buckets are not lost in a short pause of demand.
constexpr Millis kBucketPeriod = 500;
constexpr double kMinBucketCapacity = 3;

// The same for endpoints that may be cold: a tenth of what they take in the
// second in which it is counted.
constexpr Millis kColdBucketPeriod = 100;

// Permits that the buckets of all parts of a fleet keep in any case, beside one
// each, so that the permits of low rates are not lost between two requests.
constexpr double kMinSharedPermits = 2;

// Permits that the buckets of all parts may keep beside those: this share of a
// second's permits, and these. Each part keeps at least one, so that parts
// which are too small for that get none.
constexpr double kMaxKeptShare = 0.2;
constexpr double kMaxKeptPermits = 3;

// Rate for parts that get no permits, so that the time until the next request
// stays finite.
constexpr double kMinColdPermitsPerSecond = 0.01;

// Rate for endpoints that take no requests. A request now and then shows when
// the limit ends.
constexpr double kMinPermitsPerSecond = 0.2;

// Share of the fleet from which a coordinator hands out the full rate. At most
// one part of a split fleet is larger.
constexpr double kMajority = 0.5;

// Time without permits after a request that was not answered. By then, another
// process may coordinate the endpoint.
constexpr Millis kRetryAfterTimeout = 300;

}  // namespace

double permitted_rate(double requests_per_second, double live_share) {
  const double part = live_share > kMajority ? 1.0 : live_share;
  return std::max(requests_per_second, kMinPermitsPerSecond) * part;
}

PermitTerms limit_terms(double requests_per_second, double live_share) {
  const double rate = permitted_rate(requests_per_second, live_share);
  return {rate, std::max(kMinBucketCapacity, rate * kBucketPeriod / kSecond),
          0};
}

PermitTerms cold_terms(double requests_per_second, double live_share) {
  const double max_parts =
      kMaxKeptShare * requests_per_second + kMaxKeptPermits;
  if (live_share * max_parts < 1) return {kMinColdPermitsPerSecond, 0, 0};
  const double rate =
      std::max(requests_per_second * live_share, kMinColdPermitsPerSecond);
  return {rate,
          std::max(1.0 + kMinSharedPermits * live_share,
                   rate * kColdBucketPeriod / kSecond),
          live_share > kMajority ? 1.0 : 0.0};
}

PermitTerms stricter(const PermitTerms& left, const PermitTerms& right) {
  return {std::min(left.permits_per_second, right.permits_per_second),
          std::min(left.bucket_capacity, right.bucket_capacity),
          std::min(left.first_permits, right.first_permits)};
}

PermitGrant take_from_bucket(PermitBucket& bucket, const PermitTerms& terms,
                             std::uint32_t wanted, Millis now) {
  const double per_ms = terms.permits_per_second / kSecond;
  if (bucket.refilled_at == 0) {
    bucket.permits = terms.first_permits;
  } else {
    const auto elapsed = static_cast<double>(now - bucket.refilled_at);
    bucket.permits =
        std::min(terms.bucket_capacity, bucket.permits + per_ms * elapsed);
  }
  bucket.refilled_at = now;
  PermitGrant grant;
  grant.permits =
      std::min(wanted, static_cast<std::uint32_t>(std::floor(bucket.permits)));
  bucket.permits -= grant.permits;
  if (grant.permits > 0 || wanted == 0) return grant;
  const auto next_permit_at =
      now + static_cast<Millis>(std::ceil((1.0 - bucket.permits) / per_ms));
  const auto next_slot_at =
      bucket.last_slot_at + static_cast<Millis>(std::ceil(1.0 / per_ms));
  bucket.last_slot_at =
      std::min(std::max(next_permit_at, next_slot_at), now + kMaxPermitWait);
  grant.retry_after = bucket.last_slot_at - now;
  return grant;
}

bool has_permit(const EndpointPermits& permits, Millis now) {
  return !permits.lapse_at.empty() && permits.lapse_at.back() > now;
}

bool use_permit(EndpointPermits& permits, Millis now) {
  while (!permits.lapse_at.empty() && permits.lapse_at.front() <= now)
    permits.lapse_at.pop_front();
  if (!permits.lapse_at.empty()) {
    permits.lapse_at.pop_front();
    return true;
  }
  // Requests that wait while an answer is awaited are counted after it.
  if (permits.requested_at == 0) permits.wanted += 1;
  return false;
}

std::optional<std::uint32_t> take_due_permit_request(EndpointPermits& permits,
                                                     Millis now) {
  const bool is_due = permits.wanted > 0 && permits.requested_at == 0 &&
                      permits.denied_until <= now;
  if (!is_due) return std::nullopt;
  const std::uint32_t count =
      std::min(permits.wanted + permits.overdrawn, kMaxPermitsAtOnce);
  permits.wanted = 0;
  permits.requested_at = now;
  return count;
}

bool add_permits(EndpointPermits& permits, const PermitGrant& grant,
                 Millis requested_at, Millis lifetime, Millis now) {
  if (permits.requested_at == 0 || permits.requested_at != requested_at)
    return false;
  permits.requested_at = 0;
  const std::uint32_t repaid = std::min(permits.overdrawn, grant.permits);
  permits.overdrawn -= repaid;
  const Millis lapse_at = requested_at + lifetime;
  const auto later = std::upper_bound(permits.lapse_at.begin(),
                                      permits.lapse_at.end(), lapse_at);
  permits.lapse_at.insert(later, grant.permits - repaid, lapse_at);
  if (grant.permits == 0) permits.denied_until = now + grant.retry_after;
  return true;
}

bool expire_permit_request(EndpointPermits& permits, Millis now) {
  const bool has_expired =
      permits.requested_at != 0 && now - permits.requested_at > kPermitTimeout;
  if (!has_expired) return false;
  permits.requested_at = 0;
  permits.denied_until = now + kRetryAfterTimeout;
  return true;
}

}  // namespace peridotreach
