#include "peridot-entry/engine_stream.h"

#include <charconv>
#include <utility>
#include <vector>

#include "runtime/clock.h"
#include "runtime/json.h"
#include "runtime/sse_parser.h"

namespace peridotreach {
namespace {

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpNotFound = 404;
constexpr unsigned kHttpTooMany = 429;
constexpr unsigned kHttpUnavailable = 503;

// Bounds on connecting and on the head of the answer.
constexpr Millis kConnectTimeout = kSecond;
constexpr Millis kHeadTimeout = 10 * kSecond;

// Longest silence that the connection itself allows; the reducer replaces
// silent connections much earlier.
constexpr Millis kReadTimeout = kMinute;

template <class Body>
EntryEvent event_of(Body body) {
  return {monotonic_now(), wall_minute(), std::move(body)};
}

// Reads the number after the sequence member's name. A quote inside a JSON
// string is escaped, so the name with its quotes cannot occur in a text.
bool read_sequence(const std::string& data, std::int64_t& sequence) {
  constexpr std::string_view kName = "\"sequence_number\":";
  std::size_t at = data.find(kName);
  if (at == std::string::npos) return false;
  at += kName.size();
  while (at < data.size() && data[at] == ' ') ++at;
  const char* end = data.data() + data.size();
  return std::from_chars(data.data() + at, end, sequence).ec == std::errc();
}

StreamEventKind kind_of(std::string_view type) {
  if (type == "response.output_text.delta") return StreamEventKind::kToken;
  if (type == "response.created") return StreamEventKind::kCreated;
  if (type == "response.completed") return StreamEventKind::kCompleted;
  if (type == "response.failed" || type == "error")
    return StreamEventKind::kFailed;
  return StreamEventKind::kOther;
}

ClientRequest request_of(const EngineCall& call) {
  ClientRequest request;
  if (call.generation.empty()) {
    request.method = "POST";
    request.target = "/v1/responses";
    request.body = call.body;
    return request;
  }
  request.target = "/v1/responses/" + call.generation + "?stream=true";
  if (call.starting_after >= 0) {
    request.target += "&starting_after=" + std::to_string(call.starting_after);
  }
  return request;
}

DisconnectReason refused_kind(const HttpConnection& connection,
                              unsigned status) {
  if (status == kHttpNotFound) return DisconnectReason::kUnknownGeneration;
  const bool declined = status == kHttpUnavailable || status == kHttpTooMany;
  if (declined && connection.header("x-ran") == "no") {
    return DisconnectReason::kDeclined;
  }
  return status == 0 ? DisconnectReason::kClosed
                     : DisconnectReason::kProtocolError;
}

std::vector<StreamEvent> items_from(std::vector<SseEvent> events) {
  std::vector<StreamEvent> items;
  for (SseEvent& event : events) {
    StreamEvent item;
    if (event.data.empty()) {
      item.kind = StreamEventKind::kHeartbeat;
    } else if (!stream_item_from(event.type, std::move(event.data), item)) {
      continue;
    }
    items.push_back(std::move(item));
  }
  return items;
}

awaitable<void> read_events(HttpConnection& connection, const EngineCall& call,
                            const EventSink& post) {
  SseParser parser;
  while (!parser.failed()) {
    const std::string part = co_await connection.read_some(kReadTimeout);
    if (part.empty()) co_return;
    std::vector<StreamEvent> items = items_from(parser.feed(part));
    if (items.empty()) continue;
    post(event_of(
        StreamEventsReceived{call.request, call.attempt, std::move(items)}));
  }
}

}  // namespace

bool stream_item_from(std::string_view type, std::string data,
                      StreamEvent& item) {
  item.kind = kind_of(type);
  if (!read_sequence(data, item.sequence)) return false;
  if (item.kind == StreamEventKind::kCreated ||
      item.kind == StreamEventKind::kCompleted) {
    const Result<json::object> parsed = parse_object(data);
    if (!ok(parsed)) return false;
    item.generation_id =
        text_member(object_member(value(parsed), "response"), "id");
  }
  item.payload = std::move(data);
  return true;
}

awaitable<void> run_engine_stream(std::shared_ptr<HttpConnection> connection,
                                  EngineCall call, EventSink post) {
  const auto close = [&](DisconnectReason kind) {
    post(event_of(EndpointDisconnected{call.request, call.attempt, kind}));
  };
  if (!co_await connection->connect(call.target, kConnectTimeout)) {
    close(DisconnectReason::kConnectFailed);
    co_return;
  }
  if (!co_await connection->send(request_of(call), kConnectTimeout)) {
    close(DisconnectReason::kClosed);
    co_return;
  }
  const unsigned status = co_await connection->read_head(kHeadTimeout);
  if (status != kHttpOk) {
    close(refused_kind(*connection, status));
    co_return;
  }
  const std::string text = connection->header("x-endpoint-incarnation");
  std::uint64_t incarnation = 0;
  std::from_chars(text.data(), text.data() + text.size(), incarnation);
  post(event_of(EndpointConnected{call.request, call.attempt, incarnation}));
  co_await read_events(*connection, call, post);
  close(DisconnectReason::kClosed);
}

}  // namespace peridotreach
