#include "peridot-dispatch/endpoint_watch.h"

#include <cstdlib>
#include <utility>

#include "runtime/clock.h"
#include "runtime/json.h"
#include "runtime/sse_parser.h"

namespace peridotreach {
namespace {

constexpr Millis kConnectTimeout = kSecond;

// The connection is replaced after this long without data.
constexpr Millis kReportTimeout = 3 * kSecond;

// Delay before reconnecting to an endpoint that accepts no connection or sends
// no reports.
constexpr Millis kReconnectDelay = 500;

constexpr unsigned kHttpOk = 200;

EndpointLoad parse_load(const json::object& from) {
  EndpointLoad load;
  load.incarnation =
      std::strtoull(string_member(from, "incarnation").c_str(), nullptr, 10);
  load.kv_used = double_member(from, "kv_used");
  load.kv_capacity = double_member(from, "kv_capacity");
  load.running = double_member(from, "running");
  load.waiting = double_member(from, "waiting");
  load.step_ms = double_member(from, "step_ms");
  load.preemptions =
      static_cast<std::uint64_t>(int_member(from, "preemptions"));
  load.age = int_member(from, "age_ms");
  load.leaving = bool_member(from, "leaving");
  for (const json::value& model : array_member(from, "models")) {
    if (model.is_string()) load.models.emplace_back(model.as_string().c_str());
  }
  return load;
}

// Returns the prefix hashes truncated to their low 32 bits, the form in which
// entry processes send them.
std::vector<std::uint64_t> parse_prefix_hashes(const json::array& from) {
  std::vector<std::uint64_t> hashes;
  for (const json::value& number : from) {
    if (number.is_uint64()) {
      hashes.push_back(static_cast<std::uint32_t>(number.as_uint64()));
    } else if (number.is_int64()) {
      hashes.push_back(static_cast<std::uint32_t>(number.as_int64()));
    }
  }
  return hashes;
}

// Reads reports over one connection. Returns whether at least one arrived.
awaitable<bool> read_reports(HttpConnection& connection,
                             const EndpointWatch& watch,
                             const DispatchEventSink& post) {
  ClientRequest request;
  request.target = "/load/events";
  if (!co_await connection.send(std::move(request), kConnectTimeout)) {
    co_return false;
  }
  if (co_await connection.read_head(kReportTimeout) != kHttpOk) {
    co_return false;
  }
  SseParser parser;
  bool received_any = false;
  while (!watch.stopped && !parser.failed()) {
    const std::string part = co_await connection.read_some(kReportTimeout);
    if (part.empty()) break;
    for (const SseEvent& sse : parser.feed(part)) {
      DispatchEvent event;
      if (!parse_endpoint_event(watch.endpoint, sse.data, event)) continue;
      received_any = true;
      post(std::move(event));
    }
  }
  co_return received_any;
}

}  // namespace

bool parse_endpoint_event(const std::string& endpoint, const std::string& data,
                          DispatchEvent& event) {
  const Result<json::object> parsed = parse_object(data);
  if (!ok(parsed)) return false;
  const json::object& object = value(parsed);
  const std::string type = string_member(object, "type");
  event.at = monotonic_now();
  if (type == "load") {
    event.body = LoadReported{endpoint, parse_load(object)};
    return true;
  }
  if (type == "cache") {
    CacheReported report;
    report.endpoint = endpoint;
    report.sequence =
        static_cast<std::uint64_t>(int_member(object, "sequence"));
    report.added = parse_prefix_hashes(array_member(object, "added"));
    report.removed = parse_prefix_hashes(array_member(object, "removed"));
    event.body = std::move(report);
    return true;
  }
  return false;
}

awaitable<void> watch_endpoint(asio::io_context& io,
                               std::shared_ptr<EndpointWatch> watch,
                               DispatchEventSink post) {
  bool reported_crashed = false;
  while (!watch->stopped) {
    HttpConnection connection(io);
    const bool connected =
        co_await connection.connect(watch->target, kConnectTimeout);
    if (watch->stopped) co_return;
    if (!connected) {
      if (!reported_crashed) {
        post({monotonic_now(), EndpointDown{watch->endpoint, true}});
      }
      reported_crashed = true;
      co_await sleep_for(kReconnectDelay);
      continue;
    }
    reported_crashed = false;
    const bool received_any = co_await read_reports(connection, *watch, post);
    if (watch->stopped) co_return;
    post({monotonic_now(), EndpointDown{watch->endpoint, false}});
    // Avoids a tight reconnect loop with an endpoint that accepts connections
    // but sends no reports.
    if (!received_any) {
      co_await sleep_for(kReconnectDelay);
    }
  }
}

}  // namespace peridotreach
