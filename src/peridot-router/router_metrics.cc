#include "peridot-router/router_metrics.h"

#include <prometheus/text_serializer.h>

namespace peridotreach {
namespace {

// Upper bounds in milliseconds. The range covers fast calls to plain services
// as well as streams that wait in a queue first.
const prometheus::Histogram::BucketBoundaries kFirstByteBuckets = {
    10, 20, 40, 80, 150, 300, 600, 1000, 1500, 2500, 4000, 8000, 16000};

const std::string& field_of(const RecordDecision& decision,
                            const std::string& name) {
  static const std::string kEmpty;
  for (const DecisionField& field : decision.fields) {
    if (field.name == name) return field.value;
  }
  return kEmpty;
}

}  // namespace

RouterMetrics::RouterMetrics()
    : decisions_(prometheus::BuildCounter()
                     .Name("peridot_router_decisions_total")
                     .Help("Decisions on requests and changes of belief.")
                     .Register(registry_)),
      first_byte_(prometheus::BuildHistogram()
                      .Name("peridot_router_first_byte_ms")
                      .Help("Time from arrival to the answer's first byte.")
                      .Register(registry_)),
      gauges_(prometheus::BuildGauge()
                  .Name("peridot_router_state")
                  .Help("Present state of the router.")
                  .Register(registry_)) {}

void RouterMetrics::count_decision(const RecordDecision& decision) {
  decisions_
      .Add({{"decision", decision.decision},
            {"status", field_of(decision, "status")},
            {"reason", field_of(decision, "reason")}})
      .Increment();
}

void RouterMetrics::observe_first_byte(const FirstByteLatency& first_byte) {
  first_byte_
      .Add({{"kind", call_kind_name(first_byte.kind)},
            {"account", first_byte.account}},
           kFirstByteBuckets)
      .Observe(static_cast<double>(first_byte.latency));
}

void RouterMetrics::set_gauge(const std::string& name, double value) {
  gauges_.Add({{"name", name}}).Set(value);
}

std::string RouterMetrics::text() const {
  return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace peridotreach
