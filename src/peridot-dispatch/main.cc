// peridot-dispatch: queues requests and assigns them to the endpoints of its
// cells.

#include <sodium.h>

#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "peridot-dispatch/dispatch_node.h"
#include "runtime/http_server.h"
#include "runtime/log.h"
#include "runtime/node_settings.h"

namespace peridotreach {
namespace {

awaitable<void> serve_http(DispatchNode& node, HttpExchange& exchange) {
  HttpResponse response;
  if (exchange.request().path == "/metrics") {
    response.content_type = "text/plain; version=0.0.4";
    response.body = node.metrics().serialize();
  } else if (exchange.request().path == "/healthz") {
    response.body = "{\"healthy\":true}";
  } else {
    response = error_response(404, "not_found", "this port serves no such path",
                              "use /healthz or /metrics");
  }
  co_await exchange.respond(std::move(response));
}

int run(const Settings& settings) {
  const Result<HttpTarget> vm_list = parse_http_url(settings.text("vm-list"));
  if (!ok(vm_list)) {
    std::cerr << "peridot-dispatch: " << describe(error(vm_list)) << "\n";
    return 2;
  }
  start_log("peridot-dispatch", settings.text("vm"),
            parse_log_level(settings.text("log-level")));
  asio::io_context io(1);
  DispatchNode node(io, settings, value(vm_list));
  const auto control_port = node.start();
  if (!ok(control_port)) {
    std::cerr << "peridot-dispatch: " << describe(error(control_port)) << "\n";
    return 1;
  }
  const auto http_port = start_http_server(
      io, settings.text("address"),
      static_cast<std::uint16_t>(settings.number("http-port")), {},
      [&](HttpExchange& exchange) { return serve_http(node, exchange); });
  if (!ok(http_port)) {
    std::cerr << "peridot-dispatch: " << describe(error(http_port)) << "\n";
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
  auto known_settings = peridotreach::node_settings();
  for (auto& setting : known_settings) {
    if (setting.name == "control-port") setting.default_value = "7002";
  }
  const std::vector<peridotreach::Setting> dispatch_settings = {
      {"http-port", SettingKind::kNumber, "8082", false,
       "HTTP port that serves /healthz and /metrics"},
      {"entry-port", SettingKind::kNumber, "7001", false,
       "Control port of the peridot-entry process on this VM"},
      {"policy", SettingKind::kText, "full", false,
       "Dispatch policy: full or baseline"}};
  known_settings.insert(known_settings.end(), dispatch_settings.begin(),
                        dispatch_settings.end());
  const auto settings = peridotreach::settings_or_exit(
      "peridot-dispatch",
      "Queues requests and assigns them to the endpoints of its cells.",
      known_settings, argc, argv);
  return peridotreach::run(settings);
}
