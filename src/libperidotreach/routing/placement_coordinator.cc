// The placement coordinator of a cell: places the requests of all processes of
// the cell on its engines, queues those for which there is no capacity, passes
// them on to other cells, and rejects those that would time out in the queue.

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/peer_view.h"
#include "libperidotreach/routing/placement_queue.h"
#include "libperidotreach/routing/queue_wait.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

// Projected KV cache share of another cell's engine up to which a request is
// passed on to its coordinator, and the time after which the request is passed
// on again or placed in this cell although its engines are busy.
constexpr double kMaxMemoryShareToForward = 0.9;
constexpr Millis kForwardInterval = 200;

// Requests that are passed on at once at the most. They would all go to the
// same few engines of another cell, as reports of it are late.
constexpr std::size_t kMaxForwardsAtOnce = 4;

// Part of the shortest first-byte objective that the prompts of an engine may
// take for it to be preferred for a prioritized request.
constexpr double kObjectiveSharePrioritized = 0.53;

// How long a move that found no capacity holds back new requests; it is
// requested again well within this time.
constexpr Millis kBlockedMoveLifetime = 300;

// Time until a placement shows in the usage that the other process reports.
constexpr Millis kReservationLifetime = 350;

bool has_blocked_move(const RoutingState& state, const std::string& service) {
  return std::any_of(state.blocked_moves.begin(), state.blocked_moves.end(),
                     [&](const BlockedMove& move) {
                       return move.service == service &&
                              move.expires_at > state.now;
                     });
}

// Returns how many processes may be placement coordinators: one in each
// availability zone.
std::size_t coordinator_count(const RoutingState& state) {
  std::set<std::string> zones;
  for (const auto& [id, endpoint] : state.endpoints) {
    zones.insert(endpoint.entry.zone);
  }
  return zones.size();
}

void update_blocked_moves(RoutingState& state, const PlacementRequested& event,
                          bool has_capacity) {
  std::erase_if(state.blocked_moves, [&](const BlockedMove& move) {
    return move.expires_at <= state.now ||
           (move.peer == event.peer && move.request == event.request);
  });
  if (has_capacity) return;
  state.blocked_moves.push_back({event.peer, event.request,
                                 event.requirements.service,
                                 state.now + kBlockedMoveLifetime});
}

}  // namespace

bool charge_move(const RoutingContext& context, const PlacementRequested& move,
                 std::size_t process_count) {
  RoutingState& state = context.state;
  auto& charged = state.charged_moves;
  std::erase_if(charged, [&](const ChargedMove& other) {
    return other.expires_at <= state.now;
  });
  const std::vector<std::string>& excluded =
      move.requirements.excluded_endpoints;
  const std::string source = excluded.empty() ? std::string() : excluded.back();
  const bool is_charged = std::any_of(
      charged.begin(), charged.end(), [&](const ChargedMove& other) {
        return other.peer == move.peer && other.request == move.request &&
               other.source == source;
      });
  if (is_charged) return true;
  if (!try_take_service_retry(context, move.requirements.service,
                              process_count))
    return false;
  charged.push_back({move.peer, move.request, source,
                     state.now + state.config.retry_limits.window / 2});
  return true;
}

