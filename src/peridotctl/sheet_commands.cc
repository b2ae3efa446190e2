// Commands that check and change the configuration: whole sheets and single
// fields.

#include <google/protobuf/util/message_differencer.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "fleet.pb.h"
#include "libperidotreach/config_change.h"
#include "libperidotreach/signed_token.h"
#include "peridotctl/commands.h"
#include "peridotctl/store_session.h"
#include "peridotctl/table.h"
#include "runtime/clock.h"
#include "runtime/json_sheet.h"

namespace peridotreach {
namespace {

bool read_file(const std::string& path, std::string& text) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return false;
  std::stringstream buffer;
  buffer << file.rdbuf();
  text = buffer.str();
  return true;
}

int print_faults(const std::vector<SheetFault>& faults, bool as_json) {
  Table table{{"path", "problem", "remedy"}, {}};
  for (const SheetFault& fault : faults) {
    table.rows.push_back({fault.path, fault.problem, fault.remedy});
  }
  std::cout << format_table(table, as_json);
  return kSheetFaults;
}

// Reads and checks the sheet file that the command names. Returns kDone, or the
// exit code of the failure that it has printed.
int load_sheet(const CommandLine& line, proto::Sheet& sheet,
               std::string& text) {
  if (line.arguments.size() != 3) {
    std::cerr << "give exactly one sheet file: peridotctl sheet "
                 "check|diff|apply FILE\n";
    return kUsage;
  }
  if (!read_file(line.arguments[2], text)) {
    std::cerr << "cannot read sheet file " << line.arguments[2]
              << "; check that it exists and is readable\n";
    return kFailed;
  }
  const std::vector<SheetFault> faults = read_sheet(text, sheet);
  if (faults.empty()) return kDone;
  return print_faults(faults, line.settings.is_on("json"));
}

std::string operator_name(const Settings& settings) {
  const std::string& name = settings.text("operator");
  return name.empty() ? "operator" : name;
}

// Returns the differences between two sheets, one line per field. Drained VMs
// and endpoints are left out: the comparison takes them from `from`.
std::string diff_sheets(const proto::Sheet& from, const proto::Sheet& to) {
  std::string report;
  google::protobuf::util::MessageDifferencer differencer;
  differencer.set_repeated_field_comparison(
      google::protobuf::util::MessageDifferencer::AS_LIST);
  differencer.ReportDifferencesToString(&report);
  proto::Sheet without_drained = to;
  *without_drained.mutable_drained() = from.drained();
  differencer.Compare(from, without_drained);
  return report;
}

Result<HttpTarget> store_target(const Settings& settings) {
  return parse_http_url(settings.text("store"));
}

// Applies a change to the stored configuration and prints the result.
int run_change(const CommandLine& line, const std::string& id,
               const ConfigEdit& edit) {
  const Result<HttpTarget> store = store_target(line.settings);
  if (!ok(store)) return report_error(error(store));
  asio::io_context io(1);
  StoreSession session(io, value(store));
  const Result<ChangeResult> result = session.change_config(id, edit);
  if (!ok(result)) return report_error(error(result));
  const ChangeResult& change = value(result);
  Table table{{"accepted", "revision", "change"}, {}};
  table.rows.push_back(
      {change.already_applied ? "yes (on an earlier attempt)" : "yes",
       std::to_string(change.revision), id});
  std::cout << format_table(table, line.settings.is_on("json"));
  return kDone;
}

}  // namespace

int report_error(const Error& problem) {
  std::cerr << error_kind_name(problem.kind) << ": " << describe(problem)
            << "\n";
  const bool store_unavailable = problem.kind == ErrorKind::kUnavailable ||
                                 problem.kind == ErrorKind::kTimeout;
  const bool refused =
      problem.kind == ErrorKind::kConflict || problem.kind == ErrorKind::kStale;
  if (store_unavailable) return kStoreDown;
  return refused ? kRefused : kFailed;
}

int check_sheet_file(const CommandLine& line) {
  proto::Sheet sheet;
  std::string text;
  const int code = load_sheet(line, sheet, text);
  if (code != kDone) return code;
  Table table{{"sheet", "serial", "result"}, {}};
  table.rows.push_back(
      {sheet.deployment(), std::to_string(sheet.serial()), "no faults"});
  std::cout << format_table(table, line.settings.is_on("json"));
  return kDone;
}

int diff_sheet_file(const CommandLine& line) {
  proto::Sheet sheet;
  std::string text;
  const int code = load_sheet(line, sheet, text);
  if (code != kDone) return code;
  const Result<HttpTarget> store = store_target(line.settings);
  if (!ok(store)) return report_error(error(store));
  asio::io_context io(1);
  StoreSession session(io, value(store));
  const Result<proto::Config> config = session.read_config();
  if (!ok(config)) return report_error(error(config));
  const std::string changes = diff_sheets(value(config).sheet(), sheet);
  std::cout << (changes.empty() ? "no changes\n" : changes);
  return kDone;
}

int apply_sheet_file(const CommandLine& line) {
  proto::Sheet sheet;
  std::string text;
  const int code = load_sheet(line, sheet, text);
  if (code != kDone) return code;
  // The id depends on the content alone, so applying the same file again counts
  // as the same change.
  ChangeMetadata metadata;
  metadata.id = "sheet-" + std::to_string(sheet.serial()) + "-" +
                sha256_hex(text).substr(0, 12);
  metadata.operator_name = operator_name(line.settings);
  metadata.summary = "sheet " + std::to_string(sheet.serial());
  metadata.at_ms = wall_now_ms();
  return run_change(line, metadata.id, [=](const proto::Config& current) {
    return apply_sheet(current, sheet, metadata);
  });
}

int correct_field(const CommandLine& line) {
  if (line.arguments.size() < 3 || line.arguments.size() > 4) {
    std::cerr << "usage: peridotctl correct PATH VALUE [EXPECTED]\n";
    return kUsage;
  }
  Correction correction{line.arguments[1], line.arguments[2],
                        line.arguments.size() == 4 ? line.arguments[3] : ""};
  ChangeMetadata metadata;
  const std::string& given_id = line.settings.text("change-id");
  metadata.id = given_id.empty()
                    ? "correction-" + std::to_string(random_number())
                    : given_id;
  metadata.operator_name = operator_name(line.settings);
  metadata.summary = correction.path + " = " + correction.value;
  metadata.at_ms = wall_now_ms();
  return run_change(line, metadata.id, [=](const proto::Config& current) {
    return apply_correction(current, correction, metadata);
  });
}

int drain(const CommandLine& line) {
  if (line.arguments.size() != 2) {
    std::cerr
        << "usage: peridotctl drain ID [--undo=on], where ID names a VM or an "
           "endpoint\n";
    return kUsage;
  }
  CommandLine as_correction{line.settings,
                            {"correct", "drained/" + line.arguments[1],
                             line.settings.is_on("undo") ? "no" : "yes"}};
  return correct_field(as_correction);
}

}  // namespace peridotreach
