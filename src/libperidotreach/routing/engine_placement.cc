// Placement on engines at the process that has the request. It asks the
// placement coordinator of its cell (placement_coordinator.cc), so that many
// processes do not choose the same engine from outdated views. The answers are
// advisory: a process that receives none places requests by its local view.

#include <algorithm>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/peer_view.h"
#include "libperidotreach/routing/placement_queue.h"
#include "libperidotreach/routing/rendezvous.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// Part of a first-byte objective that an endpoint needs to send the first
// event.
constexpr Millis kTimeToFirstEvent = 600;

// Silence of the coordinator after which a request is placed by the local view.
constexpr Millis kCoordinatorTimeout = 120;

// Cost of an engine in another zone's cell, which another process coordinates.
constexpr double kOtherCellCost = 0.25;

// Limits for the projected KV cache share of an engine in another cell, whose
// coordinator places requests too and whose usage is reported late.
constexpr double kMaxMemoryShareOtherCell = 0.6;
constexpr double kMaxMemoryShareOtherCellForMoves = 0.9;

// Cost of a move to another zone, where a copy takes twice as long, and of a
// target whose link is used by another copy. Engines leave on short notice, in
// which a copy over a link in use rarely ends, so each cost exceeds that of an
// engine whose memory is in use.
constexpr double kCrossZoneCopyCost = 1.2;
constexpr double kConcurrentCopyCost = 2.0;

// Bounds of the time after which a caller comes back when the engines are full.
// Callers honour up to a third of the time that they have left.
constexpr Millis kMinRetryAfterFull = kSecond;
constexpr Millis kMaxRetryAfterFull = 12 * kSecond;

// Callers that come back at once are spread over this part of the time.
constexpr Millis kRetrySpreadDivisor = 4;

// How many times its first-byte objective a request waits for a placement
// before it is sent to an endpoint anyway; callers wait for four. Prioritized
// requests are sent while they can still meet their objective.
constexpr double kMaxWaitFirstByteSlos = 3.6;

Millis latest_placement_time(const RequestState& request,
                             const PlacementRequirements& requirements) {
  const Millis first_byte_slo = request.route.first_byte_slo;
  const Millis max_wait =
      is_prioritized(requirements)
          ? first_byte_slo - kTimeToFirstEvent
          : static_cast<Millis>(kMaxWaitFirstByteSlos *
                                static_cast<double>(first_byte_slo));
  return std::min(request.arrived_at + max_wait,
                  request.deadline - kTimeToFirstEvent);
}

// Returns the time with a random part that keeps callers from returning at
// once.
Millis spread_retry_after(const RoutingState& state, Millis retry_after) {
  const Millis base =
      std::clamp(retry_after, kMinRetryAfterFull, kMaxRetryAfterFull);
  const auto spread = static_cast<std::uint64_t>(base / kRetrySpreadDivisor);
  return base + static_cast<Millis>(state.random % spread);
}

// Returns the time after which the request can no longer meet its objective; 0
// if it cannot now.
Millis time_until_late(const RoutingState& state, const RequestState& request) {
  const Millis late_at =
      request.arrived_at + request.route.first_byte_slo - kTimeToFirstEvent;
  return std::max<Millis>(0, late_at - state.now);
}

}  // namespace

EndpointCriteria endpoint_criteria(const RoutingState& state,
                                   const PlacementRequirements& requirements) {
  EndpointCriteria criteria;
  if (process_count(state) > kMaxSingleCellPeers + 1) {
    criteria.other_zone_cost = kOtherCellCost;
    criteria.max_memory_share_other_zone =
        requirements.is_move ? kMaxMemoryShareOtherCellForMoves
                             : kMaxMemoryShareOtherCell;
  }
  criteria.service = requirements.service;
  criteria.projected_tokens = requirements.projected_tokens;
  criteria.zone = requirements.zone;
  criteria.max_memory_share = max_memory_share(requirements);
  criteria.prefill_tokens = requirements.prefill_tokens;
  criteria.max_prefill_tokens = max_prefill_tokens(state, requirements);
  criteria.excluded_endpoints.insert(requirements.excluded_endpoints.begin(),
                                     requirements.excluded_endpoints.end());
  criteria.follows_pace = !requirements.is_move;
  if (requirements.is_move) {
    criteria.other_zone_cost = kCrossZoneCopyCost;
    criteria.copy_cost = kConcurrentCopyCost;
  }
  return criteria;
}

