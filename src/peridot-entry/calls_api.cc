#include "peridot-entry/calls_api.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <utility>
#include <vector>

#include "fleet.pb.h"
#include "libperidotreach/entry_stop.h"
#include "runtime/json.h"

namespace peridotreach {
namespace {

// Most times that a call is forwarded between entry VMs on its way to its
// session's home.
constexpr std::int64_t kMaxHops = 3;

// Interval at which a waiting call checks for its outcome without a
// notification.
constexpr Millis kOutcomeCheckInterval = kSecond;

// Returns the VMs that are neither leaving nor drained, those of `zone` first.
std::vector<VmInfo> usable_vms(const FleetView& view, const FleetConfig& config,
                               const std::string& zone) {
  std::vector<VmInfo> vms;
  for (const VmInfo& vm : view.vms) {
    if (vm.leaving || is_drained(config, vm.vm)) continue;
    vms.push_back(vm);
  }
  std::stable_sort(vms.begin(), vms.end(),
                   [&](const VmInfo& a, const VmInfo& b) {
                     return (a.zone == zone) > (b.zone == zone);
                   });
  return vms;
}

// Reads the session headers into `event`. Returns false if the token is invalid
// or was issued to another caller, or if the call number is missing or 0.
bool parse_session_headers(const EntryNode& node, const HttpRequest& request,
                           const std::string& caller, CallRequested& event) {
  const std::string session = request.header("peridot-session");
  if (session.empty()) return true;
  const auto payload = verify_token(node.fleet_key(), "sess_", session);
  if (!ok(payload)) return false;
  proto::SessionToken token;
  if (!token.ParseFromString(value(payload))) return false;
  if (token.caller() != caller) return false;
  event.home = token.home();
  event.home_incarnation = token.incarnation();
  event.session = token.session();
  event.call_number =
      std::strtoull(request.header("peridot-sequence").c_str(), nullptr, 10);
  return event.call_number > 0;
}

HttpResponse make_response(const CallWaiter& waiter) {
  const CallOutcome& outcome = waiter.outcome;
  HttpResponse response;
  if (outcome.kind == RefusalKind::kNone) {
    response.status = outcome.status;
    response.body = outcome.body;
    if (!outcome.content_type.empty()) {
      response.content_type = outcome.content_type;
    }
  } else {
    response = error_response(
        refusal_http_status(outcome.kind), refusal_name(outcome.kind),
        std::string("the call failed: ") + refusal_name(outcome.kind) +
            ", ran: " + execution_status_name(outcome.ran),
        refusal_remedy(outcome.kind));
  }
  response.headers.push_back(
      {"peridot-ran", execution_status_name(outcome.ran)});
  if (waiter.retry_after > 0) {
    response.headers.push_back(
        {"retry-after-ms", std::to_string(waiter.retry_after)});
  }
  return response;
}

}  // namespace

awaitable<void> serve_addresses(EntryNode& node, HttpExchange& exchange,
                                const CallerPolicy& caller) {
  const std::string requested_zone = exchange.request().parameter("zone");
  const std::string zone =
      requested_zone.empty() ? node.identity().zone : requested_zone;
  json::array addresses;
  for (const VmInfo& vm : usable_vms(node.view(), node.config(), zone)) {
    json::object address;
    address["vm"] = vm.vm;
    address["zone"] = vm.zone;
    address["url"] =
        "http://" + vm.address + ":" + std::to_string(vm.http_port);
    addresses.push_back(std::move(address));
  }
  json::object body;
  body["addresses"] = std::move(addresses);
  body["lifetime_ms"] = kAddressTtl;
  const std::string session = co_await node.open_session(caller.id);
  if (!session.empty()) body["session"] = session;
  HttpResponse response;
  response.body = json::serialize(body);
  co_await exchange.respond(std::move(response));
}

awaitable<void> serve_call(EntryNode& node, HttpExchange& exchange,
                           const CallerPolicy& caller, std::string rest) {
  const std::size_t slash = std::min(rest.find('/'), rest.size());
  const std::string name = rest.substr(0, slash);
  const std::string path = slash < rest.size() ? rest.substr(slash) : "/";
  const ServicePolicy* service = find_service(node.config(), name);
  if (service == nullptr || service->is_model) {
    co_await exchange.respond(error_response(
        404, "service_not_found", "no plain service " + name,
        "name a configured plain service in /v1/services/NAME/PATH"));
    co_return;
  }
  const HttpRequest& request = exchange.request();
  CallRequested event;
  event.caller = caller.id;
  event.rank = caller.ranks.empty() ? "" : caller.ranks.front();
  event.service = name;
  event.idempotency_key = request.header("idempotency-key");
  event.repeatable = !is_non_repeatable(*service, request.method, path);
  // Client libraries generated with Stainless send the number of retries so
  // far; other clients send the number of the attempt.
  event.first_attempt = request.header("peridot-attempt") == "1" ||
                        request.header("x-stainless-retry-count") == "0";
  const std::int64_t hops =
      std::strtoll(request.header("peridot-hops").c_str(), nullptr, 10);
  if (!parse_session_headers(node, request, caller.id, event) ||
      hops > kMaxHops) {
    co_await exchange.respond(error_response(
        409, "bad_session",
        "peridot-session or peridot-sequence is invalid, or the call was "
        "forwarded between entry VMs too often",
        "get a new session from GET /v1/addresses and number its calls from "
        "1"));
    co_return;
  }
  auto waiter = node.open_call(event.request);
  waiter->request = request;
  waiter->path = path;
  node.post(event);
  while (!waiter->done) co_await waiter->signal.wait(kOutcomeCheckInterval);
  HttpResponse response = make_response(*waiter);
  response.headers.push_back({"x-request-id", node.request_id(event.request)});
  co_await exchange.respond(std::move(response));
}

}  // namespace peridotreach
