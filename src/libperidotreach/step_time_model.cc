#include "libperidotreach/step_time_model.h"

#include <algorithm>

namespace peridotreach {
namespace {

// Factor on the weight of older reports at each new one.
constexpr double kDecayPerReport = 0.98;

// Slope and intercept that the fit starts from before reports arrive.
constexpr double kPriorSlopeMs = 1.5;
constexpr double kPriorInterceptMs = 12;

// Weight of the prior, in reports.
constexpr double kPriorReports = 4;

// Batch sizes at which the prior has its two points.
constexpr double kPriorLowBatch = 1;
constexpr double kPriorHighBatch = 24;

// A fitted line of step time in milliseconds over batch size.
struct Line {
  double intercept;
  double slope;
};

double prior_step_ms(double batch) {
  return kPriorInterceptMs + kPriorSlopeMs * batch;
}

// Returns the least-squares line through the reports and the prior.
Line fit(StepTimeModel model) {
  constexpr double kReportsPerBatch = kPriorReports / 2;
  for (const double batch : {kPriorLowBatch, kPriorHighBatch}) {
    const double step = prior_step_ms(batch);
    model.count += kReportsPerBatch;
    model.sum_batch += kReportsPerBatch * batch;
    model.sum_step += kReportsPerBatch * step;
    model.sum_batch_sq += kReportsPerBatch * batch * batch;
    model.sum_batch_step += kReportsPerBatch * batch * step;
  }
  const double spread =
      model.count * model.sum_batch_sq - model.sum_batch * model.sum_batch;
  const double covariance =
      model.count * model.sum_batch_step - model.sum_batch * model.sum_step;
  constexpr double kMinSlopeMs = 0.05;
  const double slope = std::max(kMinSlopeMs, covariance / spread);
  const double intercept =
      (model.sum_step - slope * model.sum_batch) / model.count;
  return {intercept, slope};
}

}  // namespace

void observe_step_time(StepTimeModel& model, double batch, double step_ms) {
  model.count = model.count * kDecayPerReport + 1;
  model.sum_batch = model.sum_batch * kDecayPerReport + batch;
  model.sum_step = model.sum_step * kDecayPerReport + step_ms;
  model.sum_batch_sq = model.sum_batch_sq * kDecayPerReport + batch * batch;
  model.sum_batch_step =
      model.sum_batch_step * kDecayPerReport + batch * step_ms;
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
