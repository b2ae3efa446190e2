#pragma once

// Learned relation between an endpoint's batch size and its step time, which is
// the time between tokens of every stream on it. A linear fit over load reports
// with exponential decay.

namespace peridotreach {

// Exponentially decayed sums of a linear fit of step time over batch size.
struct StepTimeModel {
  double count = 0;
  double sum_batch = 0;
  double sum_step = 0;
  double sum_batch_sq = 0;
  double sum_batch_step = 0;

  bool operator==(const StepTimeModel&) const = default;
};

template <class F>
auto inspect(F& f, StepTimeModel& x) {
  return f(x.count, x.sum_batch, x.sum_step, x.sum_batch_sq, x.sum_batch_step);
}

// Adds a report of `step_ms` milliseconds per step at `batch` generations.
void observe_step_time(StepTimeModel& model, double batch, double step_ms);

// Returns the predicted milliseconds per step at `batch` generations.
double predicted_step_ms(const StepTimeModel& model, double batch);

// Returns the largest batch whose predicted step time stays within `target_ms`,
// or 1 if there is none.
double batch_limit(const StepTimeModel& model, double target_ms);

}  // namespace peridotreach
