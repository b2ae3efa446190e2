#include "tests/spec_rules.h"

namespace peridotreach::spec {

std::vector<std::string> StreamRules::check(
    const std::vector<EntryEffect>& effects) {
  std::vector<std::string> faults;
  for (const EntryEffect& effect : effects) {
    if (const auto* relay = std::get_if<RelayEvents>(&effect)) {
      Stream& stream = streams_[relay->request];
      const std::string name = std::to_string(relay->request);
      if (ended_.contains(relay->request)) {
        faults.push_back("request " + name + " goes on after its end");
      }
      for (const StreamEvent& item : relay->events) {
        if (stream.started && item.sequence != stream.next) {
          faults.push_back("request " + name + " skips or repeats");
        }
        stream.started = true;
        stream.next = item.sequence + 1;
      }
      if (!stream.generation.empty() &&
          stream.generation != relay->generation_id) {
        faults.push_back("request " + name + " joins two generations");
      }
      // Before the first token a generation may be run anew elsewhere.
      const bool has_token = stream.next > 1;
      if (has_token) stream.generation = relay->generation_id;
      if (!has_token) stream = {};
    }
    if (const auto* finish = std::get_if<FinishRequest>(&effect)) {
      if (!ended_.insert(finish->request).second) {
        faults.push_back("request " + std::to_string(finish->request) +
                         " ends twice");
      }
      const auto found = streams_.find(finish->request);
      const bool has_token = found != streams_.end() && found->second.next > 1;
      if (finish->ran == ExecutionStatus::kNotExecuted && has_token) {
        faults.push_back("request " + std::to_string(finish->request) +
                         " was told not run after a token");
      }
    }
  }
  return faults;
}

void SessionRules::record_call(const CallRequested& call) {
  numbers_[call.request] = {call.home, call.home_incarnation, call.session,
                            call.call_number};
}

void SessionRules::record_end(const CallEnded& ended) {
  const auto found = numbers_.find(ended.request);
  if (found == numbers_.end()) return;
  if (ended.sent) {
    sent_.insert(ended.request);
    executed_.insert(found->second);
  }
  executing_.erase(found->second);
}

std::vector<std::string> SessionRules::check(
    const std::vector<EntryEffect>& effects) {
  std::vector<std::string> faults;
  for (const EntryEffect& effect : effects) {
    if (const auto* forward = std::get_if<ForwardCall>(&effect)) {
      const Number& number = numbers_[forward->request];
      const bool other =
          executing_.contains(number) && executing_[number] != forward->request;
      if (executed_.contains(number) || other) {
        faults.push_back("a number is executed twice");
      }
      executing_[number] = forward->request;
    }
    if (const auto* answer = std::get_if<AnswerCall>(&effect)) {
      const Number& number = numbers_[answer->request];
      const bool may_have_run = executed_.contains(number);
      if (answer->outcome.ran == ExecutionStatus::kNotExecuted &&
          may_have_run) {
        faults.push_back("an executed number was told not run");
      }
    }
  }
  return faults;
}

}  // namespace peridotreach::spec
