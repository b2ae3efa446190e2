#pragma once

// Counts refusals by minute, caller, rank, service and kind. The counts of one
// process incarnation and minute only increase, so copies are merged by taking
// the maximum, and repeated writes are idempotent.

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/refusal_kind.h"

namespace peridotreach {

// Labels under which a refusal is counted.
struct RefusalLabels {
  std::string caller;
  std::string rank;
  std::string service;
  RefusalKind kind = RefusalKind::kNone;

  auto operator<=>(const RefusalLabels&) const = default;
};

// Identifies the counts of one process incarnation and one minute; `minute` is
// in minutes since the epoch.
struct RefusalBucket {
  std::string vm;
  std::uint64_t incarnation = 0;
  std::uint64_t minute = 0;

  auto operator<=>(const RefusalBucket&) const = default;
};

// Refusal counts by bucket and labels.
struct RefusalLedger {
  std::map<RefusalBucket, std::map<RefusalLabels, std::uint64_t>> buckets;

  bool operator==(const RefusalLedger&) const = default;
};

// Total refusals with the same labels over a period, and the number of minutes
// in which they occurred.
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

// Counts one refusal in `bucket`.
void record_refusal(RefusalLedger& ledger, const RefusalBucket& bucket,
                    const RefusalLabels& labels);

// Merges `counts`, a copy of one bucket, into `ledger` by taking the maximum of
// each count.
void merge_refusal_bucket(RefusalLedger& ledger, const RefusalBucket& bucket,
                          const std::map<RefusalLabels, std::uint64_t>& counts);

// Returns the totals of each set of labels over the minutes [from, to).
std::vector<RefusalTotal> total_refusals(const RefusalLedger& ledger,
                                         std::uint64_t from, std::uint64_t to);

}  // namespace peridotreach
