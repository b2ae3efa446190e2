#pragma once

// Plays floods of generations against placement coordinators, with simulated
// engines that hold a bounded number of tokens and prefill one prompt after
// another, and with callers that leave when they have waited too long and retry
// once after a rejection.

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tests/routing/router_harness.h"

namespace peridotreach::samples {

// Tokens that a simulated engine holds.
inline constexpr double kSimulatedEngineTokens = 34000;

// A kind of generation that callers send.
struct GenerationKind {
  std::string name;
  std::uint32_t prompt = 0;
  // Median and spread of the lognormal output length, in tokens.
  double output = 0;
  double spread = 0;
  std::uint32_t rank = 0;
  Millis objective = 0;
};

// What a caller's request got.
struct SimulatedRequest {
  std::size_t kind = 0;
  std::size_t cell = 0;
  Millis arrived_at = 0;
  std::uint32_t output = 0;
  Millis asked_at = 0;
  // 0 while it waits.
  Millis placed_at = 0;
  Millis first_event_at = 0;
  Millis ends_at = 0;
  std::string endpoint;
  // Times of rejections, and when the caller comes back; 0 if it does not.
  std::vector<Millis> rejected_at;
  Millis returns_at = 0;
  bool caller_left = false;
};

// Arrivals of one kind at one cell.
struct Arrivals {
  std::size_t kind = 0;
  std::size_t cell = 0;
  double per_s = 0;
  Millis from = 0;
  Millis until = 0;
};

// One coordinator for each cell, with three engines.
class FloodSimulation {
 public:
  FloodSimulation(std::vector<GenerationKind> kinds, std::size_t cells);

  // Makes the first engine of each cell slow and the last one fast, and lets
  // processes report the speeds until then.
  void make_uneven(Millis report_until);

  // Plays until `duration` after the start.
  void play(const std::vector<Arrivals>& arrivals, Millis duration);

  // Share of the requests of a kind, at one cell or at all (-1), whose first
  // event came within the objective, or came at all.
  double share_in_time(std::size_t kind, int cell = -1) const;
  double share_served(std::size_t kind, int cell = -1) const;
  // Share of the requests that were served and ran on no slow engine while it
  // prefilled another prompt.
  double share_uninterrupted(std::size_t kind) const;
  // Share of the requests whose callers left without an answer.
  double share_held_to_the_end(std::size_t kind) const;
  // Share of the first rejections that came within the objective.
  double share_rejected_within_objective(std::size_t kind) const;
  // Requests that were rejected and served after their return.
  std::size_t served_after_rejection() const;
  // Share of the largest tenth of outputs that was served, relative to all.
  double largest_tenth_served(std::size_t kind) const;
  // Highest share of an engine's memory in use.
  double highest_memory_share() const { return highest_memory_share_; }

 private:
  struct Cell;

  template <class Predicate>
  double share(std::size_t kind, int cell, Predicate counts) const;
  void arrive(const Arrivals& arrivals, Millis at);
  void report_usage();
  double slowness_of(const std::string& endpoint) const;
  bool is_interrupted(const SimulatedRequest& request) const;
  void ask(std::uint64_t number, SimulatedRequest& request);
  void apply(std::size_t cell, const std::vector<RoutingEffect>& effects);
  void start(SimulatedRequest& request, const std::string& endpoint);
  void reject(SimulatedRequest& request, Millis retry_after);

  std::vector<GenerationKind> kinds_;
  std::vector<std::shared_ptr<Cell>> cells_;
  Millis now_ = 0;
  std::mt19937 random_{7};
  std::map<std::uint64_t, SimulatedRequest> requests_;
  std::map<std::string, Millis> prefill_free_at_;
  // Time for the same work relative to that of other engines.
  std::map<std::string, double> slowness_;
  Millis speeds_reported_until_ = 0;
  std::uint64_t next_request_ = 1;
  double highest_memory_share_ = 0;
};

}  // namespace peridotreach::samples
