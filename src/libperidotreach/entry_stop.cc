#include "libperidotreach/entry_stop.h"

#include <utility>
#include <vector>

#include "libperidotreach/cells.h"
#include "libperidotreach/entry_calls.h"

namespace peridotreach {
namespace {

// Longest wait for the store to record the successor.
constexpr Millis kRecordTimeout = 5 * kSecond;

// Longest wait for the successor to take sessions over.
constexpr Millis kHandOverTimeout = 10 * kSecond;

// Returns the VM of this region that takes over, in another zone if one is
// there; empty if this VM is the last.
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

HandSessions hand_over_of(const EntryState& state, const HomeKey& home) {
  HandSessions hand;
  hand.successor = state.successor;
  hand.origin = {home.first, home.second};
  const auto table = state.sessions.find(home);
  if (table == state.sessions.end()) return hand;
  for (const auto& [number, session] : table->second.sessions) {
    hand.numbers.push_back(number);
    hand.sessions.push_back(session);
  }
  return hand;
}

void hand_over(const EntryContext& context) {
  EntryState& state = context.state;
  for (const HomeKey& home : state.to_hand_over) {
    if (has_running_call(state, home)) continue;
    context.effects.emplace_back(hand_over_of(state, home));
  }
  if (state.to_hand_over.empty()) state.stop = StopStage::kDraining;
}

bool is_idle(const EntryState& state) {
  return state.generations.empty() && state.calls.empty() &&
         state.now - state.stop_at >= kAddressLife;
}

}  // namespace

void on_stop(const EntryContext& context) {
  EntryState& state = context.state;
  if (state.stop != StopStage::kServing) return;
  state.stop = StopStage::kAnnounced;
  state.stop_at = state.now;
  state.successor = choose_successor(state);
  AnnounceLeaving announce;
  announce.successor = state.successor;
  for (const auto& [home, table] : state.sessions) {
    if (table.sessions.empty()) continue;
    announce.origins.push_back({home.first, home.second});
  }
  context.effects.emplace_back(std::move(announce));
}

void on_successor_recorded(const EntryContext& context,
                           const SuccessorRecorded& event) {
  EntryState& state = context.state;
  if (state.stop != StopStage::kAnnounced) return;
  if (!event.recorded || state.successor.empty()) {
    // Without a record nobody else may execute; sessions stay until the end.
    state.stop = StopStage::kDraining;
    return;
  }
  state.stop = StopStage::kHandingOver;
  for (const auto& [home, table] : state.sessions) {
    if (!table.sessions.empty()) state.to_hand_over.insert(home);
  }
  hand_over(context);
}

void on_sessions_arrived(const EntryContext& context,
                         const SessionsArrived& event) {
  EntryState& state = context.state;
  const HomeKey home{event.home, event.incarnation};
  // A repeated hand-over must not undo calls made since the first.
  if (!state.sessions.contains(home)) {
    SessionTable table;
    for (std::size_t i = 0; i < event.numbers.size(); ++i) {
      if (i >= event.sessions.size()) break;
      table.sessions.emplace(event.numbers[i], event.sessions[i]);
    }
    state.sessions.emplace(home, std::move(table));
  }
  context.effects.emplace_back(
      ConfirmSessions{event.from, {event.home, event.incarnation}});
}

void on_sessions_accepted(const EntryContext& context,
                          const SessionsAccepted& event) {
  EntryState& state = context.state;
  const HomeKey home{event.home, event.incarnation};
  if (state.to_hand_over.erase(home) == 0) return;
  state.sessions.erase(home);
  state.view.successors.push_back(
      {event.home, event.incarnation, state.successor});
  if (state.to_hand_over.empty()) state.stop = StopStage::kDraining;
}

void tend_stop(const EntryContext& context) {
  EntryState& state = context.state;
  const Millis elapsed = state.now - state.stop_at;
  switch (state.stop) {
    case StopStage::kServing:
    case StopStage::kExited:
      return;
    case StopStage::kAnnounced:
      if (elapsed > kRecordTimeout) state.stop = StopStage::kDraining;
      return;
    case StopStage::kHandingOver:
      // After the record only the successor may execute, so sessions that it
      // does not take end with this process.
      if (elapsed > kHandOverTimeout) {
        for (const HomeKey& home : state.to_hand_over) {
          state.sessions.erase(home);
        }
        state.to_hand_over.clear();
        state.stop = StopStage::kDraining;
        return;
      }
      hand_over(context);
      return;
    case StopStage::kDraining:
      if (!is_idle(state)) return;
      state.stop = StopStage::kExited;
      context.effects.emplace_back(ExitProcess{});
      return;
  }
}

}  // namespace peridotreach
