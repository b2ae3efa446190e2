#include "runtime/metrics.h"

#include <prometheus/text_serializer.h>

#include <cstddef>

#include "libperidotreach/refusal_kind.h"

namespace peridotreach {
namespace {

// Bounds the number of time series. Further values of a label are counted under
// "other".
constexpr std::size_t kMaxLabelValues = 300;

const char* metric_name(MetricKind metric) {
  switch (metric) {
    case MetricKind::kQueueTime:
      return "queue_ms";
    case MetricKind::kTimeToFirstToken:
      return "first_token_ms";
    case MetricKind::kTokenGap:
      return "token_gap_ms";
    case MetricKind::kOutputLength:
      return "output_tokens";
    case MetricKind::kStall:
      return "stall_ms";
  }
  return "unknown";
}

prometheus::Histogram::BucketBoundaries bucket_boundaries(MetricKind metric) {
  if (metric == MetricKind::kTokenGap) {
    return {10, 20, 30, 40, 47, 60, 80, 120, 250, 500, 1000, 3000};
  }
  if (metric == MetricKind::kOutputLength) {
    return {8, 32, 128, 512, 1024, 2048, 4096, 8192, 16384, 32768, 65536};
  }
  return {5, 20, 50, 100, 200, 440, 1000, 2000, 5000, 20000, 60000, 300000};
}

}  // namespace

Metrics::Metrics()
    : by_rank_(prometheus::BuildHistogram()
                   .Name("peridot_by_rank")
                   .Help("Times and lengths by rank")
                   .Register(registry_)),
      by_caller_(prometheus::BuildHistogram()
                     .Name("peridot_by_caller")
                     .Help("Times and lengths by caller")
                     .Register(registry_)),
      refusals_(prometheus::BuildCounter()
                    .Name("peridot_refusals_total")
                    .Help("Refusals by rank, service and kind")
                    .Register(registry_)),
      events_(prometheus::BuildCounter()
                  .Name("peridot_events_total")
                  .Help("Events by kind")
                  .Register(registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("peridot_state")
                  .Help("Present values")
                  .Register(registry_)) {}

std::string Metrics::limit_label(std::set<std::string>& seen,
                                 const std::string& value) {
  if (seen.contains(value)) return value;
  if (seen.size() >= kMaxLabelValues) return "other";
  seen.insert(value);
  return value;
}

prometheus::Histogram& Metrics::histogram(
    Histograms& cache, prometheus::Family<prometheus::Histogram>& family,
    const char* label, MetricKind metric, const std::string& value) {
  prometheus::Histogram*& slot = cache[{metric, value}];
  if (slot == nullptr) {
    slot = &family.Add({{"measure", metric_name(metric)}, {label, value}},
                       bucket_boundaries(metric));
  }
  return *slot;
}

void Metrics::observe(const Observe& observation) {
  const MetricKind metric = observation.metric;
  histogram(rank_histograms_, by_rank_, "rank", metric,
            limit_label(ranks_, observation.rank))
      .Observe(observation.value);
  histogram(caller_histograms_, by_caller_, "caller", metric,
            limit_label(callers_, observation.caller))
      .Observe(observation.value);
}

void Metrics::count_refusal(const RefusalLabels& labels) {
  refusals_
      .Add({{"rank", limit_label(ranks_, labels.rank)},
            {"service", labels.service},
            {"kind", refusal_name(labels.kind)}})
      .Increment();
}

void Metrics::count_event(const std::string& name, double amount) {
  events_.Add({{"event", name}}).Increment(amount);
}

void Metrics::set_gauge(const std::string& name, double value) {
  gauges_.Add({{"name", name}}).Set(value);
}

std::string Metrics::serialize() const {
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(registry_.Collect());
}

}  // namespace peridotreach
