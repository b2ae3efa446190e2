#pragma once

// Sample configurations, views and requests, and harnesses that drive the
// reducers in virtual time.

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "libperidotreach/dispatch_reducer.h"
#include "libperidotreach/entry_reducer.h"

namespace peridotreach::samples {

// Returns a configuration with the ranks "urgent", which has headroom, and
// "bulk", which has a floor, and the callers "large" and "small".
FleetConfig config(double bulk_floor = 0.2, double urgent_headroom = 0.1);

// Returns a view with `engines` endpoints of the service "model", two endpoints
// of the service "records", and entry VMs vm-1 to vm-3 in three zones.
FleetView view(int engines);

// Returns a queued request of the entry on vm-1.
QueuedRequest request(std::uint64_t number, const std::string& caller,
                      const std::string& rank, Millis at,
                      std::uint64_t fingerprint = 0);

// Returns the load report of an idle endpoint whose KV cache holds
// `kv_capacity` tokens.
EndpointLoad idle_load(double kv_capacity = 10000);

// Drives the dispatch reducer.
class DispatcherHarness {
 public:
  explicit DispatcherHarness(DispatchPolicy policy = DispatchPolicy::kFull);

  // Applies one event at the current time and returns its effects.
  template <class Body>
  std::vector<DispatchEffect> apply(Body body) {
    DispatchStep step =
        reduce(std::move(state), DispatchEvent{now, std::move(body)});
    state = std::move(step.state);
    return step.effects;
  }

  // Sets up a cell with `engines` idle endpoints.
  void start(int engines, const FleetConfig& fleet, double kv_capacity = 10000);

  // Queues a request and returns the effects.
  std::vector<DispatchEffect> enqueue(const QueuedRequest& queued);

  // Reports the progress of a request to the dispatcher.
  std::vector<DispatchEffect> progress(const QueuedRequest& queued,
                                       const std::string& endpoint,
                                       std::uint32_t produced_tokens,
                                       RunState run);

  // Advances the time with a heartbeat and a tick every 100 ms. Returns all
  // effects.
  std::vector<DispatchEffect> advance(Millis duration);

  DispatchState state;
  Millis now = 1000;
};

// Drives the entry reducer.
class EntryHarness {
 public:
  EntryHarness();

  // Applies one event at the current time and returns its effects.
  template <class Body>
  std::vector<EntryEffect> apply(Body body) {
    EntryStep step =
        reduce(std::move(state), EntryEvent{now, wall_minute, std::move(body)});
    state = std::move(step.state);
    return step.effects;
  }

  // Requests a generation, grants engine-1 to it, and returns its request
  // number.
  std::uint64_t start_generation(const std::string& key = {});

  // Delivers stream events with the sequence numbers [from, to): 0 is the
  // created event, the others are tokens.
  std::vector<EntryEffect> deliver(std::uint64_t request, std::uint32_t attempt,
                                   std::int64_t from, std::int64_t to);

  // Advances the time with a tick every 50 ms; dispatchers stay silent. Returns
  // all effects.
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
    if (const T* match = std::get_if<T>(&effect)) found.push_back(*match);
  }
  return found;
}

}  // namespace peridotreach::samples
