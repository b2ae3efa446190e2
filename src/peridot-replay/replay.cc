#include "peridot-replay/replay.h"

#include <cstdlib>
#include <utility>
#include <vector>

#include "libperidotreach/dispatch_reducer.h"
#include "libperidotreach/entry_reducer.h"
#include "runtime/json.h"
#include "runtime/trace_file.h"

namespace peridotreach {
namespace {

Error damaged(std::uint64_t step) {
  return {ErrorKind::kInvalidInput,
          "step " + std::to_string(step) + " cannot be read",
          "record the trace anew with this version"};
}

Error differs(std::uint64_t step, const std::string& event) {
  return {ErrorKind::kConflict,
          "step " + std::to_string(step) + " (" + event +
              ") has other effects than were recorded",
          "find the change of the reducer that causes it; record the trace "
          "anew only if the change is meant"};
}

void note(const EntryEffect& effect, std::int64_t at, ReplayReport& report) {
  if (const auto* relay = std::get_if<RelayEvents>(&effect)) {
    for (const StreamEvent& item : relay->events) {
      if (item.kind != StreamEventKind::kToken) continue;
      report.outcomes[relay->request].tokens += 1;
    }
  }
  if (const auto* finish = std::get_if<FinishRequest>(&effect)) {
    ReplayedOutcome& outcome = report.outcomes[finish->request];
    outcome.kind = finish->kind;
    outcome.ran = finish->ran;
    outcome.at = at;
  }
  if (const auto* answer = std::get_if<AnswerCall>(&effect)) {
    ReplayedOutcome& outcome = report.outcomes[answer->request];
    outcome.kind = answer->outcome.kind;
    outcome.ran = answer->outcome.ran;
    outcome.at = at;
  }
}

void note(const DispatchEffect& effect, std::int64_t /*at*/,
          ReplayReport& report) {
  if (std::holds_alternative<IssueGrant>(effect)) report.grants += 1;
  if (std::holds_alternative<IssueRefusal>(effect)) report.refusals += 1;
  if (std::holds_alternative<IssueWithdrawal>(effect)) report.withdrawals += 1;
}

template <class Event, class State>
Result<ReplayReport> replay_all(TraceReader& reader, State state,
                                ReplayReport report) {
  std::vector<char> event_bytes;
  std::vector<char> effect_bytes;
  std::int64_t first = -1;
  while (reader.read(event_bytes)) {
    // A trace cut off within a step ends before it.
    if (!reader.read(effect_bytes)) break;
    Event event;
    if (!unpack(event_bytes, event)) return damaged(report.steps);
    if (first < 0) first = event.at;
    auto step = reduce(std::move(state), event);
    state = std::move(step.state);
    if (pack_effects(step.effects) != effect_bytes) {
      const std::string kind = "event kind " +
                               std::to_string(event.body.index()) + ", " +
                               std::to_string(event.at - first) + " ms in";
      return differs(report.steps, kind);
    }
    for (const auto& effect : step.effects) {
      note(effect, event.at - first, report);
    }
    report.steps += 1;
    report.effects += step.effects.size();
  }
  return report;
}

// Compares one stated request.
std::string compare_request(const std::string& name, const json::object& want,
                            const ReplayReport& report) {
  const std::uint64_t number = std::strtoull(name.c_str(), nullptr, 10);
  const auto found = report.outcomes.find(number);
  if (found == report.outcomes.end()) {
    return "request " + name + " has no outcome\n";
  }
  const ReplayedOutcome& outcome = found->second;
  std::string faults;
  const auto expect = [&](const char* what, const std::string& stated,
                          const std::string& actual) {
    if (stated.empty() || stated == actual) return;
    faults += "request " + name + ": " + what + " is " + actual + ", not " +
              stated + "\n";
  };
  expect("kind", text_member(want, "kind"), refusal_name(outcome.kind));
  expect("ran", text_member(want, "ran"), execution_status_name(outcome.ran));
  if (want.contains("tokens")) {
    expect("tokens", std::to_string(number_member(want, "tokens")),
           std::to_string(outcome.tokens));
  }
  if (want.contains("by_ms") && outcome.at > number_member(want, "by_ms")) {
    faults += "request " + name + " ended at " + std::to_string(outcome.at) +
              " ms, after its bound\n";
  }
  return faults;
}

std::string compare_count(const json::object& stated, const char* name,
                          std::uint64_t actual) {
  if (!stated.contains(name)) return {};
  const auto wanted = static_cast<std::uint64_t>(number_member(stated, name));
  if (wanted == actual) return {};
  return std::string(name) + " are " + std::to_string(actual) + ", not " +
         std::to_string(wanted) + "\n";
}

}  // namespace

Result<ReplayReport> replay_trace(const std::string& path) {
  TraceReader reader(path);
  if (!reader.is_open()) {
    return Error{ErrorKind::kNotFound, "cannot read " + path,
                 "check the path of the trace"};
  }
  std::vector<char> bytes;
  TraceHead head;
  if (!reader.read(bytes) || !unpack(bytes, head)) return damaged(0);
  ReplayReport report;
  report.reducer = head.reducer;
  if (head.reducer == "entry") {
    return replay_all<EntryEvent>(reader, initial_entry_state(head.identity),
                                  std::move(report));
  }
  if (head.reducer == "dispatch") {
    const auto policy = static_cast<DispatchPolicy>(head.policy);
    return replay_all<DispatchEvent>(
        reader, initial_dispatch_state(head.identity.vm, policy),
        std::move(report));
  }
  return damaged(0);
}

Result<std::string> check_outcomes(const ReplayReport& report,
                                   const std::string& stated) {
  const Result<json::object> parsed = parse_object(stated);
  if (!ok(parsed)) return error(parsed);
  const json::object& want = value(parsed);
  std::string faults;
  for (const auto& member : object_member(want, "requests")) {
    if (!member.value().is_object()) continue;
    faults += compare_request(std::string(member.key()),
                              member.value().as_object(), report);
  }
  faults += compare_count(want, "steps", report.steps);
  faults += compare_count(want, "grants", report.grants);
  faults += compare_count(want, "refusals", report.refusals);
  faults += compare_count(want, "withdrawals", report.withdrawals);
  return faults;
}

}  // namespace peridotreach
