#include "libperidotreach/routing/output_length.h"

#include <algorithm>
#include <cmath>

namespace peridotreach {
namespace {

// Weight of the hint in the logarithm of the length. Hints and lengths spread
// about alike, so each says about half.
constexpr double kHintWeight = 0.45;

// Output expected where nothing is known, as a share of the most.
constexpr double kExpectedShare = 0.5;

// Finished generations of a route from which on they are weighed in.
constexpr double kLeastLearned = 8;

// The least growth of an expectation that was overrun, so that it is not
// overrun again at once.
constexpr double kOverrunGrowth = 1.25;

bool has_learned(const LengthModel& lengths, const RequestState& request) {
  const auto found = lengths.by_rank.find(request.route.name);
  return found != lengths.by_rank.end() && found->second.total >= kLeastLearned;
}

SurvivalCurve curve_of(const LengthModel& lengths,
                       const RequestState& request) {
  return survival_curve(lengths, request.route.name, request.account);
}

double bounded(const RequestState& request, double tokens) {
  const std::uint32_t most = request.facts.most_output_tokens;
  return most == 0 ? tokens : std::min(tokens, static_cast<double>(most));
}

}  // namespace

double expected_output(const LengthModel& lengths,
                       const RequestState& request) {
  const CallerRequest& facts = request.facts;
  const double hint = facts.length_hint > 0
                          ? static_cast<double>(facts.length_hint)
                          : kExpectedShare * facts.most_output_tokens;
  if (!has_learned(lengths, request)) return bounded(request, hint);
  const double usual = mean_remaining(curve_of(lengths, request), 0);
  const double log_length = kHintWeight * std::log(std::max(1.0, hint)) +
                            (1 - kHintWeight) * std::log(std::max(1.0, usual));
  return bounded(request, std::exp(log_length));
}

double expected_after_overrun(const LengthModel& lengths,
                              const RequestState& request, double produced) {
  double expected = kOverrunGrowth * produced;
  if (has_learned(lengths, request)) {
    const double ahead = mean_remaining(curve_of(lengths, request), produced);
    expected = std::max(expected, produced + ahead);
  }
  return std::max(produced, bounded(request, expected));
}

void learn_length(LengthModel& lengths, const RequestState& request,
                  double produced) {
  observe_length(lengths, request.route.name, request.account,
                 static_cast<std::uint32_t>(produced));
}

}  // namespace peridotreach
