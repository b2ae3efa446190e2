#include "libperidotreach/session_table.h"

#include <algorithm>

namespace peridotreach {
namespace {

void end_least_recently_used(SessionTable& table, const std::string& caller) {
  std::size_t count = 0;
  auto oldest = table.sessions.end();
  for (auto it = table.sessions.begin(); it != table.sessions.end(); ++it) {
    if (it->second.caller != caller) continue;
    count += 1;
    const bool older = oldest == table.sessions.end() ||
                       it->second.last_used_at < oldest->second.last_used_at;
    if (older) oldest = it;
  }
  if (count >= kMaxSessionsPerCaller) table.sessions.erase(oldest);
}

// Evicts the lowest finished call numbers above the limit. Evicted numbers stay
// used: `evicted_up_to` covers them.
void evict_finished_calls(Session& session) {
  while (session.calls.size() > kMaxCallsPerSession) {
    const auto lowest = session.calls.begin();
    if (!lowest->second.done) return;
    session.evicted_up_to = std::max(session.evicted_up_to, lowest->first);
    session.calls.erase(lowest);
  }
}

}  // namespace

std::uint64_t open_session(SessionTable& table, const std::string& caller,
                           Millis now) {
  end_least_recently_used(table, caller);
  table.last_session += 1;
  Session session;
  session.caller = caller;
  session.last_used_at = now;
  table.sessions.emplace(table.last_session, std::move(session));
  return table.last_session;
}

CallDecision begin_call(SessionTable& table, std::uint64_t session,
                        const std::string& caller, std::uint64_t number,
                        Millis now) {
  const auto found = table.sessions.find(session);
  if (found == table.sessions.end()) return {CallAction::kSessionEnded, {}};
  Session& entry = found->second;
  if (entry.caller != caller) return {CallAction::kSessionEnded, {}};
  entry.last_used_at = now;
  const auto used = entry.calls.find(number);
  if (used != entry.calls.end()) {
    if (!used->second.done) return {CallAction::kInProgress, {}};
    return {CallAction::kReplay, used->second.outcome};
  }
  if (number <= entry.evicted_up_to) return {CallAction::kOutcomeEvicted, {}};
  entry.calls.emplace(number, CallRecord{});
  evict_finished_calls(entry);
  return {CallAction::kExecute, {}};
}

void end_call(SessionTable& table, std::uint64_t session, std::uint64_t number,
              const CallOutcome& outcome) {
  const auto found = table.sessions.find(session);
  if (found == table.sessions.end()) return;
  auto& calls = found->second.calls;
  const auto used = calls.find(number);
  if (used == calls.end()) return;
  if (outcome.ran == ExecutionStatus::kNotExecuted) {
    calls.erase(used);
    return;
  }
  used->second.done = true;
  used->second.outcome = outcome;
}

void expire_sessions(SessionTable& table, Millis now) {
  std::erase_if(table.sessions, [&](const auto& entry) {
    return now - entry.second.last_used_at > kSessionIdleTimeout;
  });
}

}  // namespace peridotreach
