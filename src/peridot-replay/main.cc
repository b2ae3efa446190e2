// peridot-replay: replays a recorded trace and checks stated outcomes.

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "peridot-replay/replay.h"
#include "runtime/settings.h"

namespace peridotreach {
namespace {

// Prints what the trace did, in the form that --outcomes reads.
void print_outcomes(const ReplayReport& report) {
  boost::json::object requests;
  for (const auto& [request, outcome] : report.outcomes) {
    boost::json::object entry;
    entry["kind"] = refusal_name(outcome.kind);
    entry["ran"] = execution_status_name(outcome.ran);
    entry["tokens"] = outcome.tokens;
    entry["by_ms"] = outcome.at;
    requests[std::to_string(request)] = std::move(entry);
  }
  boost::json::object body;
  body["steps"] = report.steps;
  body["grants"] = report.grants;
  body["refusals"] = report.refusals;
  body["withdrawals"] = report.withdrawals;
  body["requests"] = std::move(requests);
  std::cout << boost::json::serialize(body) << "\n";
}

int run(const Settings& settings) {
  if (settings.arguments().size() != 1) {
    std::cerr << "name one trace\n";
    return 2;
  }
  const Result<ReplayReport> report = replay_trace(settings.arguments()[0]);
  if (!ok(report)) {
    std::cerr << describe(error(report)) << "\n";
    return 1;
  }
  if (settings.is_on("print-outcomes")) {
    print_outcomes(value(report));
    return 0;
  }
  std::cout << value(report).reducer << ": " << value(report).steps
            << " steps, " << value(report).effects
            << " effects, all as recorded\n";
  if (settings.text("outcomes").empty()) return 0;
  std::ifstream file(settings.text("outcomes"));
  std::stringstream stated;
  stated << file.rdbuf();
  const Result<std::string> faults =
      check_outcomes(value(report), stated.str());
  if (!ok(faults)) {
    std::cerr << describe(error(faults)) << "\n";
    return 2;
  }
  std::cerr << value(faults);
  return value(faults).empty() ? 0 : 1;
}

}  // namespace
}  // namespace peridotreach

int main(int argc, char** argv) {
  using peridotreach::SettingKind;
  const auto settings = peridotreach::settings_or_exit(
      "peridot-replay TRACE", "Replays a recorded trace.",
      {{"outcomes", SettingKind::kText, "", false,
        "JSON file of stated outcomes to check"},
       {"print-outcomes", SettingKind::kSwitch, "off", false,
        "Print the outcomes of the trace as JSON"}},
      argc, argv);
  return peridotreach::run(settings);
}
