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

constexpr Millis kHeartbeat = kSecond;
constexpr Millis kPassTimeout = 5 * kSecond;

// Characters of a prompt counted as one token, and characters that one prefix
// hash covers.
constexpr std::size_t kCharactersPerToken = 4;
constexpr std::size_t kPrefixCharacters = 256;
constexpr std::size_t kMostPrefixes = 6;

// The longest prompt accepted, in tokens.
constexpr std::size_t kMostPromptTokens = 200'000;

std::string prompt_of(const json::object& body) {
  const json::value* input = body.if_contains("input");
  if (input == nullptr) return {};
  if (input->is_string()) return std::string(input->as_string());
  return json::serialize(*input);
}

std::vector<std::uint64_t> prefixes_of(const std::string& prompt) {
  std::vector<std::uint64_t> prefixes;
  for (std::size_t end = kPrefixCharacters;
       end <= prompt.size() && prefixes.size() < kMostPrefixes;
       end += kPrefixCharacters) {
    prefixes.push_back(
        static_cast<std::uint32_t>(stable_hash(prompt.substr(0, end))));
  }
  return prefixes;
}

std::string seconds_text(Millis duration) {
  return std::to_string((duration + kSecond - 1) / kSecond);
}

HttpResponse refusal_response(const FinishRequest& outcome) {
  const RefusalKind kind = outcome.kind == RefusalKind::kNone
                               ? RefusalKind::kEndpointLost
                               : outcome.kind;
  HttpResponse response = error_response(
      refusal_http_status(kind), refusal_name(kind),
      std::string("the request was refused: ") + refusal_name(kind) +
          ", ran: " + execution_status_name(outcome.ran),
      refusal_remedy(kind));
  response.headers.push_back(
      {"peridot-ran", execution_status_name(outcome.ran)});
  if (outcome.retry_after > 0) {
    response.headers.push_back(
        {"retry-after", seconds_text(outcome.retry_after)});
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
  event["message"] = std::string("the answer ended early; ran: ") +
                     execution_status_name(outcome.ran) + "; " +
                     refusal_remedy(outcome.kind);
  event["param"] = nullptr;
  event["ran"] = execution_status_name(outcome.ran);
  return format_sse("error", json::serialize(event));
}

// Writes a stream to its caller until it is finished or the caller is gone.
awaitable<void> pump_stream(EntryNode& node, HttpExchange& exchange,
                            std::shared_ptr<CallerStream> stream) {
  while (stream->pending.empty() && !stream->finished) {
    co_await stream->signal.wait(kHeartbeat);
  }
  if (stream->pending.empty() && stream->outcome.kind != RefusalKind::kNone) {
    co_await exchange.respond(refusal_response(stream->outcome));
    co_return;
  }
  std::vector<HttpHeader> headers;
  headers.push_back({"x-request-id", node.request_id(stream->request)});
  bool present = co_await exchange.start_stream("text/event-stream", headers);
  while (present) {
    if (!stream->pending.empty()) {
      const std::string out = std::exchange(stream->pending, std::string());
      present = co_await exchange.write(out);
      continue;
    }
    if (stream->finished || stream->overrun) break;
    const bool notified = co_await stream->signal.wait(kHeartbeat);
    if (!notified) present = co_await exchange.write(": heartbeat\n\n");
  }
  if (present && stream->finished) {
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

// Answers in one piece: at once for a background request, else at the end.
awaitable<void> answer_whole(EntryNode& node, HttpExchange& exchange,
                             std::shared_ptr<CallerStream> stream,
                             bool background) {
  while (!stream->finished) {
    if (background && !stream->created.empty()) break;
    co_await stream->signal.wait(kHeartbeat);
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

// What is wrong with a request to create, or nothing.
std::string fault_of(const json::object& body, const std::string& prompt) {
  if (text_member(body, "model").empty()) return "the model is missing";
  if (prompt.empty()) return "the input is missing";
  if (prompt.size() / kCharactersPerToken > kMostPromptTokens) {
    return "the input is too long";
  }
  return {};
}

std::string rank_for(const json::object& body, const CallerPolicy& caller) {
  const std::string asked =
      text_member(object_member(body, "metadata"), "rank");
  if (asked.empty()) return caller.ranks.empty() ? "" : caller.ranks.front();
  const auto& ranks = caller.ranks;
  const bool allowed =
      std::find(ranks.begin(), ranks.end(), asked) != ranks.end();
  return allowed ? asked : std::string();
}

HttpResponse bad_id() {
  return error_response(404, "not_found", "there is no such response",
                        "use the id exactly as it was returned");
}

// Opens a response id for its caller. Returns false if it is not theirs.
bool open_response_id(const EntryNode& node, const std::string& id,
                      const CallerPolicy& caller, proto::ResponseToken& token) {
  const auto payload = verify_token(node.fleet_key(), "resp_", id);
  if (!ok(payload)) return false;
  if (!token.ParseFromString(value(payload))) return false;
  return token.caller() == caller.id;
}

awaitable<void> resume(EntryNode& node, HttpExchange& exchange,
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
  co_await pump_stream(node, exchange, stream);
}

// Passes a retrieval or cancellation on to the endpoint.
awaitable<void> pass_on(EntryNode& node, HttpExchange& exchange,
                        proto::ResponseToken token, std::string id,
                        bool cancels) {
  const EndpointInfo* endpoint = find_endpoint(node.view(), token.endpoint());
  if (endpoint == nullptr) {
    co_await exchange.respond(bad_id());
    co_return;
  }
  ClientRequest request;
  request.method = cancels ? "POST" : "GET";
  request.target = "/v1/responses/" + token.generation();
  if (cancels) request.target += "/cancel";
  const HttpTarget target{endpoint->address,
                          static_cast<std::uint16_t>(endpoint->port)};
  const ClientAnswer answer = co_await peridotreach::exchange(
      node.io(), target, std::move(request), kPassTimeout);
  Result<json::object> parsed = parse_object(answer.body);
  if (!answer.answered || answer.status != 200 || !ok(parsed)) {
    co_await exchange.respond(bad_id());
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
  const std::string prompt = prompt_of(body);
  const std::string fault = fault_of(body, prompt);
  if (!fault.empty()) {
    co_await exchange.respond(error_response(
        400, "bad_request", fault, "correct the request and send it again"));
    co_return;
  }
  const std::string model = text_member(body, "model");
  const ServicePolicy* service = find_service_of_model(node.config(), model);
  if (service == nullptr) {
    co_await exchange.respond(error_response(404, "model_not_found",
                                             "no model " + model,
                                             "choose one of GET /v1/models"));
    co_return;
  }
  const std::string rank = rank_for(body, caller);
  if (rank.empty()) {
    co_await exchange.respond(error_response(
        400, "bad_rank", "this account may not use the rank it asks for",
        "leave metadata.rank out or name one of the account's ranks"));
    co_return;
  }
  auto stream = node.open_stream();
  stream->caller = caller.id;
  stream->rank = rank;
  stream->service = service->id;
  stream->wants_stream = truth_member(body, "stream");
  const bool background = truth_member(body, "background");
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
  event.prefixes = prefixes_of(prompt);
  node.post(event);
  if (stream->wants_stream) {
    co_await pump_stream(node, exchange, stream);
  } else {
    co_await answer_whole(node, exchange, stream, background);
  }
}

awaitable<void> existing_response(EntryNode& node, HttpExchange& exchange,
                                  const CallerPolicy& caller,
                                  std::string rest) {
  const std::string suffix = "/cancel";
  const bool cancels =
      exchange.request().method == "POST" && rest.ends_with(suffix);
  if (cancels) rest.resize(rest.size() - suffix.size());
  proto::ResponseToken token;
  if (!open_response_id(node, rest, caller, token)) {
    co_await exchange.respond(bad_id());
    co_return;
  }
  const HttpRequest& request = exchange.request();
  if (!cancels && request.parameter("stream") == "true") {
    const std::string text = request.parameter("starting_after");
    std::int64_t after = -1;
    std::from_chars(text.data(), text.data() + text.size(), after);
    co_await resume(node, exchange, token, after);
    co_return;
  }
  co_await pass_on(node, exchange, token, rest, cancels);
}

}  // namespace peridotreach
