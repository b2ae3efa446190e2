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

// Longest wait for the head of an answer; ranks may wait minutes.
constexpr Millis kHeadTimeout = 5 * kMinute;

// Silence after which a connection is given up and resumed elsewhere.
constexpr Millis kSilence = 3500;

constexpr std::uint32_t kMostReconnects = 8;
constexpr Millis kReconnectDelay = 100;

constexpr unsigned kHttpOk = 200;

// Progress of a request over its connections.
struct Progress {
  TokenCheck check;
  std::string response_id;
  std::int64_t last_sequence = -1;
  double last_token = -1;
  bool done = false;
};

std::string create_body(const ClientWork& work) {
  json::object metadata;
  metadata["rank"] = work.stream.rank;
  json::object body;
  body["model"] = work.stream.model;
  body["input"] = work.prompt;
  body["stream"] = true;
  body["metadata"] = std::move(metadata);
  return json::serialize(body);
}

ClientRequest request_for(const ClientWork& work, const Progress& progress) {
  ClientRequest request;
  request.headers.push_back({"authorization", "Bearer " + work.stream.key});
  if (progress.response_id.empty()) {
    request.method = "POST";
    request.target = "/v1/responses";
    request.body = create_body(work);
    request.headers.push_back({"idempotency-key", work.idempotency_key});
    return request;
  }
  request.target =
      "/v1/responses/" + progress.response_id +
      "?stream=true&starting_after=" + std::to_string(progress.last_sequence);
  return request;
}

void take_token(const std::string& text, Progress& progress,
                RequestRecord& record) {
  const double now = precise_now();
  check_token(progress.check, text);
  record.tokens += 1;
  if (record.first_token < 0) record.first_token = now;
  if (progress.last_token >= 0) {
    record.gaps.push_back(static_cast<float>(now - progress.last_token));
  }
  progress.last_token = now;
}

void take_event(const SseEvent& event, Progress& progress,
                RequestRecord& record) {
  if (event.data.empty()) return;
  const Result<json::object> parsed = parse_object(event.data);
  if (!ok(parsed)) return;
  const json::object& data = value(parsed);
  const std::string type = string_member(data, "type");
  if (type == "error") {
    record.refusal = string_member(data, "code");
    record.ran = string_member(data, "ran");
    progress.done = true;
    return;
  }
  progress.last_sequence = int_member(data, "sequence_number");
  if (type == "response.output_text.delta") {
    take_token(string_member(data, "delta"), progress, record);
  } else if (type == "response.created") {
    progress.response_id = string_member(object_member(data, "response"), "id");
  } else if (type == "response.completed") {
    const json::object& usage =
        object_member(object_member(data, "response"), "usage");
    const bool whole = static_cast<std::uint64_t>(
                           int_member(usage, "output_tokens")) == record.tokens;
    if (!whole) record.wrong_order += 1;
    record.completed = true;
    progress.done = true;
  }
}

// Takes a refusal that came instead of a stream.
void take_refusal(const std::string& body, const std::string& ran,
                  const Progress& progress, RequestRecord& record) {
  const Result<json::object> parsed = parse_object(body);
  record.refusal = "unreadable";
  if (ok(parsed)) {
    record.refusal =
        string_member(object_member(value(parsed), "error"), "code");
  }
  record.ran = ran;
  // Tokens of an earlier request that this one resends do not count.
  const bool ran_here = progress.check.next > 0;
  record.untrue_refusal = record.untrue_refusal || (ran == "no" && ran_here);
}

awaitable<std::string> read_rest(HttpConnection& connection) {
  std::string body;
  while (!connection.response_complete()) {
    const std::string part = co_await connection.read_some(kSilence);
    if (part.empty()) break;
    body += part;
  }
  co_return body;
}

// Runs one connection. Returns whether the address may be used again.
awaitable<bool> run_connection(asio::io_context& io, HttpTarget target,
                               const ClientWork& work, Progress& progress,
                               RequestRecord& record) {
  HttpConnection connection(io);
  if (!co_await connection.connect(target, kConnectTimeout)) co_return false;
  if (!co_await connection.send(request_for(work, progress), kConnectTimeout)) {
    co_return false;
  }
  const unsigned status = co_await connection.read_head(kHeadTimeout);
  if (status == 0) co_return false;
  if (status != kHttpOk) {
    const std::string ran = connection.header("peridot-ran");
    const std::string body = co_await read_rest(connection);
    take_refusal(body, ran, progress, record);
    progress.done = true;
    co_return true;
  }
  SseParser parser;
  while (!progress.done && !connection.response_complete()) {
    const std::string part = co_await connection.read_some(kSilence);
    if (part.empty()) break;
    for (const SseEvent& event : parser.feed(part)) {
      take_event(event, progress, record);
    }
  }
  co_return progress.done;
}

}  // namespace

double precise_now() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(now).count();
}

awaitable<void> run_request(asio::io_context& io, AddressBook& book,
                            ClientWork work, RequestRecord& record) {
  Progress progress;
  for (std::uint32_t i = 0; i <= kMostReconnects && !progress.done; ++i) {
    const HttpTarget target = co_await book.choose(work.turn + i);
    const bool usable =
        co_await run_connection(io, target, work, progress, record);
    if (progress.done) break;
    if (!usable) book.drop(target);
    record.reconnects += 1;
    co_await sleep_for(kReconnectDelay);
  }
  if (!progress.done) record.refusal = "given_up";
  record.ended = precise_now();
  record.id = progress.response_id;
  record.wrong_order += progress.check.wrong_order;
  record.joined = progress.check.joined;
}

}  // namespace peridotreach
