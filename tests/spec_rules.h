#pragma once

// The transition rules of the models under spec/, as checkers that are fed
// with what the reducers do. A step that the model does not allow is a fault.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "libperidotreach/entry_effect.h"
#include "libperidotreach/entry_event.h"

namespace peridotreach::spec {

// Rules of stream.pml: numbers in order from one generation, one end.
class StreamRules {
 public:
  // Takes the effects of one step. Returns the faults found.
  std::vector<std::string> check(const std::vector<EntryEffect>& effects);

 private:
  struct Stream {
    std::int64_t next = 0;
    bool started = false;
    std::string generation;
  };

  std::map<std::uint64_t, Stream> streams_;
  std::set<std::uint64_t> ended_;
};

// Rules of sessions.pml: a number is executed once, and "not run" is told only
// of attempts that were not executed.
class SessionRules {
 public:
  // Notes a call that arrives.
  void record_call(const CallRequested& call);

  // Notes how a forwarded call ended.
  void record_end(const CallEnded& ended);

  // Takes the effects of one step. Returns the faults found.
  std::vector<std::string> check(const std::vector<EntryEffect>& effects);

 private:
  using Number =
      std::tuple<std::string, std::uint64_t, std::uint64_t, std::uint64_t>;

  std::map<std::uint64_t, Number> numbers_;
  std::map<Number, std::uint64_t> executing_;
  std::set<Number> executed_;
  std::set<std::uint64_t> sent_;
};

}  // namespace peridotreach::spec