namespace {

// Answers a request for a placement and reserves the capacity that it uses
// until the peer's reports include it.
void grant_placement(const RoutingContext& context, const std::string& peer,
                     std::uint64_t request, const std::string& endpoint,
                     const PlacementRequirements& requirements,
                     const std::string& forwarded_by = "") {
  RoutingState& state = context.state;
  context.effects.push_back(
      AnswerPlacement{peer, request, endpoint, forwarded_by});
  state.last_grant_at = state.now;
  EndpointState* granted = find_endpoint(context, endpoint);
  if (granted != nullptr && !requirements.is_move)
    record_paced_grant(granted->pace, requirements.prefill_tokens, state.now);
  // This process counts its own requests as soon as it handles the answer.
  const Millis expires_at =
      peer == state.config.vm ? state.now : state.now + kReservationLifetime;
  state.reservations.push_back({endpoint, requirements.projected_tokens,
                                requirements.prefill_tokens, expires_at,
                                requirements.is_move});
}

void expire_reservations(RoutingState& state) {
  std::erase_if(state.reservations,
                [&](const PlacementReservation& reservation) {
                  return reservation.expires_at <= state.now;
                });
}

void place_move(const RoutingContext& context,
                const PlacementRequested& event) {
  RoutingState& state = context.state;
  std::string endpoint =
      choose_for_move(context, endpoint_criteria(state, event.requirements));
  update_blocked_moves(state, event, !endpoint.empty());
  if (!endpoint.empty() &&
      !charge_move(context, event, coordinator_count(state))) {
    record_decision(
        context, "move_withheld", 0,
        {{"peer", event.peer}, {"cause", "retry budget is used up"}});
    endpoint.clear();
  }
  if (endpoint.empty()) {
    context.effects.push_back(
        AnswerPlacement{event.peer, event.request, endpoint, ""});
    return;
  }
  grant_placement(context, event.peer, event.request, endpoint,
                  event.requirements);
  expire_reservations(context.state);
}

// Returns whether a request that could not be placed has the same limits and is
// not larger. Late requests do not overtake each other, so that smaller ones do
// not keep a large one waiting for ever.
bool cannot_be_placed(const std::vector<PlacementRequirements>& not_placed,
                      const PlacementRequirements& requirements) {
  return std::any_of(
      not_placed.begin(), not_placed.end(),
      [&](const PlacementRequirements& other) {
        return has_same_limits(other, requirements) &&
               (requirements.is_late ||
                other.projected_tokens <= requirements.projected_tokens);
      });
}

bool is_one_cell(const RoutingState& state) {
  return process_count(state) <= kMaxSingleCellPeers + 1;
}

// Returns an engine of this process's own cell for a new request, empty if none
// has capacity.
PermittedChoice choose_engine_in_cell(const RoutingContext& context,
                                      const PlacementRequirements& requirements,
                                      bool may_queue_prompts,
                                      const std::string& awaited_permit) {
  const RoutingState& state = context.state;
  EndpointCriteria criteria = endpoint_criteria(state, requirements);
  if (is_one_cell(state))
    return choose_with_permit(context, criteria, awaited_permit);
  criteria.zone = state.config.zone;
  criteria.scope = ZoneScope::kPreferred;
  if (may_queue_prompts) criteria.follows_pace = false;
  if (is_prioritized(requirements) && !may_queue_prompts)
    criteria.max_prefill_tokens =
        prefill_tokens_within(state, kObjectiveSharePrioritized);
  return choose_with_permit(context, criteria, awaited_permit);
}

// Returns the availability zone whose cell seems to have capacity for a
// request, empty if none does.
std::string zone_with_capacity(const RoutingState& state,
                               const PlacementRequirements& requirements) {
  EndpointCriteria criteria = endpoint_criteria(state, requirements);
  criteria.zone = state.config.zone;
  criteria.scope = ZoneScope::kOthers;
  criteria.max_memory_share_other_zone =
      std::min(criteria.max_memory_share, kMaxMemoryShareToForward);
  if (is_prioritized(requirements))
    criteria.max_prefill_tokens =
        prefill_tokens_within(state, kObjectiveSharePrioritized);
  const std::string endpoint = choose_endpoint(state, criteria);
  return endpoint.empty() ? "" : state.endpoints.at(endpoint).entry.zone;
}

// Passes a request on to another cell that seems to have capacity. Returns
// whether it did.
bool forward_placement(const RoutingContext& context,
                       WaitingPlacement& waiting) {
  const RoutingState& state = context.state;
  if (is_one_cell(state)) return false;
  const std::string zone = zone_with_capacity(state, waiting.requirements);
  if (zone.empty()) return false;
  waiting.forwarded_at = state.now;
  context.effects.push_back(ForwardPlacement{
      zone, waiting.peer, waiting.request, waiting.requirements});
  return true;
}

// Places a request that the coordinator of another cell passed on, if there is
// capacity now. That coordinator keeps it in its queue meanwhile.
void place_forwarded(const RoutingContext& context,
                     const PlacementRequested& event) {
  const std::string endpoint =
      choose_engine_in_cell(context, event.requirements, false, "").endpoint;
  if (endpoint.empty()) return;
  grant_placement(context, event.peer, event.request, endpoint,
                  event.requirements, event.forwarded_by);
}

// What one pass over the queue has found so far.
struct QueuePass {
  std::vector<PlacementRequirements> not_placed;
  std::size_t forwarded = 0;
};

// Returns the engine on which a queued request is placed now; empty if it stays
// queued. Passes it on to another cell if only that has capacity.
std::string engine_for_queued(const RoutingContext& context,
                              WaitingPlacement& waiting, QueuePass& pass) {
  const RoutingState& state = context.state;
  const PlacementRequirements& requirements = waiting.requirements;
  // A running generation has already used memory and time that would be lost
  // with it, so freed capacity goes to moves before new requests that are not
  // prioritized.
  const bool yields_to_move = !is_prioritized(requirements) &&
                              has_blocked_move(state, requirements.service);
  const bool awaits_other_cell =
      waiting.forwarded_at != 0 &&
      state.now - waiting.forwarded_at < kForwardInterval;
  if (yields_to_move || awaits_other_cell) return "";
  if (!cannot_be_placed(pass.not_placed, requirements)) {
    const PermittedChoice choice = choose_engine_in_cell(
        context, requirements, false, waiting.awaited_permit);
    waiting.awaited_permit = choice.awaited_permit;
    if (!choice.endpoint.empty() || !choice.awaited_permit.empty())
      return choice.endpoint;
  }
  pass.not_placed.push_back(requirements);
  if (pass.forwarded < kMaxForwardsAtOnce &&
      forward_placement(context, waiting)) {
    pass.forwarded += 1;
    return "";
  }
  // No other cell has capacity either. A prioritized request is placed behind
  // other prompts.
  return is_prioritized(requirements)
             ? choose_engine_in_cell(context, requirements, true, "").endpoint
             : "";
}

}  // namespace

