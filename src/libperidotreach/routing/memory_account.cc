#include "libperidotreach/routing/memory_account.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace peridotreach {
namespace {

// Memory of a process whose limit is unknown, in bytes.
constexpr std::size_t kDefaultProcessBytes = 128U << 20U;

// Parts of the process's memory. A quarter is left to code, tables and strings
// that are copied as they grow.
constexpr std::size_t kLargeRequestsDivisor = 4;
constexpr std::size_t kSmallRequestsDivisor = 8;
constexpr std::size_t kConnectionsDivisor = 4;

// Sockets of a process whose limit is unknown.
constexpr std::size_t kDefaultSockets = 4096;

// Part of the sockets that callers leave to peers, the store and listeners.
constexpr std::size_t kOtherSocketsDivisor = 4;

bool is_large(std::size_t bytes) { return bytes > kSmallRequestBytes; }

std::size_t large_part(std::size_t bytes) {
  return is_large(bytes) ? bytes : 0;
}

// Bytes by which the account would exceed its limits if `holder`, which is not
// ending, had `bytes`.
// Memory of holders that are ending counts as free if `count_ending` is false.
std::size_t excess(const MemoryAccount& account, std::uint64_t holder,
                   std::size_t bytes, bool count_ending) {
  const std::size_t before = account.requests.at(holder).bytes;
  std::size_t all = account.request_bytes - before + bytes;
  std::size_t large =
      account.large_request_bytes + large_part(bytes) - large_part(before);
  if (!count_ending) {
    all -= account.ending_bytes;
    large -= account.ending_large_bytes;
  }
  const MemoryShares& shares = account.shares;
  const std::size_t limit = shares.large_requests + shares.small_requests;
  std::size_t over = all > limit ? all - limit : 0;
  if (is_large(bytes) && large > shares.large_requests)
    over = std::max(over, large - shares.large_requests);
  return over;
}

// Returns the holder that gives way to `asker`, none if nobody does. Those who
// hold much for long without progress go first. Then large requests give way to
// a small one, and those that wait to the one that arrived first once it has
// waited, so that one of them gets through.
std::optional<std::uint64_t> holder_to_end(const MemoryAccount& account,
                                           std::uint64_t asker,
                                           std::size_t asked, Millis now) {
  using Rank = std::tuple<bool, bool, std::size_t, std::uint64_t>;
  std::optional<std::uint64_t> chosen;
  Rank chosen_rank;
  const bool asker_is_small = !is_large(asked);
  bool asker_is_first =
      now - account.requests.at(asker).waiting_since >= kStalledAfter;
  for (const auto& [number, held] : account.requests) {
    if (number >= asker) break;
    if (held.is_reading && !held.is_ending && is_large(held.bytes))
      asker_is_first = false;
  }
  for (const auto& [number, held] : account.requests) {
    if (number == asker || !held.is_reading || held.is_ending) continue;
    const Millis idle = now - held.progressed_at;
    const bool is_stalled = !held.is_waiting && idle >= kStalledAfter;
    const bool yields_to_first =
        asker_is_first && held.is_waiting && is_large(held.bytes);
    if (!is_stalled && !asker_is_small && !yields_to_first) continue;
    const std::size_t weight =
        is_stalled ? held.bytes * static_cast<std::size_t>(idle) : 0;
    const Rank rank{is_stalled, is_large(held.bytes), weight, number};
    if (chosen && rank <= chosen_rank) continue;
    chosen = number;
    chosen_rank = rank;
  }
  return chosen;
}

void set_bytes(MemoryAccount& account, HeldRequest& held, std::size_t bytes) {
  account.request_bytes += bytes - held.bytes;
  if (is_large(held.bytes)) account.large_request_bytes -= held.bytes;
  if (is_large(bytes)) account.large_request_bytes += bytes;
  held.bytes = bytes;
}

}  // namespace

MemoryShares memory_shares(std::size_t process_limit,
                           std::size_t largest_request) {
  const std::size_t limit =
      process_limit == 0 ? kDefaultProcessBytes : process_limit;
  return {std::max(limit / kLargeRequestsDivisor, largest_request),
          std::max(limit / kSmallRequestsDivisor, kSmallRequestBytes),
          response_limit(limit), limit / kConnectionsDivisor};
}

std::size_t caller_socket_limit(std::size_t sockets) {
  return sockets - sockets / kOtherSocketsDivisor;
}

std::size_t query_socket_limit(std::size_t sockets) {
  return (sockets == 0 ? kDefaultSockets : sockets) / kOtherSocketsDivisor /
         kOtherSocketsDivisor;
}

MemoryAnswer hold_request(MemoryAccount& account, std::uint64_t holder,
                          std::size_t bytes, Millis now) {
  HeldRequest& held = account.requests[holder];
  held.progressed_at = now;
  if (held.is_ending) return {};
  MemoryAnswer answer;
  const bool fits =
      bytes <= held.bytes || excess(account, holder, bytes, true) == 0;
  if (fits) {
    set_bytes(account, held, bytes);
    held.is_waiting = false;
    answer.is_granted = true;
    return answer;
  }
  if (!held.is_waiting) held.waiting_since = now;
  held.is_waiting = true;
  while (excess(account, holder, bytes, false) > 0) {
    const auto chosen = holder_to_end(account, holder, bytes, now);
    if (!chosen) break;
    HeldRequest& ending = account.requests.at(*chosen);
    ending.is_ending = true;
    account.ending_bytes += ending.bytes;
    account.ending_large_bytes += large_part(ending.bytes);
    answer.to_end.push_back(*chosen);
  }
  return answer;
}

void complete_request(MemoryAccount& account, std::uint64_t holder) {
  const auto found = account.requests.find(holder);
  if (found == account.requests.end()) return;
  found->second.is_reading = false;
  found->second.is_waiting = false;
}

void release_request(MemoryAccount& account, std::uint64_t holder) {
  const auto found = account.requests.find(holder);
  if (found == account.requests.end()) return;
  if (found->second.is_ending) {
    account.ending_bytes -= found->second.bytes;
    account.ending_large_bytes -= large_part(found->second.bytes);
  }
  set_bytes(account, found->second, 0);
  account.requests.erase(found);
}

}  // namespace peridotreach
