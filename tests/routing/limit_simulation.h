#pragma once

// A fleet of routing reducers that send calls to endpoints with limited rates,
// or to cold ones, in virtual time. Processes exchange reports and requests for
// permits over links with a delay, and may be cut off, paused or restarted.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libperidotreach/routing/peer_view.h"
#include "libperidotreach/routing/routing_reducer.h"

namespace peridotreach::samples {

// A call that reached an endpoint.
struct SimulatedArrival {
  Millis at = 0;
  std::string vm;
  std::string endpoint;
  // Whether an answer that named the limit had reached the process at least
  // half a second before, and nothing had disturbed it since then or lately.
  bool counts = false;
};

// The callers' view of what happened.
struct SimulatedOutcomes {
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  Millis longest_wait_of_rejected = 0;
};

// How many calls an endpoint runs at once and lets wait, and the calls a second
// that it may reject for want of capacity before it fails for some seconds.
struct SimulatedCapacity {
  std::size_t slots = 0;
  std::size_t waiting = 0;
  std::size_t max_rejections = 0;
};

class LimitSimulation {
 public:
  // Each endpoint takes `requests_per_second` and names that as its limit if
  // there is one; while cold, it takes `cold_requests_per_second` if that is
  // not 0.
  LimitSimulation(std::size_t vms, std::size_t endpoints,
                  std::optional<double> requests_per_second,
                  double cold_requests_per_second = 0);

  // Runs for `duration` with `calls_per_second` in the whole fleet.
  void run(Millis duration, double calls_per_second);

  // Disturbances, from now on. A cut-off process reaches endpoints, but no
  // peer.
  void cut_off(std::size_t vm);
  void reconnect(std::size_t vm);
  void pause(std::size_t vm);
  void resume(std::size_t vm);
  void restart(std::size_t vm);

  // From now on, endpoints run calls for `service_time` each within `capacity`.
  void bound_capacity(SimulatedCapacity capacity, Millis service_time);

  // Returns how often endpoints have failed for rejecting too much.
  std::size_t failures() const { return failures_; }

  // Every process learns that the endpoint stays cold for `remaining`.
  void list_cold(std::size_t endpoint, Millis remaining);

  // Returns the process that coordinates the permits of an endpoint, by the
  // view of process `vm`.
  std::size_t coordinator(std::size_t endpoint, std::size_t vm) const;

  // Returns the largest number of counted arrivals at an endpoint in any 4 s
  // after the grace period.
  std::size_t most_arrivals_in_window() const;

  // Returns the largest number of arrivals at an endpoint in any second after
  // `since`.
  std::size_t most_arrivals_in_second(Millis since) const;

  // Returns how many calls reached all endpoints after `since`.
  std::size_t arrivals_since(Millis since) const;

  const SimulatedOutcomes& outcomes() const { return outcomes_; }
  Millis now() const { return now_; }

 private:
  struct Process {
    std::string vm;
    RoutingState state;
    PeerView view;
    std::uint64_t incarnation = 1;
    bool is_cut_off = false;
    bool is_paused = false;
    Millis disturbed_at = -1;
    // When it first heard the limit of each endpoint.
    std::map<std::string, Millis> told_at;
    std::map<std::uint64_t, Millis> arrived_at;
    // What arrived while it was paused.
    std::deque<std::function<void()>> missed;
  };

  void apply(Process& process, decltype(RoutingEvent::body) body);
  void start(Process& process);
  void list(Process& process, std::size_t endpoint);
  void send(Process& from, const std::string& to, std::function<void()> deliver,
            Millis delay);
  void later(Millis delay, Process& process, std::function<void()> action);
  void report(Process& process);
  void request_permits(Process& process, const RequestPermits& effect);
  void answer_permits(Process& process, const AnswerPermits& effect);
  void start_attempt(Process& process, const StartAttempt& attempt);
  void run_call(const std::string& id, std::function<void()> end_call);
  void reject_call(const std::string& id);
  void finish(Process& process, const StartAttempt& attempt,
              AttemptOutcome outcome, unsigned status);
  void perform(Process& process, const RoutingEffect& effect);
  Process& find(const std::string& vm);
  bool counts(const Process& process, const std::string& endpoint) const;

  // An endpoint whose capacity is bounded.
  struct BoundedEndpoint {
    std::size_t running = 0;
    std::deque<std::function<void()>> waiting;
    std::deque<Millis> rejected_at;
    Millis fails_until = 0;
    // Calls that run end broken if it fails meanwhile.
    std::uint64_t start = 1;
  };

  Millis now_ = 1000;
  std::optional<SimulatedCapacity> capacity_;
  Millis service_time_ = 30;
  std::map<std::string, BoundedEndpoint> bounded_;
  std::size_t failures_ = 0;
  Millis started_at_ = 1000;
  std::optional<double> rate_;
  double cold_rate_;
  // Until when each endpoint stays cold.
  std::map<std::size_t, Millis> cold_until_;
  std::size_t endpoints_;
  double calls_due_ = 0;
  std::uint64_t random_ = 1;
  std::uint64_t next_request_ = 1;
  std::vector<Process> processes_;
  std::multimap<Millis, std::function<void()>> scheduled_;
  std::vector<SimulatedArrival> arrivals_;
  SimulatedOutcomes outcomes_;
};

}  // namespace peridotreach::samples