PlacementRequirements placement_requirements(const RoutingState& state,
                                             const RequestState& request) {
  PlacementRequirements requirements{request.service,
                                     request.projected_tokens,
                                     request.caller_request.prompt_tokens,
                                     request.rank,
                                     state.config.zone,
                                     time_until_late(state, request) == 0};
  requirements.time_until_late = time_until_late(state, request);
  requirements.excluded_endpoints = avoided_endpoints(state, request.service);
  if (request.placement_deadline != 0)
    requirements.wait_left =
        std::max<Millis>(1, request.placement_deadline - state.now);
  return requirements;
}

bool is_own_cell_closed(const RoutingState& state) {
  return state.closed_zones.contains(state.config.zone) &&
         process_count(state) > kMaxSingleCellPeers + 1;
}

std::string cell_zone(const RoutingState& state, std::uint64_t request_number) {
  if (!is_own_cell_closed(state)) return "";
  // Processes spread their requests one by one: what a process gets is uneven.
  const std::string subject =
      state.config.vm + "/" + std::to_string(request_number);
  std::string chosen;
  std::uint64_t highest = 0;
  for (const auto& [id, endpoint] : state.endpoints) {
    const std::string& zone = endpoint.entry.zone;
    if (zone == chosen || endpoint.zone_closed_since != 0) continue;
    const std::uint64_t weight = rendezvous_weight(zone, subject);
    if (!chosen.empty() && weight <= highest) continue;
    chosen = zone;
    highest = weight;
  }
  return chosen;
}

namespace {

void request_placement(const RoutingContext& context,
                       std::uint64_t request_number, RequestState& request) {
  request.placement_requested_at = context.state.now;
  request.coordinator_answered = false;
  context.effects.push_back(RequestPlacement{
      request_number, placement_requirements(context.state, request),
      cell_zone(context.state, request_number)});
}

}  // namespace

bool wait_for_placement(const RoutingContext& context,
                        std::uint64_t request_number, RequestState& request) {
  const Millis now = context.state.now;
  const bool may_wait = request.route.kind == CallKind::kStream &&
                        request.sent_attempts == 0 && request.attempt == 0;
  if (!may_wait) return false;
  const PlacementRequirements requirements =
      placement_requirements(context.state, request);
  const bool is_new = request.placement_deadline == 0;
  if (is_new)
    request.placement_deadline = latest_placement_time(request, requirements);
  if (now >= request.placement_deadline) return false;
  if (is_new) {
    request_placement(context, request_number, request);
    return true;
  }
  if (now - request.placement_requested_at >= kPlacementRefreshInterval) {
    request_placement(context, request_number, request);
    return true;
  }
  const bool is_silent =
      !request.coordinator_answered &&
      now - request.placement_requested_at > kCoordinatorTimeout;
  if (!is_silent) return true;
  const EndpointCriteria criteria =
      endpoint_criteria(context.state, requirements);
  return choose_endpoint(context.state, criteria).empty();
}

void on_placement_answered(const RoutingContext& context,
                           const PlacementAnswered& event) {
  RequestState* request = find_request(context, event.request);
  if (request == nullptr) return;
  if (request->move.phase == MovePhase::kAwaitingTarget) {
    on_target_chosen(context, event.request, *request, event.endpoint);
    return;
  }
  if (request->placement_deadline == 0) return;
  request->coordinator_answered = true;
  if (event.retry_after > 0) {
    fail_request(context, event.request, kHttpServiceUnavailable,
                 spread_retry_after(context.state, event.retry_after),
                 "no_capacity");
    return;
  }
  if (event.endpoint.empty()) {
    if (!request->wait_recorded) {
      record_decision(context, "waits_for_capacity", event.request,
                      {{"tokens", std::to_string(request->projected_tokens)},
                       {"rank", std::to_string(request->rank)}});
    }
    request->wait_recorded = true;
    return;
  }
  const EndpointState* endpoint = find_endpoint(context, event.endpoint);
  const bool is_usable =
      endpoint != nullptr && accepts_new_requests(*endpoint, context.state.now);
  if (!is_usable) {
    // The coordinator does not know that yet. It is asked again at once.
    request->placement_requested_at = 0;
    return;
  }
  start_attempt(context, event.request, *request, event.endpoint, {});
}

}  // namespace peridotreach
