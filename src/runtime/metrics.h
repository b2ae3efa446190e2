#pragma once

// Metrics of a process by prometheus-cpp, with bounded label sets.

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

  // Adds to the histograms of a measure, by rank and by caller.
  void observe(const Observe& observation);

  // Counts a refusal by rank, service and kind.
  void count_refusal(const RefusalLabels& line);

  // Counts an event of a named kind.
  void count(const std::string& name, double by = 1);

  // Sets a named gauge.
  void set(const std::string& name, double value);

  // Returns all metrics in the text format.
  std::string text() const;

 private:
  // A histogram by measure and label value. Looking one up in its family
  // costs more than observing it, so they are kept here.
  using Histograms =
      std::map<std::pair<MetricKind, std::string>, prometheus::Histogram*>;

  prometheus::Histogram& histogram(
      Histograms& known, prometheus::Family<prometheus::Histogram>& family,
      const char* label, MetricKind measure, const std::string& value);

  // Returns `value`, or "other" once too many values of a label are in use.
  std::string bounded(std::set<std::string>& seen, const std::string& value);

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
