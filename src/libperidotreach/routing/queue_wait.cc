#include "libperidotreach/routing/queue_wait.h"

#include <algorithm>

#include "libperidotreach/routing/endpoint_choice.h"

namespace peridotreach {
namespace {

// Time for which requests have to be queued before their wait is estimated, so
// that a short burst rejects nobody.
constexpr Millis kMinObservation = kSecond;

void remove_older(std::deque<Millis>& times, Millis oldest) {
  while (!times.empty() && times.front() < oldest) times.pop_front();
}

// Returns the time in which `count` requests are placed if `placed` were placed
// in the last window. At least one placement is assumed: capacity may become
// free although none did lately.
Millis time_to_place(std::size_t count, std::size_t placed) {
  const auto rate = static_cast<double>(std::max<std::size_t>(placed, 1)) /
                    static_cast<double>(kPlacementRateWindow);
  return static_cast<Millis>(static_cast<double>(count) / rate);
}

}  // namespace

void record_placement(PlacementRate& rate, bool is_late, Millis now) {
  std::deque<Millis>& times = is_late ? rate.late : rate.in_time;
  times.push_back(now);
  remove_older(times, now - kPlacementRateWindow);
}

void record_queue_state(PlacementRate& rate, bool has_queued, Millis now) {
  if (!has_queued) {
    rate.queued_since = 0;
  } else if (rate.queued_since == 0) {
    rate.queued_since = now;
  }
}

std::optional<Millis> expected_wait(const PlacementRate& rate,
                                    const PlacementQueue& queue,
                                    const WaitingPlacement& waiting,
                                    Millis now) {
  const Millis queued_for = now - rate.queued_since;
  if (rate.queued_since == 0 || queued_for < kMinObservation)
    return std::nullopt;
  const auto recent = [&](const std::deque<Millis>& times) {
    return static_cast<std::size_t>(std::count_if(
        times.begin(), times.end(),
        [&](Millis at) { return at >= now - kPlacementRateWindow; }));
  };
  std::size_t in_time_ahead = 0;
  std::size_t older = 0;
  for (const WaitingPlacement& other : queue) {
    if (is_prioritized(other.requirements)) continue;
    if (is_served_before(other, waiting)) in_time_ahead += 1;
    if (other.waiting_since < waiting.waiting_since) older += 1;
  }
  const Millis time_until_late = waiting.requirements.time_until_late;
  if (time_until_late > 0) {
    const Millis wait = time_to_place(in_time_ahead + 1, recent(rate.in_time));
    if (wait <= time_until_late) return wait;
  }
  return time_until_late + time_to_place(older + 1, recent(rate.late));
}

}  // namespace peridotreach
