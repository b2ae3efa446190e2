#include "libperidotreach/entry_stop.h"

#include <utility>
#include <vector>

#include "libperidotreach/cells.h"
#include "libperidotreach/entry_calls.h"

namespace peridotreach {
namespace {

// Time for the store to record the successor.
constexpr Millis kSuccessorRecordTimeout = 5 * kSecond;

// Time for the successor to take the sessions over.
constexpr Millis kHandOverTimeout = 10 * kSecond;

// Returns the VM that takes over, preferably in another zone; empty if no other
// VM is serving.
std::string choose_successor(const EntryState& state) {
  std::string best;
  std::uint64_t best_score = 0;
  bool best_other_zone = false;
  for (const VmInfo& vm : state.view.vms) {
    if (vm.vm == state.self.vm || vm.leaving) continue;
    const bool other_zone = vm.zone != state.self.zone;
    if (!best.empty() && best_other_zone && !other_zone) continue;
    const std::uint64_t score = stable_hash(state.self.vm + "@" + vm.vm);
    const bool better =
        best.empty() || (other_zone && !best_other_zone) || score > best_score;
    if (!better) continue;
    best = vm.vm;
    best_score = score;
    best_other_zone = other_zone;
  }
  return best;
}

HandOverSessions hand_over_message(const EntryState& state,
                                   const HomeKey& home) {
  HandOverSessions message;
  message.successor = state.successor;
  message.home = {home.first, home.second};
  const auto table = state.sessions.find(home);
  if (table == state.sessions.end()) return message;
  for (const auto& [number, session] : table->second.sessions) {
    message.session_numbers.push_back(number);
    message.sessions.push_back(session);
  }
  return message;
}

void send_hand_overs(const EntryContext& context) {
  EntryState& state = context.state;
  for (const HomeKey& home : state.homes_to_hand_over) {
    if (has_running_call(state, home)) continue;
    context.effects.emplace_back(hand_over_message(state, home));
  }
  if (state.homes_to_hand_over.empty()) state.stop_stage = StopStage::kDraining;
}

bool is_idle(const EntryState& state) {
  return state.generations.empty() && state.calls.empty() &&
         state.now - state.stop_requested_at >= kAddressTtl;
}

}  // namespace

void on_stop(const EntryContext& context) {
  EntryState& state = context.state;
  if (state.stop_stage != StopStage::kServing) return;
  state.stop_stage = StopStage::kAnnounced;
  state.stop_requested_at = state.now;
  state.successor = choose_successor(state);
  AnnounceLeaving announce;
  announce.successor = state.successor;
  for (const auto& [home, table] : state.sessions) {
    if (table.sessions.empty()) continue;
    announce.homes.push_back({home.first, home.second});
  }
  context.effects.emplace_back(std::move(announce));
}

void on_successor_recorded(const EntryContext& context,
                           const SuccessorRecorded& event) {
  EntryState& state = context.state;
  if (state.stop_stage != StopStage::kAnnounced) return;
  if (!event.recorded || state.successor.empty()) {
    // Without a recorded successor no other VM may execute calls of these
    // sessions, so they stay here until the process exits.
    state.stop_stage = StopStage::kDraining;
    return;
  }
  state.stop_stage = StopStage::kHandingOver;
  for (const auto& [home, table] : state.sessions) {
    if (!table.sessions.empty()) state.homes_to_hand_over.insert(home);
  }
  send_hand_overs(context);
}

void on_sessions_received(const EntryContext& context,
                          const SessionsReceived& event) {
  EntryState& state = context.state;
  const HomeKey home{event.home, event.incarnation};
  // A repeated hand-over must not overwrite calls made since the first one.
  if (!state.sessions.contains(home)) {
    SessionTable table;
    for (std::size_t i = 0; i < event.session_numbers.size(); ++i) {
      if (i >= event.sessions.size()) break;
      table.sessions.emplace(event.session_numbers[i], event.sessions[i]);
    }
    state.sessions.emplace(home, std::move(table));
  }
  context.effects.emplace_back(
      ConfirmSessions{event.from, {event.home, event.incarnation}});
}

void on_sessions_confirmed(const EntryContext& context,
                           const SessionsConfirmed& event) {
  EntryState& state = context.state;
  const HomeKey home{event.home, event.incarnation};
  if (state.homes_to_hand_over.erase(home) == 0) return;
  state.sessions.erase(home);
  state.view.successors.push_back(
      {event.home, event.incarnation, state.successor});
  if (state.homes_to_hand_over.empty()) state.stop_stage = StopStage::kDraining;
}

void advance_stop(const EntryContext& context) {
  EntryState& state = context.state;
  const Millis elapsed = state.now - state.stop_requested_at;
  switch (state.stop_stage) {
    case StopStage::kServing:
    case StopStage::kExited:
      return;
    case StopStage::kAnnounced:
      if (elapsed > kSuccessorRecordTimeout)
        state.stop_stage = StopStage::kDraining;
      return;
    case StopStage::kHandingOver:
      // Once the successor is recorded only it may execute calls, so sessions
      // that it does not take over end with this process.
      if (elapsed > kHandOverTimeout) {
        for (const HomeKey& home : state.homes_to_hand_over) {
          state.sessions.erase(home);
        }
        state.homes_to_hand_over.clear();
        state.stop_stage = StopStage::kDraining;
        return;
      }
      send_hand_overs(context);
      return;
    case StopStage::kDraining:
      if (!is_idle(state)) return;
      state.stop_stage = StopStage::kExited;
      context.effects.emplace_back(ExitProcess{});
      return;
  }
}

}  // namespace peridotreach
