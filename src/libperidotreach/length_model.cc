#include "libperidotreach/length_model.h"

#include <algorithm>
#include <cmath>

namespace peridotreach {
namespace {

// Factor on the weight of older observations at each new one.
constexpr double kRankDecay = 0.998;
constexpr double kCallerDecay = 0.99;

// Weight of the prior in a rank's curve, and of the rank's curve in the curves
// of its callers, in observations.
constexpr double kPriorWeight = 4;
constexpr double kRankWeight = 20;

// Longest output that the prior expects, in tokens.
constexpr double kPriorMaxTokens = 8192;

std::size_t bucket_of(double tokens) {
  if (tokens < 1) return 0;
  const auto index = static_cast<std::size_t>(2 * std::log2(tokens));
  return std::min(index, kLengthBuckets - 1);
}

void add_sample(LengthHistogram& histogram, double tokens, double decay) {
  for (double& weight : histogram.weight) weight *= decay;
  histogram.weight.at(bucket_of(tokens)) += 1;
  histogram.total = histogram.total * decay + 1;
}

SurvivalCurve prior_curve() {
  SurvivalCurve curve{};
  for (std::size_t i = 0; i <= kLengthBuckets; ++i) {
    const double lower_bound = bucket_lower_bound(i);
    const double log_left =
        std::log2(kPriorMaxTokens / std::max(1.0, lower_bound));
    curve.at(i) = std::max(0.0, log_left / std::log2(kPriorMaxTokens));
  }
  return curve;
}

// Returns the curve of `histogram` shrunk towards `parent`.
SurvivalCurve shrink(const LengthHistogram& histogram,
                     const SurvivalCurve& parent, double parent_weight) {
  SurvivalCurve curve{};
  const double total = histogram.total + parent_weight;
  double above = 0;
  for (std::size_t i = kLengthBuckets; i > 0; --i) {
    curve.at(i) = (above + parent_weight * parent.at(i)) / total;
    above += histogram.weight.at(i - 1);
  }
  curve.at(0) = 1;
  return curve;
}

std::string caller_key(const std::string& rank, const std::string& caller) {
  return rank + "/" + caller;
}

}  // namespace

double bucket_lower_bound(std::size_t index) {
  return index == 0 ? 0 : std::exp2(static_cast<double>(index) / 2);
}

void observe_length(LengthModel& model, const std::string& rank,
                    const std::string& caller, std::uint32_t tokens) {
  add_sample(model.by_rank[rank], tokens, kRankDecay);
  add_sample(model.by_caller[caller_key(rank, caller)], tokens, kCallerDecay);
}

SurvivalCurve survival_curve(const LengthModel& model, const std::string& rank,
                             const std::string& caller) {
  static const SurvivalCurve kPrior = prior_curve();
  SurvivalCurve curve = kPrior;
  const auto by_rank = model.by_rank.find(rank);
  if (by_rank != model.by_rank.end()) {
    curve = shrink(by_rank->second, curve, kPriorWeight);
  }
  const auto by_caller = model.by_caller.find(caller_key(rank, caller));
  if (by_caller != model.by_caller.end()) {
    curve = shrink(by_caller->second, curve, kRankWeight);
  }
  return curve;
}

double survival_at(const SurvivalCurve& curve, double tokens) {
  const std::size_t index = bucket_of(tokens);
  const double low = bucket_lower_bound(index);
  const double high = bucket_lower_bound(index + 1);
  const double part = std::clamp((tokens - low) / (high - low), 0.0, 1.0);
  return curve.at(index) * (1 - part) + curve.at(index + 1) * part;
}

double remaining_survival(const SurvivalCurve& curve, double produced,
                          double ahead) {
  const double reached = survival_at(curve, produced);
  // Beyond the observed lengths, the survival of a power law with exponent 2 is
  // assumed: the longer a generation has run, the longer it is expected to run.
  const double share = (produced + 1) / (produced + 1 + ahead);
  const double tail = share * share;
  constexpr double kMinSurvival = 1e-3;
  if (reached < kMinSurvival) return tail;
  return std::clamp(survival_at(curve, produced + ahead) / reached, 0.0, 1.0);
}

double mean_remaining(const SurvivalCurve& curve, double produced) {
  double mean = 0;
  double at = 0;
  constexpr double kMaxTokens = 65536;
  for (double step = 16; at < kMaxTokens; step *= 1.5) {
    const double left = remaining_survival(curve, produced, at);
    const double right = remaining_survival(curve, produced, at + step);
    mean += step * (left + right) / 2;
    at += step;
  }
  return mean;
}

}  // namespace peridotreach
