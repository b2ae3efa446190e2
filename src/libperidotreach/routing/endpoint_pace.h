#pragma once

// The pace of an engine that has just started, restarted or failed and come
// back. Load: such an engine is empty, so that it is the cheapest choice of a
// whole cell, while nobody knows yet how fast it answers. A window bounds the
// prompts that await their first event there. It doubles when they are answered
// as fast as the engine's peers answer, halves on failures and late answers,
// and ends once it is as wide as that of its peers.

#include <cstdint>

#include "libperidotreach/time.h"

namespace peridotreach {

// Time until a granted placement shows in the reports of the process that uses
// it.
inline constexpr Millis kGrantVisibleAfter = 350;

// How fast prompts are answered at one engine, from what processes report.
struct AnswerRate {
  // Prompt tokens that awaited their first event when last observed, and when
  // that was; 0 if it never was.
  std::uint64_t pending_tokens = 0;
  Millis observed_at = 0;
  // Prompt tokens answered in a millisecond while some were pending, as a
  // moving average; 0 if nothing is known.
  double tokens_per_ms = 0;

  bool operator==(const AnswerRate&) const = default;
};

// Updates the rate by the prompt tokens that are pending now. Returns how many
// were answered since the last observation. Prompts that arrived meanwhile hide
// as many that were answered, so that it is a lower bound.
std::uint64_t observe_pending(AnswerRate& rate, std::uint64_t pending_tokens,
                              Millis now);

// The window of one engine. All zeros if it has none.
struct PaceWindow {
  // When it began; 0 if there is none.
  Millis began_at = 0;
  // Prompt tokens that may be pending. A single prompt is always allowed.
  std::uint64_t tokens = 0;
  // The present round: when its first prompt was granted or reported, the
  // prompt tokens granted and answered in it, and the time of its last grant.
  Millis round_began_at = 0;
  std::uint64_t granted_tokens = 0;
  std::uint64_t answered_tokens = 0;
  Millis granted_at = 0;
  // Recent transport failures of all processes at the last observation.
  double failures = 0;
  // This process, as the placement coordinator, has granted prompts.
  bool is_used = false;

  bool operator==(const PaceWindow&) const = default;
};

// What is known of the engine when its window is adjusted.
struct PaceObservation {
  Millis now = 0;
  std::uint64_t pending_tokens = 0;
  std::uint64_t answered_tokens = 0;
  double failures = 0;
  // Prompt tokens that a peer of the engine answers in a millisecond.
  double peer_tokens_per_ms = 0;
  // The window of its peers.
  std::uint64_t peer_window = 0;

  bool operator==(const PaceObservation&) const = default;
};

// How a window was changed.
enum class PaceChange { kNone, kWidened, kNarrowed, kEnded };

// Returns the name of `change` as used in logs.
const char* pace_change_name(PaceChange change);

// Returns whether the engine has a window.
bool is_paced(const PaceWindow& window);

// Begins a window of a single prompt.
void begin_pace(PaceWindow& window, double failures, Millis now);

// Records that a prompt was granted to the engine.
void record_paced_grant(PaceWindow& window, std::uint64_t prompt_tokens,
                        Millis now);

// Returns whether another prompt may be granted while `pending_tokens` await
// their first event.
bool allows_prompt(const PaceWindow& window, std::uint64_t pending_tokens,
                   std::uint64_t prompt_tokens);

// Adjusts the window by what the engine has answered.
PaceChange adjust_pace(PaceWindow& window, const PaceObservation& observed);

}  // namespace peridotreach
