#include "libperidotreach/routing/copy_leases.h"

#include <algorithm>

namespace peridotreach {
namespace {

// The longest that a turn is held: twice the time that the largest generation
// takes to another availability zone.
constexpr Millis kLongestTurn = 900;

std::optional<GrantedCopyLease> grant_next(const std::string& endpoint,
                                           EndpointCopyLease& turns,
                                           Millis now) {
  turns.holder.reset();
  if (turns.waiting.empty()) return std::nullopt;
  turns.holder = turns.waiting.front();
  turns.waiting.pop_front();
  turns.held_since = now;
  return GrantedCopyLease{endpoint, *turns.holder};
}

}  // namespace

bool request_copy_lease(CopyLeaseTable& book, const std::string& endpoint,
                        const CopyRequester& turn, Millis now) {
  EndpointCopyLease& turns = book.endpoints[endpoint];
  if (turns.holder == turn) return true;
  if (!turns.holder) {
    std::erase(turns.waiting, turn);
    turns.holder = turn;
    turns.held_since = now;
    return true;
  }
  const bool waits = std::find(turns.waiting.begin(), turns.waiting.end(),
                               turn) != turns.waiting.end();
  if (!waits) turns.waiting.push_back(turn);
  return false;
}

std::optional<GrantedCopyLease> release_copy_lease(CopyLeaseTable& book,
                                                   const std::string& endpoint,
                                                   const CopyRequester& turn,
                                                   Millis now) {
  const auto found = book.endpoints.find(endpoint);
  if (found == book.endpoints.end()) return std::nullopt;
  EndpointCopyLease& turns = found->second;
  std::erase(turns.waiting, turn);
  if (turns.holder != turn) return std::nullopt;
  auto next = grant_next(endpoint, turns, now);
  if (!next) book.endpoints.erase(found);
  return next;
}

std::vector<GrantedCopyLease> expire_copy_leases(CopyLeaseTable& book,
                                                 Millis now) {
  std::vector<GrantedCopyLease> granted;
  for (auto& [endpoint, turns] : book.endpoints) {
    if (!turns.holder || now - turns.held_since <= kLongestTurn) continue;
    if (auto next = grant_next(endpoint, turns, now)) {
      granted.push_back(std::move(*next));
    }
  }
  std::erase_if(book.endpoints, [](const auto& entry) {
    return !entry.second.holder && entry.second.waiting.empty();
  });
  return granted;
}

}  // namespace peridotreach
