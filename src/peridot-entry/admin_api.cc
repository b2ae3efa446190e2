#include "peridot-entry/admin_api.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "runtime/json.h"

namespace peridotreach {
namespace {

json::object status_of(const EntryNode& node) {
  json::object status;
  status["vm"] = node.identity().vm;
  status["zone"] = node.identity().zone;
  status["incarnation"] = std::to_string(node.identity().incarnation);
  status["revision"] = node.config().revision;
  status["serial"] = node.config().sheet_serial;
  status["open_requests"] = node.open_requests();
  status["stopping"] = node.is_stopping();
  status["store_answers"] = node.store_reachable();
  status["vms"] = node.view().vms.size();
  status["endpoints"] = node.view().endpoints.size();
  status["link_bytes_sent"] = node.link_counts().bytes_sent;
  status["link_messages_sent"] = node.link_counts().messages_sent;
  json::object calls;
  for (const auto& [path, count] : node.store().call_counts())
    calls[path] = count;
  status["store_calls"] = std::move(calls);
  return status;
}

json::object explanation_of(const EntryNode& node, const std::string& id) {
  json::array decisions;
  const std::uint64_t request = node.request_number(id);
  for (const ExplainEntry& entry : node.explanations().decisions_for(request)) {
    json::object decision;
    decision["at_ms"] = entry.at_ms;
    decision["code"] = entry.code;
    decision["detail"] = entry.detail;
    decisions.push_back(std::move(decision));
  }
  json::object body;
  body["request"] = id;
  body["decisions"] = std::move(decisions);
  return body;
}

json::object refusals_of(const EntryNode& node) {
  json::array cells;
  for (const auto& [bucket, counts] : node.refusals().ledger().buckets) {
    for (const auto& [labels, count] : counts) {
      json::object cell;
      cell["vm"] = bucket.vm;
      cell["incarnation"] = std::to_string(bucket.incarnation);
      cell["minute"] = bucket.minute;
      cell["caller"] = labels.caller;
      cell["rank"] = labels.rank;
      cell["service"] = labels.service;
      cell["kind"] = refusal_name(labels.kind);
      cell["count"] = count;
      cells.push_back(std::move(cell));
    }
  }
  json::object body;
  body["cells"] = std::move(cells);
  return body;
}

bool is_operator(const EntryNode& node, const HttpRequest& request) {
  const std::string& key = node.settings().text("operator-key");
  if (key.empty()) return true;
  return sha256_hex(request.header("authorization")) ==
         sha256_hex("Bearer " + key);
}

}  // namespace

awaitable<void> serve_admin(EntryNode& node, HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (!is_operator(node, request)) {
    co_await exchange.respond(error_response(
        401, "unauthenticated", "the admin paths require the operator key",
        "send \"Authorization: Bearer KEY\" with the value "
        "of --operator-key"));
    co_return;
  }
  const std::string explain = "/admin/explain/";
  HttpResponse response;
  if (request.path == "/admin/status") {
    response.body = json::serialize(status_of(node));
  } else if (request.path == "/admin/refusals") {
    response.body = json::serialize(refusals_of(node));
  } else if (request.path.compare(0, explain.size(), explain) == 0) {
    response.body = json::serialize(
        explanation_of(node, request.path.substr(explain.size())));
  } else if (request.path == "/admin/drain" && request.method == "POST") {
    node.post(StopRequested{});
    response.body = "{\"draining\":true}";
  } else {
    response = error_response(404, "not_found", "no such admin path",
                              "see the admin paths in docs/OPERATIONS.md");
  }
  co_await exchange.respond(std::move(response));
}

}  // namespace peridotreach
