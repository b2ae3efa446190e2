#include "libperidotreach/routing/placement_queue.h"

#include <algorithm>
#include <tuple>

#include "libperidotreach/routing/endpoint_choice.h"

namespace peridotreach {
namespace {

// Groups of requests in the order in which they are served.
enum class ServiceGroup { kPrioritized, kInTime, kLate };

ServiceGroup group_of(const PlacementRequirements& requirements) {
  if (is_prioritized(requirements)) return ServiceGroup::kPrioritized;
  return requirements.is_late ? ServiceGroup::kLate : ServiceGroup::kInTime;
}

// Returns the expected product of memory and time, in tokens times tokens: each
// step of a generation makes one token.
std::uint64_t memory_time(const PlacementRequirements& requirements) {
  const std::uint64_t output =
      requirements.projected_tokens -
      std::min(requirements.projected_tokens, requirements.prefill_tokens);
  return requirements.projected_tokens * (output + 1);
}

}  // namespace

void enqueue_placement(PlacementQueue& queue, const PlacementRequested& event,
                       Millis now) {
  const auto found = std::find_if(
      queue.begin(), queue.end(), [&](const WaitingPlacement& waiting) {
        return waiting.peer == event.peer && waiting.request == event.request;
      });
  if (found == queue.end()) {
    queue.push_back(
        {event.peer, event.request, event.requirements, now, now, 0});
    return;
  }
  found->requirements = event.requirements;
  found->refreshed_at = now;
}

void remove_placement(PlacementQueue& queue, const std::string& peer,
                      std::uint64_t request) {
  std::erase_if(queue, [&](const WaitingPlacement& waiting) {
    return waiting.peer == peer && waiting.request == request;
  });
}

void expire_placements(PlacementQueue& queue, Millis now) {
  std::erase_if(queue, [&](const WaitingPlacement& waiting) {
    return now - waiting.refreshed_at > kPlacementQueueTimeout;
  });
}

bool is_served_before(const WaitingPlacement& left,
                      const WaitingPlacement& right) {
  const ServiceGroup left_group = group_of(left.requirements);
  const ServiceGroup right_group = group_of(right.requirements);
  if (left_group != right_group) return left_group < right_group;
  if (left_group == ServiceGroup::kInTime) {
    return std::make_tuple(left.requirements.rank,
                           memory_time(left.requirements), left.waiting_since) <
           std::make_tuple(right.requirements.rank,
                           memory_time(right.requirements),
                           right.waiting_since);
  }
  return std::make_tuple(left.requirements.rank, left.waiting_since) <
         std::make_tuple(right.requirements.rank, right.waiting_since);
}

bool has_same_limits(const PlacementRequirements& left,
                     const PlacementRequirements& right) {
  return left.service == right.service && left.zone == right.zone &&
         max_memory_share(left) == max_memory_share(right) &&
         left.excluded_endpoints == right.excluded_endpoints;
}

}  // namespace peridotreach
