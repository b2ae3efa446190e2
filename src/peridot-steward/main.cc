// peridot-steward: makes endpoints run the models that the fleet
// configuration (the sheet) assigns to them.

#include <sodium.h>

#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "peridot-steward/steward_node.h"
#include "runtime/http_server.h"
#include "runtime/log.h"
#include "runtime/node_settings.h"

namespace peridotreach {
namespace {

int run(const Settings& settings) {
  const Result<HttpTarget> store = parse_http_url(settings.text("store"));
  const Result<HttpTarget> vm_list = parse_http_url(settings.text("vm-list"));
  if (!ok(store) || !ok(vm_list)) {
    const Error& problem = ok(store) ? error(vm_list) : error(store);
    std::cerr << "peridot-steward: " << describe(problem) << "\n";
    return 2;
  }
  start_log("peridot-steward", settings.text("vm"),
            parse_log_level(settings.text("log-level")));
  asio::io_context io(1);
  StewardNode node(io, settings, value(store), value(vm_list));
  const auto control_port = node.start();
  if (!ok(control_port)) {
    std::cerr << "peridot-steward: " << describe(error(control_port)) << "\n";
    return 1;
  }
  const auto serve_metrics =
      [&node](HttpExchange& exchange) -> awaitable<void> {
    HttpResponse response = text_response(200, node.metrics().serialize());
    co_await exchange.respond(std::move(response));
  };
  const auto http_port = start_http_server(
      io, settings.text("address"),
      static_cast<std::uint16_t>(settings.number("http-port")), {},
      serve_metrics);
  if (!ok(http_port)) {
    std::cerr << "peridot-steward: " << describe(error(http_port)) << "\n";
    return 1;
  }
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](error_code failed, int) {
    if (!failed) io.stop();
  });
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
    if (setting.name == "control-port") setting.default_value = "7003";
  }
  const std::vector<peridotreach::Setting> steward_settings = {
      {"http-port", SettingKind::kNumber, "8083", false,
       "HTTP port that serves metrics"},
      {"entry-port", SettingKind::kNumber, "7001", false,
       "Control port of the peridot-entry process on this VM"}};
  known_settings.insert(known_settings.end(), steward_settings.begin(),
                        steward_settings.end());
  const auto settings = peridotreach::settings_or_exit(
      "peridot-steward",
      "Makes endpoints run the models that the sheet assigns to them.",
      known_settings, argc, argv);
  return peridotreach::run(settings);
}
