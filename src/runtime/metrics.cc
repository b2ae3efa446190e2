#include "runtime/metrics.h"

#include <prometheus/text_serializer.h>

#include <cstddef>

#include "libperidotreach/refusal_kind.h"

namespace peridotreach {
namespace {

// The most values of one label; more are summed up as "other".
constexpr std::size_t kMostLabelValues = 300;

const char* measure_name(MetricKind measure) {
  switch (measure) {
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

prometheus::Histogram::BucketBoundaries buckets_of(MetricKind measure) {
  if (measure == MetricKind::kTokenGap) {
    return {10, 20, 30, 40, 47, 60, 80, 120, 250, 500, 1000, 3000};
  }
  if (measure == MetricKind::kOutputLength) {
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

std::string Metrics::bounded(std::set<std::string>& seen,
                             const std::string& value) {
  if (seen.contains(value)) return value;
  if (seen.size() >= kMostLabelValues) return "other";
  seen.insert(value);
  return value;
}

prometheus::Histogram& Metrics::histogram(
    Histograms& known, prometheus::Family<prometheus::Histogram>& family,
    const char* label, MetricKind measure, const std::string& value) {
  prometheus::Histogram*& slot = known[{measure, value}];
  if (slot == nullptr) {
    slot = &family.Add({{"measure", measure_name(measure)}, {label, value}},
                       buckets_of(measure));
  }
  return *slot;
}

void Metrics::observe(const Observe& observation) {
  const MetricKind measure = observation.metric;
  histogram(rank_histograms_, by_rank_, "rank", measure,
            bounded(ranks_, observation.rank))
      .Observe(observation.value);
  histogram(caller_histograms_, by_caller_, "caller", measure,
            bounded(callers_, observation.caller))
      .Observe(observation.value);
}

void Metrics::count_refusal(const RefusalLabels& line) {
  refusals_
      .Add({{"rank", bounded(ranks_, line.rank)},
            {"service", line.service},
            {"kind", refusal_name(line.kind)}})
      .Increment();
}

void Metrics::count(const std::string& name, double by) {
  events_.Add({{"event", name}}).Increment(by);
}

void Metrics::set(const std::string& name, double value) {
  gauges_.Add({{"name", name}}).Set(value);
}

std::string Metrics::text() const {
  const prometheus::TextSerializer serializer;
  return serializer.Serialize(registry_.Collect());
}

}  // namespace peridotreach
