// Stand-in for a plain service. It counts the runs of each call, named by the
// member "call" of its body, and can be slow or drop answers after running.

#include <boost/json/serialize.hpp>
#include <iostream>
#include <map>
#include <string>

#include "runtime/clock.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/json.h"
#include "runtime/log.h"
#include "runtime/settings.h"
#include "standins/registration.h"

namespace peridotreach::standin {
namespace {

// The service.
class Service {
 public:
  awaitable<void> handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.path == "/faults") {
      const Result<json::object> body = parse_object(request.body);
      if (ok(body)) {
        delay_ = int_member(value(body), "delay_ms");
        drop_answers_ = int_member(value(body), "drop_answers");
      }
      co_await exchange.respond(json_response(200, "{}"));
      co_return;
    }
    if (request.path == "/counts") {
      json::object body;
      for (const auto& [call, count] : runs_) body[call] = count;
      co_await exchange.respond(json_response(200, json::serialize(body)));
      co_return;
    }
    co_await run(exchange);
  }

 private:
  awaitable<void> run(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    const Result<json::object> body = parse_object(request.body);
    std::string call;
    if (ok(body)) call = string_member(value(body), "call");
    if (!call.empty()) runs_[call] += 1;
    if (delay_ > 0) co_await sleep_for(delay_);
    if (drop_answers_ > 0) {
      drop_answers_ -= 1;
      exchange.abandon();
      co_return;
    }
    json::object answer;
    answer["path"] = request.path;
    answer["call"] = call;
    answer["runs"] = call.empty() ? 0 : runs_[call];
    co_await exchange.respond(json_response(200, json::serialize(answer)));
  }

  std::map<std::string, std::uint64_t> runs_;
  Millis delay_ = 0;
  std::int64_t drop_answers_ = 0;
};

int run(const Settings& settings) {
  start_log("standin-service", settings.text("id"), LogLevel::kInfo);
  asio::io_context io(1);
  Service service;
  const auto port = start_http_server(
      io, settings.text("address"),
      static_cast<std::uint16_t>(settings.number("port")), {},
      [&](HttpExchange& exchange) { return service.handle(exchange); });
  if (!ok(port)) {
    std::cerr << describe(error(port)) << "\n";
    return 1;
  }
  std::cout << "listening " << value(port) << std::endl;
  register_endpoint(io, settings, value(port));
  io.run();
  return 0;
}

}  // namespace
}  // namespace peridotreach::standin

int main(int argc, char** argv) {
  const auto settings = peridotreach::settings_or_exit(
      "standin-service", "Stand-in for a plain service.",
      peridotreach::standin::endpoint_settings(), argc, argv);
  return peridotreach::standin::run(settings);
}
