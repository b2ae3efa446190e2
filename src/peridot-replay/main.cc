// peridot-replay: replays a recorded trace and checks its outcomes against
// expected ones.

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "peridot-replay/replay.h"
#include "runtime/settings.h"

namespace peridotreach {
namespace {

// Prints the outcomes of the trace as JSON in the format that --outcomes reads.
void print_outcomes(const ReplayReport& report) {
  boost::json::object requests;
  for (const auto& [request, outcome] : report.outcomes) {
    boost::json::object fields;
    fields["kind"] = refusal_name(outcome.refusal_kind);
    fields["ran"] = execution_status_name(outcome.execution_status);
    fields["tokens"] = outcome.relayed_tokens;
    fields["by_ms"] = outcome.ended_at_ms;
    requests[std::to_string(request)] = std::move(fields);
  }
  boost::json::object summary;
  summary["steps"] = report.steps;
  summary["grants"] = report.grants;
  summary["refusals"] = report.refusals;
  summary["withdrawals"] = report.withdrawals;
  summary["requests"] = std::move(requests);
  std::cout << boost::json::serialize(summary) << "\n";
}

int run(const Settings& settings) {
  if (settings.arguments().size() != 1) {
    std::cerr << "expected exactly one argument, the path of a trace; usage: "
                 "peridot-replay TRACE\n";
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
            << " effects, all identical to the recording\n";
  if (settings.text("outcomes").empty()) return 0;
  std::ifstream file(settings.text("outcomes"));
  std::stringstream expected_json;
  expected_json << file.rdbuf();
  const Result<std::string> differences =
      check_outcomes(value(report), expected_json.str());
  if (!ok(differences)) {
    std::cerr << describe(error(differences)) << "\n";
    return 2;
  }
  std::cerr << value(differences);
  return value(differences).empty() ? 0 : 1;
}

}  // namespace
}  // namespace peridotreach

int main(int argc, char** argv) {
  using peridotreach::SettingKind;
  const auto settings = peridotreach::settings_or_exit(
      "peridot-replay TRACE",
      "Replays a recorded trace and reports the first step that differs.",
      {{"outcomes", SettingKind::kText, "", false,
        "JSON file with the expected outcomes of the trace"},
       {"print-outcomes", SettingKind::kSwitch, "off", false,
        "Print the outcomes of the trace as JSON instead of checking them"}},
      argc, argv);
  return peridotreach::run(settings);
}
