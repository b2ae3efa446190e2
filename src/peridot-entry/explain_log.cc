#include "peridot-entry/explain_log.h"

#include "runtime/clock.h"

namespace peridotreach {
namespace {

// Requests and decisions for each that are remembered.
constexpr std::size_t kMostRequests = 5000;
constexpr std::size_t kMostDecisions = 32;

}  // namespace

void ExplainLog::add(std::uint64_t request, const std::string& code,
                     const std::string& detail) {
  const auto [entry, fresh] = entries_.try_emplace(request);
  if (fresh) order_.push_back(request);
  if (entry->second.size() < kMostDecisions) {
    entry->second.push_back({wall_now_ms(), code, detail});
  }
  if (order_.size() <= kMostRequests) return;
  entries_.erase(order_.front());
  order_.pop_front();
}

std::vector<ExplainEntry> ExplainLog::about(std::uint64_t request) const {
  const auto found = entries_.find(request);
  if (found == entries_.end()) return {};
  return found->second;
}

}  // namespace peridotreach
