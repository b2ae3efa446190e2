#include "standins/registration.h"

#include <boost/json/serialize.hpp>

#include "runtime/clock.h"
#include "runtime/http_client.h"
#include "runtime/json.h"

namespace peridotreach::standin {
namespace {

awaitable<void> post_vm(asio::io_context& io, HttpTarget platform,
                        std::string body) {
  constexpr Millis kRetry = 200;
  constexpr Millis kTimeout = 2000;
  while (true) {
    ClientRequest request;
    request.method = "POST";
    request.target = "/vms";
    request.body = body;
    const ClientResponse answer =
        co_await fetch_response(io, platform, std::move(request), kTimeout);
    if (answer.complete) co_return;
    co_await sleep_for(kRetry);
  }
}

}  // namespace

std::vector<Setting> endpoint_settings() {
  return {{"id", SettingKind::kText, "", true, "Id of the endpoint"},
          {"service", SettingKind::kText, "", true, "Service it belongs to"},
          {"zone", SettingKind::kText, "", true, "Availability zone"},
          {"region", SettingKind::kText, "", true, "Region"},
          {"address", SettingKind::kText, "127.0.0.1", false, "Address"},
          {"port", SettingKind::kNumber, "0", false, "Port, 0 for a free one"},
          {"platform", SettingKind::kText, "", true, "URL of the platform"}};
}

void register_endpoint(asio::io_context& io, const Settings& settings,
                       std::uint16_t port) {
  const Result<HttpTarget> platform = parse_http_url(settings.text("platform"));
  if (!ok(platform)) return;
  json::object vm;
  vm["id"] = settings.text("id");
  vm["service"] = settings.text("service");
  vm["zone"] = settings.text("zone");
  vm["region"] = settings.text("region");
  vm["address"] = settings.text("address");
  vm["port"] = port;
  vm["state"] = "live";
  co_spawn(io, post_vm(io, value(platform), json::serialize(vm)),
           asio::detached);
}

}  // namespace peridotreach::standin
