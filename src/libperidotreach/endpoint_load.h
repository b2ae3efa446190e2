#pragma once

// Load of one endpoint as it reports it, with a delay.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// One load report. `kv_used` and `kv_capacity` are in tokens; `step_ms` is the
// time of one decoding step; `age` is the age of the values on arrival.
struct EndpointLoad {
  std::uint64_t incarnation = 0;
  double kv_used = 0;
  double kv_capacity = 0;
  double running = 0;
  double waiting = 0;
  double step_ms = 0;
  std::uint64_t preemptions = 0;
  Millis age = 0;
  bool leaving = false;
  std::vector<std::string> models;

  bool operator==(const EndpointLoad&) const = default;
};

template <class F>
auto inspect(F& f, EndpointLoad& x) {
  return f(x.incarnation, x.kv_used, x.kv_capacity, x.running, x.waiting,
           x.step_ms, x.preemptions, x.age, x.leaving, x.models);
}

}  // namespace peridotreach
