#pragma once

// Turns at copying memory off an endpoint. Copies share the endpoint's link,
// so one after another each is done sooner than side by side. One process
// keeps the turns of an endpoint; they are advice, nothing breaks if two do.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// A process's wish to copy one generation's memory off an endpoint.
struct CopyRequester {
  std::string peer;
  std::uint64_t request = 0;

  bool operator==(const CopyRequester&) const = default;
};

// Turns at one endpoint.
struct EndpointCopyLease {
  std::optional<CopyRequester> holder;
  Millis held_since = 0;
  std::deque<CopyRequester> waiting;

  bool operator==(const EndpointCopyLease&) const = default;
};

// Turns by endpoint.
struct CopyLeaseTable {
  std::map<std::string, EndpointCopyLease> endpoints;

  bool operator==(const CopyLeaseTable&) const = default;
};

// A turn that may be taken now.
struct GrantedCopyLease {
  std::string endpoint;
  CopyRequester holder;

  bool operator==(const GrantedCopyLease&) const = default;
};

// Takes or renews a wish. Returns whether it holds the turn now.
bool request_copy_lease(CopyLeaseTable& book, const std::string& endpoint,
                        const CopyRequester& turn, Millis now);

// Ends a turn or withdraws a wish. Returns the next turn, if there is one.
std::optional<GrantedCopyLease> release_copy_lease(CopyLeaseTable& book,
                                                   const std::string& endpoint,
                                                   const CopyRequester& turn,
                                                   Millis now);

// Ends turns that are held too long, as their holder may be gone.
std::vector<GrantedCopyLease> expire_copy_leases(CopyLeaseTable& book,
                                                 Millis now);

}  // namespace peridotreach
