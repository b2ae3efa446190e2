#include "peridot-caller/stream_client.h"

#include <boost/json/serialize.hpp>
#include <chrono>
#include <utility>

#include "peridot-caller/token_check.h"
#include "runtime/clock.h"
#include "runtime/json.h"
#include "runtime/sse_parser.h"

namespace peridotreach {
namespace {

constexpr Millis kConnectTimeout = kSecond;

// Timeout for the response head. Requests of some ranks may queue for minutes
// before it arrives.
constexpr Millis kResponseHeadTimeout = 5 * kMinute;

// Idle time after which a connection is closed and the stream resumed on
// another address.
constexpr Millis kIdleTimeout = 3500;

constexpr std::uint32_t kMaxReconnects = 8;
constexpr Millis kReconnectDelay = 100;

constexpr unsigned kHttpOk = 200;

// Progress of one request across its connections.
struct StreamProgress {
  TokenCheck token_check;
  std::string response_id;
  std::int64_t last_sequence_number = -1;
  double last_token_at_ms = -1;
  bool done = false;
};

std::string make_request_body(const PlannedRequest& work) {
  json::object metadata;
  metadata["rank"] = work.stream.rank;
  json::object body;
  body["model"] = work.stream.model;
  body["input"] = work.prompt;
  body["stream"] = true;
  body["metadata"] = std::move(metadata);
  return json::serialize(body);
}

ClientRequest make_request(const PlannedRequest& work,
                           const StreamProgress& progress) {
  ClientRequest request;
  request.headers.push_back({"authorization", "Bearer " + work.stream.api_key});
  if (progress.response_id.empty()) {
    request.method = "POST";
    request.target = "/v1/responses";
    request.body = make_request_body(work);
    request.headers.push_back({"idempotency-key", work.idempotency_key});
    return request;
  }
  request.target = "/v1/responses/" + progress.response_id +
                   "?stream=true&starting_after=" +
                   std::to_string(progress.last_sequence_number);
  return request;
}

void record_token(const std::string& text, StreamProgress& progress,
                  RequestRecord& record) {
  const double now = precise_now_ms();
  check_token(progress.token_check, text);
  record.tokens += 1;
  if (record.first_token_at_ms < 0) record.first_token_at_ms = now;
  if (progress.last_token_at_ms >= 0) {
    record.token_gaps_ms.push_back(
        static_cast<float>(now - progress.last_token_at_ms));
  }
  progress.last_token_at_ms = now;
}

void handle_event(const SseEvent& event, StreamProgress& progress,
                  RequestRecord& record) {
  if (event.data.empty()) return;
  const Result<json::object> parsed = parse_object(event.data);
  if (!ok(parsed)) return;
  const json::object& data = value(parsed);
  const std::string type = string_member(data, "type");
  if (type == "error") {
    record.refusal_code = string_member(data, "code");
    record.execution_status = string_member(data, "ran");
    progress.done = true;
    return;
  }
  progress.last_sequence_number = int_member(data, "sequence_number");
  if (type == "response.output_text.delta") {
    record_token(string_member(data, "delta"), progress, record);
  } else if (type == "response.created") {
    progress.response_id = string_member(object_member(data, "response"), "id");
  } else if (type == "response.completed") {
    const json::object& usage =
        object_member(object_member(data, "response"), "usage");
    const bool complete = static_cast<std::uint64_t>(int_member(
                              usage, "output_tokens")) == record.tokens;
    if (!complete) record.out_of_order_tokens += 1;
    record.completed = true;
    progress.done = true;
  }
}

// Records an error response that arrived instead of a stream.
void record_error_response(const std::string& body, const std::string& ran,
                           const StreamProgress& progress,
                           RequestRecord& record) {
  const Result<json::object> parsed = parse_object(body);
  record.refusal_code = "unreadable";
  if (ok(parsed)) {
    record.refusal_code =
        string_member(object_member(value(parsed), "error"), "code");
  }
  record.execution_status = ran;
  // Only tokens of this attempt count: an earlier attempt is another request,
  // and `record` covers both.
  const bool received_tokens = progress.token_check.next_index > 0;
  record.false_not_run_claim =
      record.false_not_run_claim || (ran == "no" && received_tokens);
}

awaitable<std::string> read_remaining_body(HttpConnection& connection) {
  std::string body;
  while (!connection.response_complete()) {
    const std::string chunk = co_await connection.read_some(kIdleTimeout);
    if (chunk.empty()) break;
    body += chunk;
  }
  co_return body;
}

// Opens one connection, sends or resumes the request and reads the stream.
// Returns whether the address may be used again.
awaitable<bool> run_connection(asio::io_context& io, HttpTarget target,
                               const PlannedRequest& work,
                               StreamProgress& progress,
                               RequestRecord& record) {
  HttpConnection connection(io);
  if (!co_await connection.connect(target, kConnectTimeout)) co_return false;
  if (!co_await connection.send(make_request(work, progress),
                                kConnectTimeout)) {
    co_return false;
  }
  const unsigned status = co_await connection.read_head(kResponseHeadTimeout);
  if (status == 0) co_return false;
  if (status != kHttpOk) {
    const std::string ran = connection.header("peridot-ran");
    const std::string body = co_await read_remaining_body(connection);
    record_error_response(body, ran, progress, record);
    progress.done = true;
    co_return true;
  }
  SseParser parser;
  while (!progress.done && !connection.response_complete()) {
    const std::string chunk = co_await connection.read_some(kIdleTimeout);
    if (chunk.empty()) break;
    for (const SseEvent& event : parser.feed(chunk)) {
      handle_event(event, progress, record);
    }
  }
  co_return progress.done;
}

}  // namespace

double precise_now_ms() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

awaitable<void> run_request(asio::io_context& io, AddressBook& book,
                            PlannedRequest work, RequestRecord& record) {
  StreamProgress progress;
  for (std::uint32_t i = 0; i <= kMaxReconnects && !progress.done; ++i) {
    const HttpTarget target = co_await book.choose(work.address_index + i);
    const bool address_usable =
        co_await run_connection(io, target, work, progress, record);
    if (progress.done) break;
    if (!address_usable) book.drop(target);
    record.reconnects += 1;
    co_await sleep_for(kReconnectDelay);
  }
  if (!progress.done) record.refusal_code = "given_up";
  record.ended_at_ms = precise_now_ms();
  record.id = progress.response_id;
  record.out_of_order_tokens += progress.token_check.out_of_order_tokens;
  record.generation_mismatches = progress.token_check.generation_mismatches;
}

}  // namespace peridotreach
