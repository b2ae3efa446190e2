#include "libperidotreach/routing/endpoint_pace.h"

#include <algorithm>
#include <cmath>

namespace peridotreach {
namespace {

// Time over which the rate is averaged: some prompts of usual length.
constexpr double kRateAveragingMs = 2.0 * kSecond;

// Multiple of the time that a peer takes for the prompts of a round, within
// which they are answered in time.
constexpr double kLateFactor = 2;

// Growth of transport failures that narrows the window: a single one may be the
// fault of the process that saw it.
constexpr double kNarrowingFailures = 1.5;

// A window ends after this time at the latest. An engine that still answers
// more slowly than its peers costs more by its speed.
constexpr Millis kMaxPaceTime = 20 * kSecond;

void begin_round(PaceWindow& window) {
  window.round_began_at = 0;
  window.granted_tokens = 0;
  window.answered_tokens = 0;
}

PaceChange narrow(PaceWindow& window) {
  begin_round(window);
  const std::uint64_t before = window.tokens;
  window.tokens = before / 2;
  return before == 0 ? PaceChange::kNone : PaceChange::kNarrowed;
}

}  // namespace

std::uint64_t observe_pending(AnswerRate& rate, std::uint64_t pending_tokens,
                              Millis now) {
  const std::uint64_t before = rate.pending_tokens;
  const Millis elapsed = now - rate.observed_at;
  const bool is_first = rate.observed_at == 0;
  rate.pending_tokens = pending_tokens;
  rate.observed_at = now;
  if (is_first || before == 0 || elapsed <= 0) return 0;
  const std::uint64_t answered =
      before > pending_tokens ? before - pending_tokens : 0;
  const double newest =
      static_cast<double>(answered) / static_cast<double>(elapsed);
  const double weight =
      1 - std::exp(-static_cast<double>(elapsed) / kRateAveragingMs);
  rate.tokens_per_ms += weight * (newest - rate.tokens_per_ms);
  return answered;
}

const char* pace_change_name(PaceChange change) {
  switch (change) {
    case PaceChange::kWidened:
      return "widened";
    case PaceChange::kNarrowed:
      return "narrowed";
    case PaceChange::kEnded:
      return "ended";
    case PaceChange::kNone:
      break;
  }
  return "unchanged";
}

bool is_paced(const PaceWindow& window) { return window.began_at != 0; }

void begin_pace(PaceWindow& window, double failures, Millis now) {
  window = {};
  window.began_at = now;
  window.failures = failures;
}

void record_paced_grant(PaceWindow& window, std::uint64_t prompt_tokens,
                        Millis now) {
  if (!is_paced(window)) return;
  if (window.round_began_at == 0) window.round_began_at = now;
  window.granted_tokens += prompt_tokens;
  window.granted_at = now;
  window.is_used = true;
}

bool allows_prompt(const PaceWindow& window, std::uint64_t pending_tokens,
                   std::uint64_t prompt_tokens) {
  if (!is_paced(window) || pending_tokens == 0) return true;
  return pending_tokens + prompt_tokens <= window.tokens;
}

PaceChange adjust_pace(PaceWindow& window, const PaceObservation& observed) {
  if (!is_paced(window)) return PaceChange::kNone;
  const bool has_failed =
      observed.failures - window.failures >= kNarrowingFailures;
  if (has_failed || observed.failures < window.failures)
    window.failures = observed.failures;
  if (has_failed) return narrow(window);
  if (observed.now - window.began_at >= kMaxPaceTime) {
    window = {};
    return PaceChange::kEnded;
  }
  if (window.round_began_at == 0) {
    // Prompts of other cells count as well.
    if (observed.pending_tokens > 0) window.round_began_at = observed.now;
    return PaceChange::kNone;
  }
  window.answered_tokens += observed.answered_tokens;
  const bool is_idle = observed.pending_tokens == 0 &&
                       observed.now - window.granted_at >= kGrantVisibleAfter;
  const std::uint64_t asked = std::max(
      window.granted_tokens, window.answered_tokens + observed.pending_tokens);
  const double peer_ms =
      static_cast<double>(asked) / std::max(observed.peer_tokens_per_ms, 0.001);
  const auto allowed = kGrantVisibleAfter +
                       static_cast<Millis>(std::ceil(kLateFactor * peer_ms));
  const bool is_late = observed.now - window.round_began_at > allowed;
  const bool is_answered = is_idle || (window.answered_tokens > 0 &&
                                       window.answered_tokens >= window.tokens);
  if (is_late && !is_answered) return narrow(window);
  if (!is_answered) return PaceChange::kNone;
  window.tokens = 2 * std::max(window.tokens, asked);
  begin_round(window);
  if (window.tokens < observed.peer_window) return PaceChange::kWidened;
  window = {};
  return PaceChange::kEnded;
}

}  // namespace peridotreach
