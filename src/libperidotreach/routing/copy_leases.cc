#include "libperidotreach/routing/copy_leases.h"

#include <algorithm>

namespace peridotreach {
namespace {

// Twice the time that copying the largest generation to another availability
// zone takes.
constexpr Millis kMaxCopyLeaseDuration = 900;

std::optional<GrantedCopyLease> grant_next(const std::string& endpoint,
                                           EndpointCopyLease& lease,
                                           Millis now) {
  lease.holder.reset();
  if (lease.waiting.empty()) return std::nullopt;
  lease.holder = lease.waiting.front();
  lease.waiting.pop_front();
  lease.held_since = now;
  return GrantedCopyLease{endpoint, *lease.holder};
}

}  // namespace

bool request_copy_lease(CopyLeaseTable& table, const std::string& endpoint,
                        const CopyRequester& requester, Millis now) {
  EndpointCopyLease& lease = table.endpoints[endpoint];
  if (lease.holder == requester) return true;
  if (!lease.holder) {
    std::erase(lease.waiting, requester);
    lease.holder = requester;
    lease.held_since = now;
    return true;
  }
  const bool is_queued = std::find(lease.waiting.begin(), lease.waiting.end(),
                                   requester) != lease.waiting.end();
  if (!is_queued) lease.waiting.push_back(requester);
  return false;
}

std::optional<GrantedCopyLease> release_copy_lease(
    CopyLeaseTable& table, const std::string& endpoint,
    const CopyRequester& requester, Millis now) {
  const auto found = table.endpoints.find(endpoint);
  if (found == table.endpoints.end()) return std::nullopt;
  EndpointCopyLease& lease = found->second;
  std::erase(lease.waiting, requester);
  if (lease.holder != requester) return std::nullopt;
  auto next = grant_next(endpoint, lease, now);
  if (!next) table.endpoints.erase(found);
  return next;
}

std::vector<GrantedCopyLease> expire_copy_leases(CopyLeaseTable& table,
                                                 Millis now) {
  std::vector<GrantedCopyLease> granted;
  for (auto& [endpoint, lease] : table.endpoints) {
    if (!lease.holder || now - lease.held_since <= kMaxCopyLeaseDuration)
      continue;
    if (auto next = grant_next(endpoint, lease, now)) {
      granted.push_back(std::move(*next));
    }
  }
  std::erase_if(table.endpoints, [](const auto& entry) {
    return !entry.second.holder && entry.second.waiting.empty();
  });
  return granted;
}

}  // namespace peridotreach
