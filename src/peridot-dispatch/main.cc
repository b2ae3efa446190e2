// peridot-dispatch: queues and places the work of cells of endpoints.

#include <sodium.h>

#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "peridot-dispatch/dispatch_node.h"
#include "runtime/http_server.h"
#include "runtime/log.h"
#include "runtime/node_settings.h"

namespace peridotreach {
namespace {

awaitable<void> answer(DispatchNode& node, HttpExchange& exchange) {
  HttpResponse response;
  if (exchange.request().path == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    response.body = node.metrics().text();
  } else if (exchange.request().path == "/healthz") {
    response.body = "{\"healthy\":true}";
  } else {
    response = error_response(404, "not_found", "there is no such path",
                              "ask /healthz or /metrics");
  }
  co_await exchange.respond(std::move(response));
}

int run(const Settings& settings) {
  const Result<HttpTarget> vm_list = parse_url(settings.text("vm-list"));
  if (!ok(vm_list)) {
    std::cerr << "peridot-dispatch: " << describe(error(vm_list)) << "\n";
    return 2;
  }
  start_log("peridot-dispatch", settings.text("vm"),
            log_level(settings.text("log-level")));
  asio::io_context io(1);
  DispatchNode node(io, settings, value(vm_list));
  const auto control = node.start();
  if (!ok(control)) {
    std::cerr << "peridot-dispatch: " << describe(error(control)) << "\n";
    return 1;
  }
  const auto port = start_http_server(
      io, settings.text("address"),
      static_cast<std::uint16_t>(settings.number("http-port")), {},
      [&](HttpExchange& exchange) { return answer(node, exchange); });
  if (!ok(port)) {
    std::cerr << "peridot-dispatch: " << describe(error(port)) << "\n";
    return 1;
  }
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](error_code failed, int) {
    if (!failed) node.stop();
  });
  log(LogLevel::kInfo, "started", {{"policy", settings.text("policy")}});
  io.run();
  return 0;
}

}  // namespace
}  // namespace peridotreach

int main(int argc, char** argv) {
  using peridotreach::SettingKind;
  if (sodium_init() < 0) return 1;
  auto known = peridotreach::node_settings();
  for (auto& setting : known) {
    if (setting.name == "control-port") setting.fallback = "7002";
  }
  const std::vector<peridotreach::Setting> own = {
      {"http-port", SettingKind::kNumber, "8082", false,
       "Port for health and metrics"},
      {"entry-port", SettingKind::kNumber, "7001", false,
       "Control port of this VM's peridot-entry"},
      {"policy", SettingKind::kText, "full", false, "full or baseline"}};
  known.insert(known.end(), own.begin(), own.end());
  const auto settings = peridotreach::settings_or_exit(
      "peridot-dispatch", "Queues and places the work of cells.", known, argc,
      argv);
  return peridotreach::run(settings);
}
