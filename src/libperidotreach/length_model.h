#pragma once

// Online model of output lengths. Lengths are unknown until a generation
// ends, so the model learns from finished generations and answers how long a
// running one may still take, given what it has produced.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace peridotreach {

// Two buckets an octave, from 1 token to 2^18 tokens.
inline constexpr std::size_t kLengthBuckets = 36;

// Decayed counts of finished generations by length bucket.
struct LengthHistogram {
  std::array<double, kLengthBuckets> weight{};
  double total = 0;

  bool operator==(const LengthHistogram&) const = default;
};

// Probability of exceeding the lower bound of each bucket.
using SurvivalCurve = std::array<double, kLengthBuckets + 1>;

// Histograms for a rank of one service and for each caller in it. A caller's
// curve is shrunk towards its rank's, and the rank's towards a prior that is
// uniform in the logarithm of the length.
struct LengthModel {
  std::map<std::string, LengthHistogram> by_rank;
  std::map<std::string, LengthHistogram> by_caller;

  bool operator==(const LengthModel&) const = default;
};

// Returns the lowest length, in tokens, of bucket `index`.
double bucket_lower_bound(std::size_t index);

// Adds a finished generation of `tokens` tokens and decays older ones.
void observe_length(LengthModel& model, const std::string& rank,
                    const std::string& caller, std::uint32_t tokens);

// Returns the curve for a caller's work in a rank.
SurvivalCurve survival_curve(const LengthModel& model, const std::string& rank,
                             const std::string& caller);

// Returns the probability that a length exceeds `tokens`, interpolated.
double survival_at(const SurvivalCurve& curve, double tokens);

// Returns the probability that a generation which has produced `produced`
// tokens goes on for more than `ahead` further ones.
double remaining_survival(const SurvivalCurve& curve, double produced,
                          double ahead);

// Returns the mean remaining tokens after `produced`.
double mean_remaining(const SurvivalCurve& curve, double produced);

}  // namespace peridotreach
