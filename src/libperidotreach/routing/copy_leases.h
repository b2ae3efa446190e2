#pragma once

// Leases for copying a generation's KV cache off an endpoint. Copies share the
// endpoint's link, so each finishes sooner if they run one after another than
// if they run in parallel. One process coordinates the leases of an endpoint.
// They are advisory: correctness does not depend on a single holder.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

struct PlacementRequirements;

// What moving a generation is worth for the time that its copy takes; the
// highest is copied first. Compared within one endpoint only.
using CopyPriority = double;

// Returns the priority of copying a generation, by its memory, its prompt
// (`prefill_tokens`) and whether it has missed an objective already.
CopyPriority copy_priority(const PlacementRequirements& requirements);

// A generation that requests a lease: the process that routes it and its
// request number there.
struct CopyRequester {
  std::string peer;
  std::uint64_t request = 0;

  bool operator==(const CopyRequester&) const = default;
};

// A generation that waits for a lease.
struct WaitingCopy {
  CopyRequester requester;
  CopyPriority priority = 0;

  bool operator==(const WaitingCopy&) const = default;
};

// The lease of one endpoint and those that wait for it, in order of arrival.
struct EndpointCopyLease {
  std::optional<CopyRequester> holder;
  Millis held_since = 0;
  std::vector<WaitingCopy> waiting;

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
// now; the holder may ask again, and one that waits may change its priority.
bool request_copy_lease(CopyLeaseTable& table, const std::string& endpoint,
                        const WaitingCopy& copy, Millis now);

// Releases the lease or leaves the queue. Returns the next holder, if any.
std::optional<GrantedCopyLease> release_copy_lease(
    CopyLeaseTable& table, const std::string& endpoint,
    const CopyRequester& requester, Millis now);

// Revokes leases that have been held for too long, since their holders may be
// gone. Returns the next holders.
std::vector<GrantedCopyLease> expire_copy_leases(CopyLeaseTable& table,
                                                 Millis now);

}  // namespace peridotreach
