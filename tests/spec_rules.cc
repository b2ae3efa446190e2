#include "tests/spec_rules.h"

namespace peridotreach::spec {

std::vector<std::string> StreamRules::check(
    const std::vector<EntryEffect>& effects) {
  std::vector<std::string> violations;
  for (const EntryEffect& effect : effects) {
    if (const auto* relay = std::get_if<RelayEvents>(&effect)) {
      Stream& stream = streams_[relay->request];
      const std::string name = std::to_string(relay->request);
      if (ended_requests_.contains(relay->request)) {
        violations.push_back("request " + name +
                             " receives events after its end");
      }
      for (const StreamEvent& event : relay->events) {
        if (stream.started && event.sequence != stream.next_sequence) {
          violations.push_back("request " + name +
                               " skips or repeats an event");
        }
        stream.started = true;
        stream.next_sequence = event.sequence + 1;
      }
      if (!stream.generation_id.empty() &&
          stream.generation_id != relay->generation_id) {
        violations.push_back("request " + name +
                             " receives events of two generations");
      }
      // Before the first token a request may be retried on another endpoint.
      const bool has_token = stream.next_sequence > 1;
      if (has_token) stream.generation_id = relay->generation_id;
      if (!has_token) stream = {};
    }
    if (const auto* finish = std::get_if<FinishRequest>(&effect)) {
      if (!ended_requests_.insert(finish->request).second) {
        violations.push_back("request " + std::to_string(finish->request) +
                             " ends twice");
      }
      const auto found = streams_.find(finish->request);
      const bool has_token =
          found != streams_.end() && found->second.next_sequence > 1;
      if (finish->ran == ExecutionStatus::kNotExecuted && has_token) {
        violations.push_back("request " + std::to_string(finish->request) +
                             " is reported as not executed after a token");
      }
    }
  }
  return violations;
}

void SessionRules::record_call(const CallRequested& call) {
  call_keys_[call.request] = {call.home, call.home_incarnation, call.session,
                              call.call_number};
}

void SessionRules::record_end(const CallEnded& ended) {
  const auto found = call_keys_.find(ended.request);
  if (found == call_keys_.end()) return;
  if (ended.sent) {
    sent_requests_.insert(ended.request);
    executed_calls_.insert(found->second);
  }
  running_requests_.erase(found->second);
}

std::vector<std::string> SessionRules::check(
    const std::vector<EntryEffect>& effects) {
  std::vector<std::string> violations;
  for (const EntryEffect& effect : effects) {
    if (const auto* forward = std::get_if<ForwardCall>(&effect)) {
      const CallKey& call = call_keys_[forward->request];
      const bool by_other_request = running_requests_.contains(call) &&
                                    running_requests_[call] != forward->request;
      if (executed_calls_.contains(call) || by_other_request) {
        violations.push_back("a call number is executed twice");
      }
      running_requests_[call] = forward->request;
    }
    if (const auto* answer = std::get_if<AnswerCall>(&effect)) {
      const CallKey& call = call_keys_[answer->request];
      const bool may_have_run = executed_calls_.contains(call);
      if (answer->outcome.ran == ExecutionStatus::kNotExecuted &&
          may_have_run) {
        violations.push_back("an executed call is reported as not executed");
      }
    }
  }
  return violations;
}

}  // namespace peridotreach::spec
