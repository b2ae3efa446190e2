// peridot-entry: the process on an entry VM that serves callers over HTTP.

#include <sodium.h>

#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "peridot-entry/entry_node.h"
#include "peridot-entry/http_api.h"
#include "runtime/log.h"
#include "runtime/node_settings.h"

namespace peridotreach {
namespace {

int run(const Settings& settings) {
  const Result<HttpTarget> store = parse_http_url(settings.text("store"));
  const Result<HttpTarget> vm_list = parse_http_url(settings.text("vm-list"));
  if (!ok(store) || !ok(vm_list)) {
    const Error& problem = ok(store) ? error(vm_list) : error(store);
    std::cerr << "peridot-entry: " << describe(problem) << "\n";
    return 2;
  }
  start_log("peridot-entry", settings.text("vm"),
            parse_log_level(settings.text("log-level")));
  asio::io_context io(1);
  EntryNode node(io, settings, value(store), value(vm_list));
  const auto control = node.start();
  if (!ok(control)) {
    std::cerr << "peridot-entry: " << describe(error(control)) << "\n";
    return 1;
  }
  const auto port = start_http_server(
      io, settings.text("address"),
      static_cast<std::uint16_t>(settings.number("http-port")), {},
      [&](HttpExchange& exchange) { return handle_request(node, exchange); });
  if (!ok(port)) {
    std::cerr << "peridot-entry: " << describe(error(port)) << "\n";
    return 1;
  }
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](error_code failed, int) {
    if (!failed) node.post(StopRequested{});
  });
  log(LogLevel::kInfo, "started",
      {{"address", settings.text("address")},
       {"port", std::to_string(value(port))}});
  io.run();
  return 0;
}

}  // namespace
}  // namespace peridotreach

int main(int argc, char** argv) {
  using peridotreach::SettingKind;
  if (sodium_init() < 0) return 1;
  auto known_settings = peridotreach::node_settings();
  const std::vector<peridotreach::Setting> entry_settings = {
      {"http-port", SettingKind::kNumber, "8080", false,
       "TCP port of the HTTP interface for callers and operators"},
      {"dispatch-port", SettingKind::kNumber, "7002", false,
       "Control port of peridot-dispatch on this VM"},
      {"operator-key", SettingKind::kSecret, "", false,
       "Bearer key required on /admin/ paths; if empty, no key is required"}};
  known_settings.insert(known_settings.end(), entry_settings.begin(),
                        entry_settings.end());
  const auto settings = peridotreach::settings_or_exit(
      "peridot-entry", "Serves the HTTP interface for callers on an entry VM.",
      known_settings, argc, argv);
  return peridotreach::run(settings);
}
