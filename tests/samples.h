#pragma once

// Sample configuration, views and events for the tests.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "libperidotreach/dispatch_reducer.h"
#include "libperidotreach/entry_reducer.h"

namespace peridotreach::samples {

// Two ranks: "urgent" with headroom, "bulk" with a floor; callers "large" and
// "small".
FleetConfig config(double bulk_floor = 0.2, double urgent_headroom = 0.1);

// `engines` endpoints of the service "model" and entry VMs vm-1 to vm-3 in
// three zones.
FleetView view(int engines);

// A queued request of vm-1.
QueuedRequest request(std::uint64_t number, const std::string& caller,
                      const std::string& rank, Millis at,
                      std::uint64_t fingerprint = 0);

// The load of an idle endpoint with `kv_capacity` tokens.
EndpointLoad idle_load(double kv_capacity = 10000);

// Drives the dispatch reducer and keeps its effects.
class DispatcherHarness {
 public:
  explicit DispatcherHarness(DispatchPolicy policy = DispatchPolicy::kFull);

  // Applies one event at the present time and returns its effects.
  template <class Body>
  std::vector<DispatchEffect> apply(Body body) {
    DispatchStep step =
        reduce(std::move(state), DispatchEvent{now, std::move(body)});
    state = std::move(step.state);
    return step.effects;
  }

  // Starts with `engines` idle endpoints.
  void start(int engines, const FleetConfig& fleet, double kv_capacity = 10000);

  // Queues one request and returns the effects.
  std::vector<DispatchEffect> enqueue(const QueuedRequest& item);

  // Reports a running request.
  std::vector<DispatchEffect> progress(const QueuedRequest& item,
                                       const std::string& endpoint,
                                       std::uint32_t produced, RunState run);

  // Lets time pass with ticks every 100 ms; returns all effects.
  std::vector<DispatchEffect> advance(Millis duration);

  DispatchState state;
  Millis now = 1000;
};

// Drives the entry reducer.
class EntryHarness {
 public:
  EntryHarness();

  template <class Body>
  std::vector<EntryEffect> apply(Body body) {
    EntryStep step =
        reduce(std::move(state), EntryEvent{now, wall_minute, std::move(body)});
    state = std::move(step.state);
    return step.effects;
  }

  // Asks for a generation and grants it engine-1; returns its number.
  std::uint64_t start_generation(const std::string& key = {});

  // Delivers items with the sequence numbers [from, to); 0 is the created
  // event, the others are tokens.
  std::vector<EntryEffect> deliver(std::uint64_t request, std::uint32_t attempt,
                                   std::int64_t from, std::int64_t to);

  std::vector<EntryEffect> advance(Millis duration);

  EntryState state;
  Millis now = 1000;
  std::uint64_t wall_minute = 7;

 private:
  std::uint64_t last_request_ = 0;
};

// Returns the effects of type T.
template <class T, class Effect>
std::vector<T> effects_of(const std::vector<Effect>& effects) {
  std::vector<T> found;
  for (const Effect& effect : effects) {
    if (const T* one = std::get_if<T>(&effect)) found.push_back(*one);
  }
  return found;
}

}  // namespace peridotreach::samples
