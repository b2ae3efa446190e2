#include "libperidotreach/routing/planned_stop.h"

#include <algorithm>

namespace peridotreach {
namespace {

constexpr Millis kCloseIdleAfter = 1500;
constexpr Millis kAcceptTime = 3 * kSecond;

// Time after the last connections were accepted for their requests to be read.
constexpr Millis kLastRequestsTime = 200;

// Parts of the grace period that remain when requests get their outcome, and
// when the process ends.
constexpr Millis kAnswerMarginDivisor = 12;
constexpr Millis kEndMarginDivisor = 20;

// Streams that arrive later than this are taken only if their deadline is
// before the end of the stop. Callers know of other processes by then.
constexpr Millis kEstimateUntil = 2500;

// Time for the first event of a stream, and for each token after it on a busy
// engine.
constexpr Millis kTimeToFirstEvent = 600;
constexpr double kMillisPerToken = 15;

// Outputs may be this many times as long as expected.
constexpr double kLengthMargin = 2;

}  // namespace

StopSchedule stop_schedule(Millis grace) {
  StopSchedule schedule;
  schedule.answer_by = grace - grace / kAnswerMarginDivisor;
  schedule.end_by = grace - grace / kEndMarginDivisor;
  schedule.close_idle_after = std::min(kCloseIdleAfter, schedule.answer_by);
  schedule.accept_until = std::min(kAcceptTime, schedule.answer_by);
  schedule.end_after =
      std::min(kAcceptTime + kLastRequestsTime, schedule.end_by);
  return schedule;
}

Millis time_left(const PlannedStop& stop, Millis now) {
  return std::max<Millis>(0, stop.started_at + stop.schedule.answer_by - now);
}

Millis time_needed(const RequestDuration& duration) {
  const bool is_bound = duration.kind != CallKind::kStream ||
                        duration.arrived_after > kEstimateUntil;
  if (is_bound) return duration.limit;
  const double generation =
      kLengthMargin * duration.output_tokens * kMillisPerToken;
  return std::min(duration.limit,
                  kTimeToFirstEvent + static_cast<Millis>(generation));
}

StopAction stop_action(RequestStage stage, Millis left, Millis needed) {
  const bool is_over = left <= 0;
  switch (stage) {
    case RequestStage::kBeingRead:
      return is_over ? StopAction::kClose : StopAction::kContinue;
    case RequestStage::kQueued:
      return is_over || needed > left ? StopAction::kReject
                                      : StopAction::kContinue;
    case RequestStage::kSent:
      return is_over ? StopAction::kFail : StopAction::kContinue;
    case RequestStage::kStreaming:
      return is_over ? StopAction::kBreakOff : StopAction::kContinue;
  }
  return StopAction::kContinue;
}

}  // namespace peridotreach
