#include "peridot-entry/responses_api.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <memory>
#include <utility>

#include "fleet.pb.h"
#include "libperidotreach/cells.h"
#include "runtime/json.h"
#include "runtime/sse_parser.h"

namespace peridotreach {
namespace {

// Interval between comments that keep an idle stream to a caller open.
constexpr Millis kHeartbeatInterval = kSecond;
constexpr Millis kForwardTimeout = 5 * kSecond;

// Characters of a prompt that are estimated as one token.
constexpr std::size_t kCharactersPerToken = 4;

// Prefixes of a prompt are hashed at multiples of this length, up to a maximum
// number of prefixes.
constexpr std::size_t kPrefixStepCharacters = 256;
constexpr std::size_t kMaxPrefixes = 6;

// Largest accepted prompt, in estimated tokens.
constexpr std::size_t kMaxPromptTokens = 200'000;

std::string prompt_from(const json::object& body) {
  const json::value* input = body.if_contains("input");
  if (input == nullptr) return {};
  if (input->is_string()) return std::string(input->as_string());
  return json::serialize(*input);
}

std::vector<std::uint64_t> hash_prefixes(const std::string& prompt) {
  std::vector<std::uint64_t> prefixes;
  for (std::size_t end = kPrefixStepCharacters;
       end <= prompt.size() && prefixes.size() < kMaxPrefixes;
       end += kPrefixStepCharacters) {
    prefixes.push_back(
        static_cast<std::uint32_t>(stable_hash(prompt.substr(0, end))));
  }
  return prefixes;
}

std::string format_seconds(Millis duration) {
  return std::to_string((duration + kSecond - 1) / kSecond);
}

HttpResponse refusal_response(const FinishRequest& outcome) {
  const RefusalKind kind = outcome.kind == RefusalKind::kNone
                               ? RefusalKind::kEndpointLost
                               : outcome.kind;
  HttpResponse response =
      error_response(refusal_http_status(kind), refusal_name(kind),
                     std::string("the request failed: ") + refusal_name(kind) +
                         ", ran: " + execution_status_name(outcome.ran),
                     refusal_remedy(kind));
  response.headers.push_back(
      {"peridot-ran", execution_status_name(outcome.ran)});
  if (outcome.retry_after > 0) {
    response.headers.push_back(
        {"retry-after", format_seconds(outcome.retry_after)});
    response.headers.push_back(
        {"retry-after-ms", std::to_string(outcome.retry_after)});
  }
  return response;
}

std::string failure_event(const CallerStream& stream) {
  const FinishRequest& outcome = stream.outcome;
  json::object event;
  event["type"] = "error";
  event["sequence_number"] = stream.next_sequence;
  event["code"] = refusal_name(outcome.kind);
  event["message"] =
      std::string("the response ended before completion; ran: ") +
      execution_status_name(outcome.ran) + "; " + refusal_remedy(outcome.kind);
  event["param"] = nullptr;
  event["ran"] = execution_status_name(outcome.ran);
  return format_sse("error", json::serialize(event));
}

// Writes a stream to its caller until the stream finishes, the caller
// disconnects or the caller is too slow.
awaitable<void> write_stream(EntryNode& node, HttpExchange& exchange,
                             std::shared_ptr<CallerStream> stream) {
  while (stream->pending.empty() && !stream->finished) {
    co_await stream->signal.wait(kHeartbeatInterval);
  }
  if (stream->pending.empty() && stream->outcome.kind != RefusalKind::kNone) {
    co_await exchange.respond(refusal_response(stream->outcome));
    co_return;
  }
  std::vector<HttpHeader> headers;
  headers.push_back({"x-request-id", node.request_id(stream->request)});
  bool connected = co_await exchange.start_stream("text/event-stream", headers);
  while (connected) {
    if (!stream->pending.empty()) {
      const std::string output = std::exchange(stream->pending, std::string());
      connected = co_await exchange.write(output);
      continue;
    }
    if (stream->finished || stream->overrun) break;
    const bool notified = co_await stream->signal.wait(kHeartbeatInterval);
    if (!notified) connected = co_await exchange.write(": heartbeat\n\n");
  }
  if (connected && stream->finished) {
    if (stream->outcome.kind != RefusalKind::kNone) {
      co_await exchange.write(failure_event(*stream));
    }
    co_await exchange.finish_stream();
    co_return;
  }
  exchange.abandon();
  stream->detached = true;
  if (!stream->finished)
    node.post(CallerConnectionEnded{stream->request, false});
}

// Responds with a single JSON object: a background request as soon as its
// response is created, any other when it has finished.
awaitable<void> respond_whole(EntryNode& node, HttpExchange& exchange,
                              std::shared_ptr<CallerStream> stream,
                              bool background) {
  while (!stream->finished) {
    if (background && !stream->created.empty()) break;
    co_await stream->signal.wait(kHeartbeatInterval);
  }
  HttpResponse response;
  if (background && !stream->created.empty()) {
    response.body = stream->created;
    stream->detached = true;
  } else if (stream->outcome.kind == RefusalKind::kNone &&
             !stream->completed.empty()) {
    response.body = stream->completed;
  } else {
    response = refusal_response(stream->outcome);
  }
  response.headers.push_back(
      {"x-request-id", node.request_id(stream->request)});
  co_await exchange.respond(std::move(response));
}

// Returns what is wrong with a creation request, empty if it is valid.
std::string validate_request(const json::object& body,
                             const std::string& prompt) {
  if (string_member(body, "model").empty())
    return "\"model\" must be a non-empty string";
  if (prompt.empty()) return "\"input\" is missing or empty";
  if (prompt.size() / kCharactersPerToken > kMaxPromptTokens) {
    return "\"input\" exceeds the maximum prompt length";
  }
  return {};
}

std::string select_rank(const json::object& body, const CallerPolicy& caller) {
  const std::string requested_rank =
      string_member(object_member(body, "metadata"), "rank");
  if (requested_rank.empty())
    return caller.ranks.empty() ? "" : caller.ranks.front();
  const auto& ranks = caller.ranks;
  const bool allowed =
      std::find(ranks.begin(), ranks.end(), requested_rank) != ranks.end();
  return allowed ? requested_rank : std::string();
}

HttpResponse response_not_found() {
  return error_response(404, "not_found", "no such response",
                        "use the response id exactly as it was returned");
}

// Verifies a response id and reads its contents into `token`. Returns false if
// the id is invalid or was issued to another caller.
bool verify_response_id(const EntryNode& node, const std::string& id,
                        const CallerPolicy& caller,
                        proto::ResponseToken& token) {
  const auto payload = verify_token(node.fleet_key(), "resp_", id);
  if (!ok(payload)) return false;
  if (!token.ParseFromString(value(payload))) return false;
  return token.caller() == caller.id;
}

awaitable<void> resume_stream(EntryNode& node, HttpExchange& exchange,
                              proto::ResponseToken token, std::int64_t after) {
  auto stream = node.open_stream();
  stream->caller = token.caller();
  stream->rank = token.rank();
  stream->service = token.service();
  stream->wants_stream = true;
  stream->next_sequence = after + 1;
  ResumeRequested event;
  event.request = stream->request;
  event.caller = token.caller();
  event.rank = token.rank();
  event.service = token.service();
  event.endpoint = token.endpoint();
  event.endpoint_incarnation = token.endpoint_incarnation();
  event.generation_id = token.generation();
  event.starting_after = after;
  node.post(event);
  co_await write_stream(node, exchange, stream);
}

// Forwards a retrieval or cancellation to the endpoint that runs the
// generation.
awaitable<void> forward_to_endpoint(EntryNode& node, HttpExchange& exchange,
                                    proto::ResponseToken token, std::string id,
                                    bool is_cancellation) {
  const EndpointInfo* endpoint = find_endpoint(node.view(), token.endpoint());
  if (endpoint == nullptr) {
    co_await exchange.respond(response_not_found());
    co_return;
  }
  ClientRequest request;
  request.method = is_cancellation ? "POST" : "GET";
  request.target = "/v1/responses/" + token.generation();
  if (is_cancellation) request.target += "/cancel";
  const HttpTarget target{endpoint->address,
                          static_cast<std::uint16_t>(endpoint->port)};
  const ClientResponse answer = co_await peridotreach::fetch_response(
      node.io(), target, std::move(request), kForwardTimeout);
  Result<json::object> parsed = parse_object(answer.body);
  if (!answer.complete || answer.status != 200 || !ok(parsed)) {
    co_await exchange.respond(response_not_found());
    co_return;
  }
  json::object& body = std::get<json::object>(parsed);
  body["id"] = id;
  HttpResponse response;
  response.body = json::serialize(body);
  co_await exchange.respond(std::move(response));
}

}  // namespace

awaitable<void> create_response(EntryNode& node, HttpExchange& exchange,
                                const CallerPolicy& caller) {
  Result<json::object> parsed = parse_object(exchange.request().body);
  if (!ok(parsed)) {
    co_await exchange.respond(error_response(
        400, "malformed", error(parsed).message, error(parsed).remedy));
    co_return;
  }
  json::object& body = std::get<json::object>(parsed);
  const std::string prompt = prompt_from(body);
  const std::string problem = validate_request(body, prompt);
  if (!problem.empty()) {
    co_await exchange.respond(
        error_response(400, "bad_request", problem,
                       "correct the request body and send it again"));
    co_return;
  }
  const std::string model = string_member(body, "model");
  const ServicePolicy* service = find_service_of_model(node.config(), model);
  if (service == nullptr) {
    co_await exchange.respond(
        error_response(404, "model_not_found", "no service runs model " + model,
                       "use a model listed by GET /v1/models"));
    co_return;
  }
  const std::string rank = select_rank(body, caller);
  if (rank.empty()) {
    co_await exchange.respond(error_response(
        400, "bad_rank", "the requested rank is not one of the account's ranks",
        "omit metadata.rank or set it to one of the account's ranks"));
    co_return;
  }
  auto stream = node.open_stream();
  stream->caller = caller.id;
  stream->rank = rank;
  stream->service = service->id;
  stream->wants_stream = bool_member(body, "stream");
  const bool background = bool_member(body, "background");
  body["stream"] = true;
  body["background"] = true;
  body.erase("priority");
  stream->engine_body = json::serialize(body);
  GenerationRequested event;
  event.request = stream->request;
  event.caller = caller.id;
  event.rank = rank;
  event.service = service->id;
  event.model = model;
  event.idempotency_key = exchange.request().header("idempotency-key");
  event.prompt_tokens =
      static_cast<std::uint32_t>(prompt.size() / kCharactersPerToken + 1);
  event.fingerprint = stable_hash(caller.id + "\n" + model + "\n" + prompt);
  event.prefix_hashes = hash_prefixes(prompt);
  node.post(event);
  if (stream->wants_stream) {
    co_await write_stream(node, exchange, stream);
  } else {
    co_await respond_whole(node, exchange, stream, background);
  }
}

awaitable<void> serve_existing_response(EntryNode& node, HttpExchange& exchange,
                                        const CallerPolicy& caller,
                                        std::string rest) {
  const std::string suffix = "/cancel";
  const bool is_cancellation =
      exchange.request().method == "POST" && rest.ends_with(suffix);
  if (is_cancellation) rest.resize(rest.size() - suffix.size());
  proto::ResponseToken token;
  if (!verify_response_id(node, rest, caller, token)) {
    co_await exchange.respond(response_not_found());
    co_return;
  }
  const HttpRequest& request = exchange.request();
  if (!is_cancellation && request.parameter("stream") == "true") {
    const std::string text = request.parameter("starting_after");
    std::int64_t after = -1;
    std::from_chars(text.data(), text.data() + text.size(), after);
    co_await resume_stream(node, exchange, token, after);
    co_return;
  }
  co_await forward_to_endpoint(node, exchange, token, rest, is_cancellation);
}

}  // namespace peridotreach
