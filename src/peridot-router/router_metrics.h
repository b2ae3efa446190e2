#pragma once

// Prometheus metrics of a router, with bounded label sets.

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

#include "libperidotreach/routing/routing_effect.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Metrics of one router process.
class RouterMetrics {
 public:
  RouterMetrics();

  // Counts a decision of the reducer by its name and outcome.
  void count_decision(const RecordDecision& decision);

  // Records the time from a request's arrival to the first byte of its
  // response.
  void observe_first_byte(const FirstByteLatency& first_byte);

  // Sets the gauge `name`.
  void set_gauge(const std::string& name, double value);

  // Returns all metrics in the Prometheus text format.
  std::string text() const;

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& decisions_;
  prometheus::Family<prometheus::Histogram>& first_byte_;
  prometheus::Family<prometheus::Gauge>& gauges_;
};

}  // namespace peridotreach
