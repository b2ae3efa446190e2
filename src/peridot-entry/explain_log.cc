#include "peridot-entry/explain_log.h"

#include "runtime/clock.h"

namespace peridotreach {
namespace {

// Most requests that are kept, and most decisions for each of them.
constexpr std::size_t kMaxRequests = 5000;
constexpr std::size_t kMaxDecisionsPerRequest = 32;

}  // namespace

void ExplainLog::add(std::uint64_t request, const std::string& code,
                     const std::string& detail) {
  const auto [entry, inserted] = entries_.try_emplace(request);
  if (inserted) insertion_order_.push_back(request);
  if (entry->second.size() < kMaxDecisionsPerRequest) {
    entry->second.push_back({wall_now_ms(), code, detail});
  }
  if (insertion_order_.size() <= kMaxRequests) return;
  entries_.erase(insertion_order_.front());
  insertion_order_.pop_front();
}

std::vector<ExplainEntry> ExplainLog::decisions_for(
    std::uint64_t request) const {
  const auto found = entries_.find(request);
  if (found == entries_.end()) return {};
  return found->second;
}

}  // namespace peridotreach
