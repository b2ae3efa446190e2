#include "libperidotreach/routing/notice_polls.h"

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/routing_state.h"

namespace peridotreach {
namespace {

bool expects_notices(const RoutingState& state, const std::string& service) {
  const auto last = state.last_leaving_at.find(service);
  return last != state.last_leaving_at.end() &&
         state.now - last->second <= kNoticesExpectedFor;
}

}  // namespace

PollResult poll_result(const PollAnswer& answer, int answers_in_a_row) {
  if (answer.says_leaving) return PollResult::kLeaves;
  if (!answer.closes_connection) return PollResult::kStays;
  return answers_in_a_row < kClosedAnswersOfLeaving ? PollResult::kAskAgain
                                                    : PollResult::kLeaves;
}

std::vector<std::string> engines_to_ask(const RoutingState& state,
                                        const NoticeDelivery& delivery) {
  std::vector<std::string> engines;
  const bool may_miss_notices =
      delivery.confirmation_age &&
      *delivery.confirmation_age > kMaxConfirmationAgeForNotices;
  if (!delivery.store_unreachable && !may_miss_notices) return engines;
  for (const auto& [id, endpoint] : state.endpoints) {
    const bool is_used = endpoint.own_usage.running_requests +
                             endpoint.peer_usage.running_requests >
                         0;
    if (!is_used || endpoint.leaving_since != 0) continue;
    const std::string& service = endpoint.entry.service;
    if (find_engine_spec(state, service) == nullptr) continue;
    if (!delivery.store_unreachable && !expects_notices(state, service))
      continue;
    engines.push_back(id);
  }
  return engines;
}

}  // namespace peridotreach
