// peridot-steward: brings endpoints to what the sheet says they should run.

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
  const Result<HttpTarget> store = parse_url(settings.text("store"));
  const Result<HttpTarget> vm_list = parse_url(settings.text("vm-list"));
  if (!ok(store) || !ok(vm_list)) {
    const Error& problem = ok(store) ? error(vm_list) : error(store);
    std::cerr << "peridot-steward: " << describe(problem) << "\n";
    return 2;
  }
  start_log("peridot-steward", settings.text("vm"),
            log_level(settings.text("log-level")));
  asio::io_context io(1);
  StewardNode node(io, settings, value(store), value(vm_list));
  const auto control = node.start();
  if (!ok(control)) {
    std::cerr << "peridot-steward: " << describe(error(control)) << "\n";
    return 1;
  }
  const auto answer = [&node](HttpExchange& exchange) -> awaitable<void> {
    HttpResponse response = text_response(200, node.metrics().text());
    co_await exchange.respond(std::move(response));
  };
  const auto port = start_http_server(
      io, settings.text("address"),
      static_cast<std::uint16_t>(settings.number("http-port")), {}, answer);
  if (!ok(port)) {
    std::cerr << "peridot-steward: " << describe(error(port)) << "\n";
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
  auto known = peridotreach::node_settings();
  for (auto& setting : known) {
    if (setting.name == "control-port") setting.fallback = "7003";
  }
  const std::vector<peridotreach::Setting> own = {
      {"http-port", SettingKind::kNumber, "8083", false, "Port for metrics"},
      {"entry-port", SettingKind::kNumber, "7001", false,
       "Control port of this VM's peridot-entry"}};
  known.insert(known.end(), own.begin(), own.end());
  const auto settings = peridotreach::settings_or_exit(
      "peridot-steward", "Keeps endpoints at what the sheet says.", known, argc,
      argv);
  return peridotreach::run(settings);
}
