// Commands that report the state and the past decisions of the fleet.

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <set>

#include "fleet.pb.h"
#include "libperidotreach/refusal_ledger.h"
#include "peridotctl/commands.h"
#include "peridotctl/store_session.h"
#include "peridotctl/table.h"
#include "runtime/clock.h"
#include "runtime/json.h"
#include "runtime/request_timeline.h"
#include "runtime/store_keys.h"
#include "runtime/wire.h"

namespace peridotreach {
namespace {

// The store session of one command, with the event loop that it runs on.
struct StoreConnection {
  asio::io_context io{1};
  std::unique_ptr<StoreSession> session;
};

bool open_store(const CommandLine& line, StoreConnection& connection) {
  const Result<HttpTarget> store = parse_http_url(line.settings.text("store"));
  if (!ok(store)) {
    std::cerr << describe(error(store)) << "\n";
    return false;
  }
  connection.session =
      std::make_unique<StoreSession>(connection.io, value(store));
  return true;
}

std::vector<VmInfo> registered_vms(const Result<StoreSnapshot>& snapshot) {
  std::vector<VmInfo> vms;
  if (!ok(snapshot)) return vms;
  for (const StoreEntry& entry : value(snapshot).entries) {
    proto::VmRecord record;
    if (record.ParseFromString(entry.value)) vms.push_back(from_wire(record));
  }
  return vms;
}

HttpTarget http_target(const VmInfo& vm) {
  return {vm.address, static_cast<std::uint16_t>(vm.http_port)};
}

std::vector<std::string> status_row(const VmInfo& vm,
                                    const ClientResponse& answer) {
  const Result<json::object> parsed = parse_object(answer.body);
  if (!answer.complete || !ok(parsed)) {
    return {vm.vm, vm.zone, "no answer", "", "", "", ""};
  }
  const json::object& status = value(parsed);
  const char* state = bool_member(status, "stopping") ? "leaving" : "serving";
  return {vm.vm,
          vm.zone,
          state,
          std::to_string(int_member(status, "revision")),
          std::to_string(int_member(status, "serial")),
          std::to_string(int_member(status, "open_requests")),
          bool_member(status, "store_answers") ? "yes" : "no"};
}

// Parses minutes since the epoch. Returns `default_minute` for an empty text.
std::uint64_t parse_minute(const std::string& text,
                           std::uint64_t default_minute) {
  if (text.empty()) return default_minute;
  return std::strtoull(text.c_str(), nullptr, 10);
}

void merge_refusal_counts(const std::string& body, RefusalLedger& ledger) {
  const Result<json::object> parsed = parse_object(body);
  if (!ok(parsed)) return;
  for (const json::value& item : array_member(value(parsed), "cells")) {
    if (!item.is_object()) continue;
    const json::object& cell = item.as_object();
    proto::RefusalMinute bucket;
    bucket.set_vm(string_member(cell, "vm"));
    bucket.set_incarnation(
        std::strtoull(string_member(cell, "incarnation").c_str(), nullptr, 10));
    bucket.set_minute(static_cast<std::uint64_t>(int_member(cell, "minute")));
    proto::RefusalCell* wire = bucket.add_cells();
    wire->set_caller(string_member(cell, "caller"));
    wire->set_rank(string_member(cell, "rank"));
    wire->set_service(string_member(cell, "service"));
    wire->set_kind(string_member(cell, "kind"));
    wire->set_count(static_cast<std::uint64_t>(int_member(cell, "count")));
    merge_refusals_from_wire(bucket, ledger);
  }
}

}  // namespace

int show_status(const CommandLine& line) {
  StoreConnection connection;
  if (!open_store(line, connection)) return kUsage;
  const auto snapshot = connection.session->read_prefix(kVmPrefix);
  if (!ok(snapshot)) return report_error(error(snapshot));
  Table table{{"vm", "zone", "state", "revision", "serial", "open", "store"},
              {}};
  for (const VmInfo& vm : registered_vms(snapshot)) {
    const ClientResponse answer = connection.session->send_request(
        http_target(vm), "GET", "/admin/status",
        line.settings.text("operator-key"));
    table.rows.push_back(status_row(vm, answer));
  }
  std::cout << format_table(table, line.settings.is_on("json"));
  return kDone;
}

int show_history(const CommandLine& line) {
  StoreConnection connection;
  if (!open_store(line, connection)) return kUsage;
  const Result<proto::Config> config = connection.session->read_config();
  if (!ok(config)) return report_error(error(config));
  Table table{{"revision", "kind", "operator", "at_ms", "summary", "change"},
              {}};
  for (const proto::Change& change : value(config).changes()) {
    table.rows.push_back({std::to_string(change.revision()), change.kind(),
                          change.operator_name(),
                          std::to_string(change.at_ms()), change.summary(),
                          change.id()});
  }
  std::cout << format_table(table, line.settings.is_on("json"));
  return kDone;
}

int show_refusals(const CommandLine& line) {
  StoreConnection connection;
  if (!open_store(line, connection)) return kUsage;
  const std::uint64_t now = wall_minute();
  constexpr std::uint64_t kDayMinutes = 1440;
  const std::uint64_t from =
      parse_minute(line.settings.text("from"), now - kDayMinutes);
  const std::uint64_t to = parse_minute(line.settings.text("to"), now + 1);
  RefusalLedger ledger;
  std::vector<std::string> uncounted;
  const auto stored = connection.session->read_prefix(kRefusalBucketPrefix);
  if (!ok(stored)) {
    uncounted.emplace_back("refusal counts in the store: " +
                           error(stored).message);
  } else {
    for (const StoreEntry& entry : value(stored).entries) {
      proto::RefusalMinute bucket;
      if (bucket.ParseFromString(entry.value))
        merge_refusals_from_wire(bucket, ledger);
    }
  }
  const auto snapshot = connection.session->read_prefix(kVmPrefix);
  for (const VmInfo& vm : registered_vms(snapshot)) {
    const ClientResponse answer = connection.session->send_request(
        http_target(vm), "GET", "/admin/refusals",
        line.settings.text("operator-key"));
    if (answer.complete) {
      merge_refusal_counts(answer.body, ledger);
    } else {
      uncounted.push_back("minutes of VM " + vm.vm +
                          " that are not in the store and that no peer holds");
    }
  }
  Table table{{"caller", "rank", "service", "kind", "refusals", "minutes"}, {}};
  for (const RefusalTotal& row : total_refusals(ledger, from, to)) {
    table.rows.push_back({row.labels.caller, row.labels.rank,
                          row.labels.service, refusal_name(row.labels.kind),
                          std::to_string(row.refusals),
                          std::to_string(row.minutes_with_refusals)});
  }
  std::cout << format_table(table, line.settings.is_on("json"));
  for (const std::string& source : uncounted) {
    std::cerr << "not counted: " << source << "\n";
  }
  return uncounted.empty() ? kDone : kFailed;
}

namespace {

// Explains a request from log files; "-" reads standard input.
int explain_from_logs(const CommandLine& line) {
  RequestLog log;
  for (std::size_t i = 2; i < line.arguments.size(); ++i) {
    const std::string& path = line.arguments[i];
    if (path == "-") {
      log.read(std::cin);
      continue;
    }
    std::ifstream file(path);
    if (!file) {
      std::cerr << "cannot read log file " << path
                << "; give the paths of routers' log files\n";
      return kUsage;
    }
    log.read(file);
  }
  const RequestTimeline timeline = log.timeline(line.arguments[1]);
  Table table{{"at_ms", "vm", "decision", "detail"}, {}};
  for (const TimelineEntry& entry : timeline.entries) {
    table.rows.push_back({std::to_string(entry.at_ms), entry.vm,
                          (entry.is_context ? "* " : "") + entry.message,
                          entry.detail});
  }
  std::cout << format_table(table, line.settings.is_on("json"));
  if (!line.settings.is_on("json")) std::cout << timeline.summary << "\n";
  return table.rows.empty() ? kFailed : kDone;
}

}  // namespace

int explain_request(const CommandLine& line) {
  if (line.arguments.size() < 2) {
    std::cerr << "usage: peridotctl explain REQUEST-ID [LOG-FILE...]\n";
    return kUsage;
  }
  if (line.arguments.size() > 2) return explain_from_logs(line);
  StoreConnection connection;
  if (!open_store(line, connection)) return kUsage;
  const std::string& id = line.arguments[1];
  const std::string vm_name = id.substr(0, id.find('.'));
  const auto snapshot = connection.session->read_prefix(kVmPrefix);
  if (!ok(snapshot)) return report_error(error(snapshot));
  for (const VmInfo& vm : registered_vms(snapshot)) {
    if (vm.vm != vm_name) continue;
    const ClientResponse answer = connection.session->send_request(
        http_target(vm), "GET", "/admin/explain/" + id,
        line.settings.text("operator-key"));
    const Result<json::object> parsed = parse_object(answer.body);
    if (!answer.complete || !ok(parsed)) break;
    Table table{{"at_ms", "code", "detail"}, {}};
    for (const json::value& item : array_member(value(parsed), "decisions")) {
      const json::object& decision = item.as_object();
      table.rows.push_back({std::to_string(int_member(decision, "at_ms")),
                            string_member(decision, "code"),
                            string_member(decision, "detail")});
    }
    std::cout << format_table(table, line.settings.is_on("json"));
    return table.rows.empty() ? kFailed : kDone;
  }
  std::cerr
      << "cannot explain request " << id
      << ": the VM that handled it is not registered or does not answer, and "
         "its record of requests is kept in memory only; pass the routers' "
         "log files instead\n";
  return kFailed;
}

}  // namespace peridotreach
