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
constexpr unsigned kHttpTooManyRequests = 429;
constexpr unsigned kHttpServiceUnavailable = 503;

// Timeouts for connecting and for receiving the response head.
constexpr Millis kConnectTimeout = kSecond;
constexpr Millis kResponseHeadTimeout = 10 * kSecond;

// Idle timeout of the connection itself. The reducer's own idle timeout is much
// shorter and normally replaces the connection first.
constexpr Millis kReadIdleTimeout = kMinute;

template <class Body>
EntryEvent make_event(Body body) {
  return {monotonic_now(), wall_minute(), std::move(body)};
}

// Reads `sequence_number` without parsing the whole object. The quotes inside a
// JSON string are escaped, so the quoted name cannot match text in a string.
bool read_sequence_number(const std::string& data, std::int64_t& sequence) {
  constexpr std::string_view kName = "\"sequence_number\":";
  std::size_t at = data.find(kName);
  if (at == std::string::npos) return false;
  at += kName.size();
  while (at < data.size() && data[at] == ' ') ++at;
  const char* end = data.data() + data.size();
  return std::from_chars(data.data() + at, end, sequence).ec == std::errc();
}

StreamEventKind event_kind_from(std::string_view type) {
  if (type == "response.output_text.delta") return StreamEventKind::kToken;
  if (type == "response.created") return StreamEventKind::kCreated;
  if (type == "response.completed") return StreamEventKind::kCompleted;
  if (type == "response.failed" || type == "error")
    return StreamEventKind::kFailed;
  return StreamEventKind::kOther;
}

ClientRequest make_request(const EngineCall& call) {
  ClientRequest request;
  if (call.generation_id.empty()) {
    request.method = "POST";
    request.target = "/v1/responses";
    request.body = call.body;
    return request;
  }
  request.target = "/v1/responses/" + call.generation_id + "?stream=true";
  if (call.starting_after >= 0) {
    request.target += "&starting_after=" + std::to_string(call.starting_after);
  }
  return request;
}

DisconnectReason disconnect_reason_for(const HttpConnection& connection,
                                       unsigned status) {
  if (status == kHttpNotFound) return DisconnectReason::kUnknownGeneration;
  const bool declined =
      status == kHttpServiceUnavailable || status == kHttpTooManyRequests;
  if (declined && connection.header("x-ran") == "no") {
    return DisconnectReason::kDeclined;
  }
  return status == 0 ? DisconnectReason::kClosed
                     : DisconnectReason::kProtocolError;
}

std::vector<StreamEvent> parse_events(std::vector<SseEvent> events) {
  std::vector<StreamEvent> stream_events;
  for (SseEvent& event : events) {
    StreamEvent stream_event;
    if (event.data.empty()) {
      stream_event.kind = StreamEventKind::kHeartbeat;
    } else if (!parse_stream_event(event.type, std::move(event.data),
                                   stream_event)) {
      continue;
    }
    stream_events.push_back(std::move(stream_event));
  }
  return stream_events;
}

awaitable<void> read_events(HttpConnection& connection, const EngineCall& call,
                            const EventSink& post) {
  SseParser parser;
  while (!parser.failed()) {
    const std::string part = co_await connection.read_some(kReadIdleTimeout);
    if (part.empty()) co_return;
    std::vector<StreamEvent> stream_events = parse_events(parser.feed(part));
    if (stream_events.empty()) continue;
    post(make_event(StreamEventsReceived{call.request, call.attempt,
                                         std::move(stream_events)}));
  }
}

}  // namespace

bool parse_stream_event(std::string_view type, std::string data,
                        StreamEvent& stream_event) {
  stream_event.kind = event_kind_from(type);
  if (!read_sequence_number(data, stream_event.sequence)) return false;
  if (stream_event.kind == StreamEventKind::kCreated ||
      stream_event.kind == StreamEventKind::kCompleted) {
    const Result<json::object> parsed = parse_object(data);
    if (!ok(parsed)) return false;
    stream_event.generation_id =
        string_member(object_member(value(parsed), "response"), "id");
  }
  stream_event.payload = std::move(data);
  return true;
}

awaitable<void> run_engine_stream(std::shared_ptr<HttpConnection> connection,
                                  EngineCall call, EventSink post) {
  const auto close = [&](DisconnectReason kind) {
    post(make_event(EndpointDisconnected{call.request, call.attempt, kind}));
  };
  if (!co_await connection->connect(call.target, kConnectTimeout)) {
    close(DisconnectReason::kConnectFailed);
    co_return;
  }
  if (!co_await connection->send(make_request(call), kConnectTimeout)) {
    close(DisconnectReason::kClosed);
    co_return;
  }
  const unsigned status = co_await connection->read_head(kResponseHeadTimeout);
  if (status != kHttpOk) {
    close(disconnect_reason_for(*connection, status));
    co_return;
  }
  const std::string text = connection->header("x-endpoint-incarnation");
  std::uint64_t incarnation = 0;
  std::from_chars(text.data(), text.data() + text.size(), incarnation);
  post(make_event(EndpointConnected{call.request, call.attempt, incarnation}));
  co_await read_events(*connection, call, post);
  close(DisconnectReason::kClosed);
}

}  // namespace peridotreach
