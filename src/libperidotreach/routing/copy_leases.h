#pragma once

// Leases for copying a generation's KV cache off an endpoint. Copies share the
// endpoint's link, so each finishes sooner if they run one after another than
// if they run in parallel. One process coordinates the leases of an endpoint.
// They are advisory: correctness does not depend on a single holder.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// A generation that requests a lease: the process that routes it and its
// request number there.
struct CopyRequester {
  std::string peer;
  std::uint64_t request = 0;

  bool operator==(const CopyRequester&) const = default;
};

// The lease of one endpoint and the queue for it.
struct EndpointCopyLease {
  std::optional<CopyRequester> holder;
  Millis held_since = 0;
  std::deque<CopyRequester> waiting;

  bool operator==(const EndpointCopyLease&) const = default;
};

// Leases by endpoint.
struct CopyLeaseTable {
  std::map<std::string, EndpointCopyLease> endpoints;

  bool operator==(const CopyLeaseTable&) const = default;
};

// A lease that its holder may use now.
struct GrantedCopyLease {
  std::string endpoint;
  CopyRequester holder;

  bool operator==(const GrantedCopyLease&) const = default;
};

// Requests the lease or queues for it. Returns whether `requester` holds it
// now; the holder may ask again.
bool request_copy_lease(CopyLeaseTable& table, const std::string& endpoint,
                        const CopyRequester& requester, Millis now);

// Releases the lease or leaves the queue. Returns the next holder, if any.
std::optional<GrantedCopyLease> release_copy_lease(
    CopyLeaseTable& table, const std::string& endpoint,
    const CopyRequester& requester, Millis now);

// Revokes leases that have been held for too long, since their holders may be
// gone. Returns the next holders.
std::vector<GrantedCopyLease> expire_copy_leases(CopyLeaseTable& table,
                                                 Millis now);

}  // namespace peridotreach
