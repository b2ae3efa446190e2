#pragma once

// A routing reducer in virtual time, with a manifest and endpoints to try.

#include <string>
#include <variant>
#include <vector>

#include "libperidotreach/routing/routing_reducer.h"

namespace peridotreach::samples {

// Returns a manifest with a stream, a non-idempotent and an idempotent route.
Manifest sample_manifest(std::uint64_t version);

// Returns the listed entry of an endpoint.
EndpointEntry sample_endpoint(const std::string& id, const std::string& service,
                              const std::string& zone = "a");

// A router under test. Each call returns the effects of its events.
class RouterHarness {
 public:
  // Starts with a manifest, three engines e1 to e3 and two plain endpoints
  // p1 and p2.
  RouterHarness();

  std::vector<RoutingEffect> apply(decltype(RoutingEvent::body) body);

  // Lets time pass and ticks.
  std::vector<RoutingEffect> advance(Millis duration);

  // Sends a request on the route with `path`. Returns its number. Room is
  // granted by the router itself, as in a fleet of one.
  std::uint64_t send_request(const std::string& path);

  // Sends a request whose question for room stays open.
  std::uint64_t send_request_unplaced(const std::string& path);

  // Asks the router for the room that `effects` ask for and hands the answer
  // back.
  std::vector<RoutingEffect> answer_placements(
      const std::vector<RoutingEffect>& asking);

  // The last attempt that was started for a request.
  StartAttempt last_attempt(std::uint64_t request) const;

  RoutingState state;
  Millis now = 1000;
  std::vector<RoutingEffect> effects;

 private:
  std::uint64_t next_request_ = 1;
  std::vector<StartAttempt> attempts_;
};

// Returns the effects of one kind.
template <class T>
std::vector<T> effects_of(const std::vector<RoutingEffect>& effects) {
  std::vector<T> found;
  for (const RoutingEffect& effect : effects) {
    if (const T* match = std::get_if<T>(&effect)) found.push_back(*match);
  }
  return found;
}

}  // namespace peridotreach::samples
