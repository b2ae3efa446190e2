// Requests of a process that stops: carries out what planned_stop.h decides.

#include <utility>
#include <vector>

#include "libperidotreach/routing/output_length.h"
#include "libperidotreach/routing/planned_stop.h"
#include "libperidotreach/routing/routing_steps.h"

namespace peridotreach {
namespace {

constexpr char kReason[] = "router_stopping";

// Delay after which a caller may retry at another process, with a random part
// that spreads the retries.
constexpr Millis kRetryElsewhereAfter = 50;
constexpr Millis kRetryElsewhereSpread = 100;

// Time for a process to be replaced.
constexpr Millis kReplacementTime = kSecond;

// Returns when a rejected caller may retry: soon at another process, or once
// this one has been replaced if it knows of no other.
Millis retry_after(const RoutingState& state) {
  if (process_count(state) == 1)
    return time_left(*state.stop, state.now) + kReplacementTime;
  return kRetryElsewhereAfter +
         static_cast<Millis>(state.random % kRetryElsewhereSpread);
}

RequestStage stage_of(const RequestState& request) {
  if (request.relaying) return RequestStage::kStreaming;
  const bool is_queued = request.endpoint.empty() ||
                         request.placement_deadline != 0 ||
                         request.permit_deadline != 0;
  return is_queued ? RequestStage::kQueued : RequestStage::kSent;
}

Millis time_needed(const RoutingState& state, const RequestState& request) {
  return peridotreach::time_needed(
      {request.route.kind, request.arrived_at - state.stop->started_at,
       request.deadline - state.now, expected_output_tokens(state, request)});
}

void end_request(const RoutingContext& context, std::uint64_t request_number,
                 StopAction action) {
  switch (action) {
    case StopAction::kContinue:
    case StopAction::kClose:
      return;
    case StopAction::kReject:
      reject_request(context, request_number, retry_after(context.state),
                     kReason);
      return;
    case StopAction::kFail: {
      const RequestState* request = find_request(context, request_number);
      context.effects.push_back(
          CancelAttempt{request_number, request->attempt});
      fail_request(context, request_number, kHttpBadGateway, -1, kReason);
      return;
    }
    case StopAction::kBreakOff:
      break_off_request(context, request_number, kReason);
      return;
  }
}

}  // namespace

void on_stop_requested(const RoutingContext& context,
                       const StopRequested& event) {
  RoutingState& state = context.state;
  if (state.stop) return;
  state.stop = PlannedStop{state.now, stop_schedule(event.grace)};
  place_waiting_requests(context);
}

bool reject_if_stopping(const RoutingContext& context,
                        std::uint64_t request_number,
                        const RequestState& request) {
  const RoutingState& state = context.state;
  if (!state.stop) return false;
  const Millis left = time_left(*state.stop, state.now);
  const Millis needed = time_needed(state, request);
  const StopAction action = stop_action(RequestStage::kQueued, left, needed);
  if (action != StopAction::kReject) return false;
  record_decision(context, "stop_prevents_placement", request_number,
                  {{"id", request.caller_request.id},
                   {"time_left_ms", std::to_string(left)},
                   {"time_needed_ms", std::to_string(needed)}});
  end_request(context, request_number, action);
  return true;
}

void end_requests_at_stop(const RoutingContext& context) {
  const RoutingState& state = context.state;
  if (!state.stop) return;
  const Millis left = time_left(*state.stop, state.now);
  // Before that, only queued requests end, when their placement is retried.
  if (left > 0) return;
  std::vector<std::pair<std::uint64_t, StopAction>> ended;
  for (const auto& [request_number, request] : state.requests) {
    const StopAction action = stop_action(stage_of(request), left, 0);
    if (action != StopAction::kContinue)
      ended.emplace_back(request_number, action);
  }
  for (const auto& [request_number, action] : ended)
    end_request(context, request_number, action);
}

}  // namespace peridotreach
