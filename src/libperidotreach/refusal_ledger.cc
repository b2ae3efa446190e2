#include "libperidotreach/refusal_ledger.h"

#include <algorithm>
#include <set>

namespace peridotreach {

void record_refusal(RefusalLedger& ledger, const RefusalBucket& page,
                    const RefusalLabels& line) {
  ledger.pages[page][line] += 1;
}

void merge_refusal_bucket(
    RefusalLedger& ledger, const RefusalBucket& page,
    const std::map<RefusalLabels, std::uint64_t>& counts) {
  auto& own = ledger.pages[page];
  for (const auto& [line, count] : counts) {
    std::uint64_t& held = own[line];
    held = std::max(held, count);
  }
}

std::vector<RefusalTotal> total_refusals(const RefusalLedger& ledger,
                                         std::uint64_t from, std::uint64_t to) {
  std::map<RefusalLabels, std::uint64_t> refusals;
  std::map<RefusalLabels, std::set<std::uint64_t>> minutes;
  for (const auto& [page, counts] : ledger.pages) {
    if (page.minute < from || page.minute >= to) continue;
    for (const auto& [line, count] : counts) {
      refusals[line] += count;
      minutes[line].insert(page.minute);
    }
  }
  std::vector<RefusalTotal> rows;
  rows.reserve(refusals.size());
  for (const auto& [line, count] : refusals) {
    rows.push_back({line, count, minutes[line].size()});
  }
  return rows;
}

}  // namespace peridotreach
