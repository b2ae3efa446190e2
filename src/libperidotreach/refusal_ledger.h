#pragma once

// Counts of refusals by minute, caller, rank, service and kind. Counts of one
// process incarnation and minute only grow, so copies merge by the maximum
// and a repeated write changes nothing.

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/refusal_kind.h"

namespace peridotreach {

// What a refusal is counted under.
struct RefusalLabels {
  std::string caller;
  std::string rank;
  std::string service;
  RefusalKind kind = RefusalKind::kNone;

  auto operator<=>(const RefusalLabels&) const = default;
};

// The process incarnation and minute (since the epoch) that counts belong to.
struct RefusalBucket {
  std::string vm;
  std::uint64_t incarnation = 0;
  std::uint64_t minute = 0;

  auto operator<=>(const RefusalBucket&) const = default;
};

// Counts by page and line.
struct RefusalLedger {
  std::map<RefusalBucket, std::map<RefusalLabels, std::uint64_t>> pages;

  bool operator==(const RefusalLedger&) const = default;
};

// One row of an account of refusals.
struct RefusalTotal {
  RefusalLabels labels;
  std::uint64_t refusals = 0;
  std::uint64_t minutes_with_refusals = 0;

  bool operator==(const RefusalTotal&) const = default;
};

template <class F>
auto inspect(F& f, RefusalLabels& x) {
  return f(x.caller, x.rank, x.service, x.kind);
}
template <class F>
auto inspect(F& f, RefusalBucket& x) {
  return f(x.vm, x.incarnation, x.minute);
}

// Counts one refusal.
void record_refusal(RefusalLedger& ledger, const RefusalBucket& page,
                    const RefusalLabels& line);

// Merges a copy of one page by the maximum of each count.
void merge_refusal_bucket(RefusalLedger& ledger, const RefusalBucket& page,
                          const std::map<RefusalLabels, std::uint64_t>& counts);

// Returns refusals and minutes with refusals for each line in the minutes
// [from, to).
std::vector<RefusalTotal> total_refusals(const RefusalLedger& ledger,
                                         std::uint64_t from, std::uint64_t to);

}  // namespace peridotreach
