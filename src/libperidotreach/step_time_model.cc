#include "libperidotreach/step_time_model.h"

#include <algorithm>

namespace peridotreach {
namespace {

constexpr double kDecay = 0.98;

// Slope and intercept assumed until reports say otherwise, in milliseconds.
constexpr double kPriorSlope = 1.5;
constexpr double kPriorIntercept = 12;

// Weight of the prior, in reports.
constexpr double kPriorReports = 4;

// Batch sizes that the prior is spread over.
constexpr double kPriorLowBatch = 1;
constexpr double kPriorHighBatch = 24;

// A fitted line.
struct Line {
  double intercept;
  double slope;
};

double prior_step(double batch) {
  return kPriorIntercept + kPriorSlope * batch;
}

Line fit(StepTimeModel model) {
  constexpr double kHalf = kPriorReports / 2;
  for (const double batch : {kPriorLowBatch, kPriorHighBatch}) {
    const double step = prior_step(batch);
    model.count += kHalf;
    model.sum_batch += kHalf * batch;
    model.sum_step += kHalf * step;
    model.sum_batch_sq += kHalf * batch * batch;
    model.sum_batch_step += kHalf * batch * step;
  }
  const double spread =
      model.count * model.sum_batch_sq - model.sum_batch * model.sum_batch;
  const double covariance =
      model.count * model.sum_batch_step - model.sum_batch * model.sum_step;
  constexpr double kLeastSlope = 0.05;
  const double slope = std::max(kLeastSlope, covariance / spread);
  const double intercept =
      (model.sum_step - slope * model.sum_batch) / model.count;
  return {intercept, slope};
}

}  // namespace

void observe_step_time(StepTimeModel& model, double batch, double step_ms) {
  model.count = model.count * kDecay + 1;
  model.sum_batch = model.sum_batch * kDecay + batch;
  model.sum_step = model.sum_step * kDecay + step_ms;
  model.sum_batch_sq = model.sum_batch_sq * kDecay + batch * batch;
  model.sum_batch_step = model.sum_batch_step * kDecay + batch * step_ms;
}

double predicted_step_ms(const StepTimeModel& model, double batch) {
  const Line line = fit(model);
  return std::max(1.0, line.intercept + line.slope * batch);
}

double batch_limit(const StepTimeModel& model, double target_ms) {
  const Line line = fit(model);
  return std::max(1.0, (target_ms - line.intercept) / line.slope);
}

}  // namespace peridotreach
