#include "libperidotreach/routing/copy_leases.h"

#include <algorithm>

#include "libperidotreach/routing/routing_event.h"

namespace peridotreach {
namespace {

// Twice the time that copying the largest generation to another availability
// zone takes.
constexpr Millis kMaxCopyLeaseDuration = 900;

// What a caller values a generated token at, in tokens of the prompt, and a
// generation that has missed an objective at, beside one that is in time.
constexpr double kOutputTokenValue = 10;
constexpr double kLateValue = 0.2;

void remove_waiting(EndpointCopyLease& lease, const CopyRequester& requester) {
  std::erase_if(lease.waiting, [&](const WaitingCopy& other) {
    return other.requester == requester;
  });
}

std::optional<GrantedCopyLease> grant_next(const std::string& endpoint,
                                           EndpointCopyLease& lease,
                                           Millis now) {
  lease.holder.reset();
  if (lease.waiting.empty()) return std::nullopt;
  const auto next =
      std::max_element(lease.waiting.begin(), lease.waiting.end(),
                       [](const WaitingCopy& left, const WaitingCopy& right) {
                         return left.priority < right.priority;
                       });
  lease.holder = next->requester;
  lease.waiting.erase(next);
  lease.held_since = now;
  return GrantedCopyLease{endpoint, *lease.holder};
}

}  // namespace

CopyPriority copy_priority(const PlacementRequirements& requirements) {
  const auto prompt = static_cast<double>(requirements.prefill_tokens);
  const auto all = static_cast<double>(requirements.projected_tokens);
  const double value = prompt + kOutputTokenValue * std::max(0.0, all - prompt);
  return (requirements.is_late ? kLateValue : 1.0) * value / std::max(1.0, all);
}

bool request_copy_lease(CopyLeaseTable& table, const std::string& endpoint,
                        const WaitingCopy& copy, Millis now) {
  EndpointCopyLease& lease = table.endpoints[endpoint];
  if (lease.holder == copy.requester) return true;
  if (!lease.holder) {
    remove_waiting(lease, copy.requester);
    lease.holder = copy.requester;
    lease.held_since = now;
    return true;
  }
  const auto queued = std::find_if(lease.waiting.begin(), lease.waiting.end(),
                                   [&](const WaitingCopy& other) {
                                     return other.requester == copy.requester;
                                   });
  if (queued == lease.waiting.end()) {
    lease.waiting.push_back(copy);
  } else {
    queued->priority = copy.priority;
  }
  return false;
}

std::optional<GrantedCopyLease> release_copy_lease(
    CopyLeaseTable& table, const std::string& endpoint,
    const CopyRequester& requester, Millis now) {
  const auto found = table.endpoints.find(endpoint);
  if (found == table.endpoints.end()) return std::nullopt;
  EndpointCopyLease& lease = found->second;
  remove_waiting(lease, requester);
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
