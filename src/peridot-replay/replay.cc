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

Error unreadable_trace(std::uint64_t step) {
  return {ErrorKind::kInvalidInput,
          "trace step " + std::to_string(step) + " cannot be decoded",
          "check that the file is a trace, or record it again with this "
          "version"};
}

Error effects_differ(std::uint64_t step, const std::string& event) {
  return {ErrorKind::kConflict,
          "step " + std::to_string(step) + " (" + event +
              ") produces effects that differ from the recorded ones",
          "find the reducer change that causes the difference; record the "
          "trace again only if the change is intended"};
}

void record_effect(const EntryEffect& effect, std::int64_t at,
                   ReplayReport& report) {
  if (const auto* relay = std::get_if<RelayEvents>(&effect)) {
    for (const StreamEvent& item : relay->events) {
      if (item.kind != StreamEventKind::kToken) continue;
      report.outcomes[relay->request].relayed_tokens += 1;
    }
  }
  if (const auto* finish = std::get_if<FinishRequest>(&effect)) {
    ReplayedOutcome& outcome = report.outcomes[finish->request];
    outcome.refusal_kind = finish->kind;
    outcome.execution_status = finish->ran;
    outcome.ended_at_ms = at;
  }
  if (const auto* answer = std::get_if<AnswerCall>(&effect)) {
    ReplayedOutcome& outcome = report.outcomes[answer->request];
    outcome.refusal_kind = answer->outcome.kind;
    outcome.execution_status = answer->outcome.ran;
    outcome.ended_at_ms = at;
  }
}

void record_effect(const DispatchEffect& effect, std::int64_t /*at*/,
                   ReplayReport& report) {
  if (std::holds_alternative<IssueGrant>(effect)) report.grants += 1;
  if (std::holds_alternative<IssueRefusal>(effect)) report.refusals += 1;
  if (std::holds_alternative<IssueWithdrawal>(effect)) report.withdrawals += 1;
}

template <class Event, class State>
Result<ReplayReport> replay_steps(TraceReader& reader, State state,
                                  ReplayReport report) {
  std::vector<char> event_bytes;
  std::vector<char> effect_bytes;
  std::int64_t first_event_at = -1;
  while (reader.read(event_bytes)) {
    // If the trace is cut off within its last step, that step is ignored.
    if (!reader.read(effect_bytes)) break;
    Event event;
    if (!unpack(event_bytes, event)) return unreadable_trace(report.steps);
    if (first_event_at < 0) first_event_at = event.at;
    auto step = reduce(std::move(state), event);
    state = std::move(step.state);
    if (pack_effects(step.effects) != effect_bytes) {
      const std::string kind = "event kind " +
                               std::to_string(event.body.index()) + ", " +
                               std::to_string(event.at - first_event_at) +
                               " ms after the first event";
      return effects_differ(report.steps, kind);
    }
    for (const auto& effect : step.effects) {
      record_effect(effect, event.at - first_event_at, report);
    }
    report.steps += 1;
    report.effects += step.effects.size();
  }
  return report;
}

// Returns the differences between the expected and the replayed outcome of one
// request.
std::string compare_request_outcome(const std::string& name,
                                    const json::object& expected,
                                    const ReplayReport& report) {
  const std::uint64_t request_number = std::strtoull(name.c_str(), nullptr, 10);
  const auto outcome_entry = report.outcomes.find(request_number);
  if (outcome_entry == report.outcomes.end()) {
    return "request " + name + " has no outcome in the trace\n";
  }
  const ReplayedOutcome& outcome = outcome_entry->second;
  std::string differences;
  const auto compare = [&](const char* field, const std::string& expected_value,
                           const std::string& actual) {
    if (expected_value.empty() || expected_value == actual) return;
    differences += "request " + name + ": " + field + " is " + actual +
                   ", expected " + expected_value + "\n";
  };
  compare("kind", string_member(expected, "kind"),
          refusal_name(outcome.refusal_kind));
  compare("ran", string_member(expected, "ran"),
          execution_status_name(outcome.execution_status));
  if (expected.contains("tokens")) {
    compare("tokens", std::to_string(int_member(expected, "tokens")),
            std::to_string(outcome.relayed_tokens));
  }
  if (expected.contains("by_ms") &&
      outcome.ended_at_ms > int_member(expected, "by_ms")) {
    differences += "request " + name + " ended at " +
                   std::to_string(outcome.ended_at_ms) +
                   " ms, later than the expected by_ms\n";
  }
  return differences;
}

std::string compare_count(const json::object& expected, const char* name,
                          std::uint64_t actual) {
  if (!expected.contains(name)) return {};
  const auto expected_count =
      static_cast<std::uint64_t>(int_member(expected, name));
  if (expected_count == actual) return {};
  return std::string(name) + ": got " + std::to_string(actual) + ", expected " +
         std::to_string(expected_count) + "\n";
}

}  // namespace

Result<ReplayReport> replay_trace(const std::string& path) {
  TraceReader reader(path);
  if (!reader.is_open()) {
    return Error{ErrorKind::kNotFound, "cannot open trace " + path,
                 "check that the file exists and is readable"};
  }
  std::vector<char> bytes;
  TraceHeader head;
  if (!reader.read(bytes) || !unpack(bytes, head)) return unreadable_trace(0);
  ReplayReport report;
  report.reducer = head.reducer;
  if (head.reducer == "entry") {
    return replay_steps<EntryEvent>(reader, initial_entry_state(head.identity),
                                    std::move(report));
  }
  if (head.reducer == "dispatch") {
    const auto policy = static_cast<DispatchPolicy>(head.policy);
    return replay_steps<DispatchEvent>(
        reader, initial_dispatch_state(head.identity.vm, policy),
        std::move(report));
  }
  return unreadable_trace(0);
}

Result<std::string> check_outcomes(const ReplayReport& report,
                                   const std::string& expected_json) {
  const Result<json::object> parsed = parse_object(expected_json);
  if (!ok(parsed)) return error(parsed);
  const json::object& expected = value(parsed);
  std::string differences;
  for (const auto& member : object_member(expected, "requests")) {
    if (!member.value().is_object()) continue;
    differences += compare_request_outcome(std::string(member.key()),
                                           member.value().as_object(), report);
  }
  differences += compare_count(expected, "steps", report.steps);
  differences += compare_count(expected, "grants", report.grants);
  differences += compare_count(expected, "refusals", report.refusals);
  differences += compare_count(expected, "withdrawals", report.withdrawals);
  return differences;
}

}  // namespace peridotreach
