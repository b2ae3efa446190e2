#include "peridot-entry/http_api.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "peridot-entry/admin_api.h"
#include "peridot-entry/calls_api.h"
#include "peridot-entry/responses_api.h"
#include "runtime/json.h"

namespace peridotreach {
namespace {

bool starts_with(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

std::string models_json(const FleetConfig& config) {
  json::array data;
  for (const ServicePolicy& service : config.services) {
    for (const std::string& model : service.models) {
      json::object entry;
      entry["id"] = model;
      entry["object"] = "model";
      entry["created"] = 0;
      entry["owned_by"] = service.id;
      data.push_back(std::move(entry));
    }
  }
  json::object body;
  body["object"] = "list";
  body["data"] = std::move(data);
  return json::serialize(body);
}

// Returns the caller that the bearer key identifies, null if there is none.
const CallerPolicy* authenticate_caller(const EntryNode& node,
                                        const HttpRequest& request) {
  const std::string scheme = "Bearer ";
  const std::string text = request.header("authorization");
  if (!starts_with(text, scheme)) return nullptr;
  return find_caller_by_key(node.config(),
                            sha256_hex(text.substr(scheme.size())));
}

awaitable<void> serve_readiness(EntryNode& node, HttpExchange& exchange) {
  const bool ready = node.config().revision > 0 && !node.is_stopping();
  HttpResponse response;
  response.status = ready ? 200 : 503;
  response.body = ready ? "{\"ready\":true}" : "{\"ready\":false}";
  co_await exchange.respond(std::move(response));
}

awaitable<void> serve_caller(EntryNode& node, HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const CallerPolicy* found = authenticate_caller(node, request);
  if (found == nullptr) {
    co_await exchange.respond(error_response(
        401, "invalid_api_key", "the API key is missing or unknown",
        "send the account's API key as \"Authorization: Bearer "
        "KEY\""));
    co_return;
  }
  // Copies the policy, because the configuration may be replaced while the
  // request runs.
  const CallerPolicy caller = *found;
  const std::string responses = "/v1/responses";
  const std::string services = "/v1/services/";
  if (request.path == responses && request.method == "POST") {
    co_await create_response(node, exchange, caller);
  } else if (starts_with(request.path, responses + "/")) {
    co_await serve_existing_response(node, exchange, caller,
                                     request.path.substr(responses.size() + 1));
  } else if (request.path == "/v1/models") {
    HttpResponse response;
    response.body = models_json(node.config());
    co_await exchange.respond(std::move(response));
  } else if (request.path == "/v1/addresses") {
    co_await serve_addresses(node, exchange, caller);
  } else if (starts_with(request.path, services)) {
    co_await serve_call(node, exchange, caller,
                        request.path.substr(services.size()));
  } else {
    co_await exchange.respond(error_response(404, "not_found", "no such path",
                                             "see the paths in README.md"));
  }
}

}  // namespace

awaitable<void> handle_request(EntryNode& node, HttpExchange& exchange) {
  const std::string path = exchange.request().path;
  if (path == "/healthz") {
    HttpResponse response;
    response.body = "{\"healthy\":true}";
    co_await exchange.respond(std::move(response));
  } else if (path == "/readyz") {
    co_await serve_readiness(node, exchange);
  } else if (path == "/metrics") {
    HttpResponse response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = node.metrics().serialize();
    co_await exchange.respond(std::move(response));
  } else if (starts_with(path, "/admin/")) {
    co_await serve_admin(node, exchange);
  } else {
    co_await serve_caller(node, exchange);
  }
}

}  // namespace peridotreach
