#pragma once

// Prometheus metrics of a process, with a bounded number of label values.

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <set>
#include <string>
#include <utility>

#include "libperidotreach/entry_effect.h"
#include "libperidotreach/refusal_ledger.h"

namespace peridotreach {

// The metrics of one process.
class Metrics {
 public:
  Metrics();

  // Records an observation in the histograms by rank and by caller.
  void observe(const Observe& observation);

  // Counts a refusal by rank, service and kind; the caller is not a label.
  void count_refusal(const RefusalLabels& labels);

  // Adds `amount` to the counter of the event `name`.
  void count_event(const std::string& name, double amount = 1);

  // Sets the gauge `name`.
  void set_gauge(const std::string& name, double value);

  // Returns all metrics in the Prometheus text format.
  std::string serialize() const;

 private:
  // Histograms by metric and label value. They are cached here because looking
  // one up in its family costs more than recording an observation.
  using Histograms =
      std::map<std::pair<MetricKind, std::string>, prometheus::Histogram*>;

  prometheus::Histogram& histogram(
      Histograms& cache, prometheus::Family<prometheus::Histogram>& family,
      const char* label, MetricKind metric, const std::string& value);

  // Returns `value`, or "other" if `value` is new and the label already has the
  // maximum number of values.
  std::string limit_label(std::set<std::string>& seen,
                          const std::string& value);

  prometheus::Registry registry_;
  std::set<std::string> callers_;
  std::set<std::string> ranks_;
  Histograms rank_histograms_;
  Histograms caller_histograms_;
  prometheus::Family<prometheus::Histogram>& by_rank_;
  prometheus::Family<prometheus::Histogram>& by_caller_;
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Counter>& events_;
  prometheus::Family<prometheus::Gauge>& gauges_;
};

}  // namespace peridotreach
