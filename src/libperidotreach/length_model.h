#pragma once

// Online model of output lengths. The length of a generation is unknown until
// it ends, so the model learns from finished generations and estimates how many
// tokens a running one will still produce, given what it has produced.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace peridotreach {

// Number of logarithmic length buckets: two for each doubling, from 1 token to
// 2^18 tokens.
inline constexpr std::size_t kLengthBuckets = 36;

// Exponentially decayed counts of finished generations by length bucket.
struct LengthHistogram {
  std::array<double, kLengthBuckets> weight{};
  double total = 0;

  bool operator==(const LengthHistogram&) const = default;
};

// Probabilities that a length exceeds the lower bound of each bucket.
using SurvivalCurve = std::array<double, kLengthBuckets + 1>;

// Histograms for each rank of one service and for each caller in a rank. Few
// observations are regularized: a caller's curve is shrunk towards that of its
// rank, and the rank's curve towards a prior that is uniform in the logarithm
// of the length.
struct LengthModel {
  std::map<std::string, LengthHistogram> by_rank;
  std::map<std::string, LengthHistogram> by_caller;

  bool operator==(const LengthModel&) const = default;
};

// Returns the lower bound of bucket `index`, in tokens.
double bucket_lower_bound(std::size_t index);

// Adds a finished generation of `tokens` output tokens and decays older ones.
void observe_length(LengthModel& model, const std::string& rank,
                    const std::string& caller, std::uint32_t tokens);

// Returns the curve for the requests of `caller` in `rank`.
SurvivalCurve survival_curve(const LengthModel& model, const std::string& rank,
                             const std::string& caller);

// Returns the probability that a length exceeds `tokens`, interpolated between
// bucket bounds.
double survival_at(const SurvivalCurve& curve, double tokens);

// Returns the probability that a generation which has produced `produced`
// tokens produces more than `ahead` further ones.
double remaining_survival(const SurvivalCurve& curve, double produced,
                          double ahead);

// Returns the expected number of further tokens after `produced`.
double mean_remaining(const SurvivalCurve& curve, double produced);

}  // namespace peridotreach