void place_queued_requests(const RoutingContext& context) {
  RoutingState& state = context.state;
  expire_reservations(state);
  if (state.placement_queue.empty()) return;
  expire_placements(state.placement_queue, state.now);
  std::sort(state.placement_queue.begin(), state.placement_queue.end(),
            is_served_before);
  QueuePass pass;
  PlacementQueue still_queued;
  for (WaitingPlacement& waiting : state.placement_queue) {
    const std::string engine = engine_for_queued(context, waiting, pass);
    if (engine.empty()) {
      still_queued.push_back(std::move(waiting));
      continue;
    }
    grant_placement(context, waiting.peer, waiting.request, engine,
                    waiting.requirements);
    if (!is_prioritized(waiting.requirements)) {
      record_placement(state.placement_rate, waiting.requirements.is_late,
                       state.now);
    }
  }
  state.placement_queue = std::move(still_queued);
  expire_reservations(state);
  record_queue_state(state.placement_rate, !state.placement_queue.empty(),
                     state.now);
}

namespace {

// Returns after which time the caller of a queued request should retry, if the
// request would time out in the queue; 0 if it should stay queued.
Millis retry_after_rejection(const RoutingState& state,
                             const WaitingPlacement& waiting) {
  // A coordinator whose zone is closed only passes requests on.
  if (is_own_cell_closed(state)) return 0;
  const Millis wait_left = waiting.requirements.wait_left;
  if (wait_left == 0 || is_prioritized(waiting.requirements)) return 0;
  const std::optional<Millis> wait = expected_wait(
      state.placement_rate, state.placement_queue, waiting, state.now);
  return wait && *wait > wait_left ? *wait : 0;
}

}  // namespace

void on_placement_requested(const RoutingContext& context,
                            const PlacementRequested& event) {
  if (event.requirements.is_move) {
    place_move(context, event);
    return;
  }
  if (!event.forwarded_by.empty()) {
    place_forwarded(context, event);
    return;
  }
  RoutingState& state = context.state;
  enqueue_placement(state.placement_queue, event, state.now);
  place_queued_requests(context);
  const auto waiting = std::find_if(
      state.placement_queue.begin(), state.placement_queue.end(),
      [&](const WaitingPlacement& other) {
        return other.peer == event.peer && other.request == event.request;
      });
  if (waiting == state.placement_queue.end()) return;
  // Even without an endpoint, the answer tells the process that this one
  // coordinates its request.
  const Millis retry_after = retry_after_rejection(state, *waiting);
  context.effects.push_back(
      AnswerPlacement{event.peer, event.request, "", "", retry_after});
  if (retry_after > 0)
    remove_placement(state.placement_queue, event.peer, event.request);
}

}  // namespace peridotreach
