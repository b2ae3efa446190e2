#include "libperidotreach/routing/fragile_endpoints.h"

#include <algorithm>
#include <cmath>

namespace peridotreach {
namespace {

constexpr double kNewestCallWeight = 0.2;

constexpr Millis kMaxMeasurementAge = 10 * kSecond;

// Processes report the slots that they hold each second.
constexpr Millis kReportLifetime = 2 * kSecond;

// How much of the slots is withheld after rejections, how often that happens at
// the most, and how much of it is given back a second.
constexpr double kWithheldAtOnce = 0.17;
constexpr double kMaxWithheld = 0.85;
constexpr Millis kMinReductionInterval = 50;
constexpr double kGivenBackPerSecond = 0.1;

// Share of the slots by which more may be handed out than there are, if the
// endpoint may reject as many calls a second as that tries to find out.
constexpr double kMaxExceededShare = 0.2;
constexpr double kMinLimitToExceed = 4;

// Time in which a new coordinator hands out only a part of the slots, as it
// does not know yet which are in use.
constexpr Millis kStartTime = 300;
constexpr double kStartShare = 0.34;

// Share of the fleet from which a coordinator hands out all slots. At most one
// part of a split fleet is larger.
constexpr double kMajority = 0.5;

constexpr Millis kMinRetryInterval = 2;
constexpr Millis kMaxWait = 500;

std::uint32_t held_slots(const SlotLedger& ledger, Millis now) {
  std::uint32_t sum = 0;
  for (const auto& [process, held] : ledger.held_by_process) {
    if (now - held.updated_at <= kReportLifetime) sum += held.slots;
  }
  return sum;
}

}  // namespace

void record_call_time(CallTime& time, Millis duration, Millis now) {
  const auto measured = static_cast<double>(duration);
  time.average_ms =
      is_current(time, now)
          ? time.average_ms + kNewestCallWeight * (measured - time.average_ms)
          : measured;
  time.measured_at = now;
}

bool is_current(const CallTime& time, Millis now) {
  return time.measured_at != 0 && now - time.measured_at < kMaxMeasurementAge;
}

void update_slots(SlotLedger& ledger, const SlotReport& report, double slots,
                  double rejection_limit, Millis now) {
  if (ledger.started_at == 0) ledger.started_at = ledger.updated_at = now;
  const auto elapsed = static_cast<double>(now - ledger.updated_at) / kSecond;
  const double least =
      rejection_limit < kMinLimitToExceed ? 0 : -kMaxExceededShare * slots;
  ledger.withheld =
      std::max(least, ledger.withheld - kGivenBackPerSecond * slots * elapsed);
  ledger.updated_at = now;
  ledger.held_by_process[report.process] = {report.held, now};
  std::erase_if(ledger.held_by_process, [&](const auto& entry) {
    return now - entry.second.updated_at > kReportLifetime;
  });
  const bool is_reduced =
      report.rejections > 0 && now - ledger.reduced_at >= kMinReductionInterval;
  if (!is_reduced) return;
  ledger.withheld =
      std::min(kMaxWithheld * slots, ledger.withheld + kWithheldAtOnce * slots);
  ledger.reduced_at = now;
}

std::uint32_t free_slots(const SlotLedger& ledger, double slots,
                         double live_share, Millis now) {
  double usable = slots - ledger.withheld;
  if (now - ledger.started_at < kStartTime) usable *= kStartShare;
  if (live_share <= kMajority) usable *= live_share;
  const double left = usable - held_slots(ledger, now);
  // One call at a time shows whether the endpoint takes more again.
  if (held_slots(ledger, now) == 0 && live_share > kMajority)
    return static_cast<std::uint32_t>(std::max(1.0, std::floor(left)));
  return static_cast<std::uint32_t>(std::max(0.0, std::floor(left)));
}

void hand_out_slots(SlotLedger& ledger, const std::string& process,
                    std::uint32_t slots, Millis now) {
  HeldSlots& held = ledger.held_by_process[process];
  held.slots += slots;
  held.updated_at = now;
}

Millis wait_for_slot(SlotLedger& ledger, double slots, double call_ms,
                     Millis now) {
  const auto interval = std::max(
      kMinRetryInterval, static_cast<Millis>(call_ms / std::max(1.0, slots)));
  // Within the duration of a call, all slots become free.
  const Millis longest =
      std::clamp(static_cast<Millis>(call_ms), interval, kMaxWait);
  ledger.last_retry_at = std::clamp(ledger.last_retry_at + interval,
                                    now + interval, now + longest);
  return ledger.last_retry_at - now;
}

}  // namespace peridotreach
