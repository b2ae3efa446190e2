#include "libperidotreach/refusal_ledger.h"

#include <algorithm>
#include <set>

namespace peridotreach {

void record_refusal(RefusalLedger& ledger, const RefusalBucket& bucket,
                    const RefusalLabels& labels) {
  ledger.buckets[bucket][labels] += 1;
}

void merge_refusal_bucket(
    RefusalLedger& ledger, const RefusalBucket& bucket,
    const std::map<RefusalLabels, std::uint64_t>& counts) {
  auto& merged_counts = ledger.buckets[bucket];
  for (const auto& [labels, count] : counts) {
    std::uint64_t& merged = merged_counts[labels];
    merged = std::max(merged, count);
  }
}

std::vector<RefusalTotal> total_refusals(const RefusalLedger& ledger,
                                         std::uint64_t from, std::uint64_t to) {
  std::map<RefusalLabels, std::uint64_t> refusals;
  std::map<RefusalLabels, std::set<std::uint64_t>> minutes;
  for (const auto& [bucket, counts] : ledger.buckets) {
    if (bucket.minute < from || bucket.minute >= to) continue;
    for (const auto& [labels, count] : counts) {
      refusals[labels] += count;
      minutes[labels].insert(bucket.minute);
    }
  }
  std::vector<RefusalTotal> rows;
  rows.reserve(refusals.size());
  for (const auto& [labels, count] : refusals) {
    rows.push_back({labels, count, minutes[labels].size()});
  }
  return rows;
}

}  // namespace peridotreach
