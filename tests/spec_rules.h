#pragma once

// The rules of the Promela models under spec/ as checkers of the effects that
// the reducers produce. A step that the model does not allow is a violation.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "libperidotreach/entry_effect.h"
#include "libperidotreach/entry_event.h"

namespace peridotreach::spec {

// Rules of stream.pml: a caller gets events in sequence from one generation,
// and one end.
class StreamRules {
 public:
  // Checks the effects of one step. Returns the violations found.
  std::vector<std::string> check(const std::vector<EntryEffect>& effects);

 private:
  struct Stream {
    std::int64_t next_sequence = 0;
    bool started = false;
    std::string generation_id;
  };

  std::map<std::uint64_t, Stream> streams_;
  std::set<std::uint64_t> ended_requests_;
};

// Rules of sessions.pml: a call number is executed at most once, and an answer
// states "not executed" only if the call was not executed.
class SessionRules {
 public:
  // Records a call that arrives.
  void record_call(const CallRequested& call);

  // Records how a forwarded call ended.
  void record_end(const CallEnded& ended);

  // Checks the effects of one step. Returns the violations found.
  std::vector<std::string> check(const std::vector<EntryEffect>& effects);

 private:
  using CallKey =
      std::tuple<std::string, std::uint64_t, std::uint64_t, std::uint64_t>;

  std::map<std::uint64_t, CallKey> call_keys_;
  std::map<CallKey, std::uint64_t> running_requests_;
  std::set<CallKey> executed_calls_;
  std::set<std::uint64_t> sent_requests_;
};

}  // namespace peridotreach::spec
