#include "peridot-router/endpoint_attempt.h"

#include <utility>

#include "libperidotreach/routing/response_memory.h"
#include "peridot-router/endpoint_tunnel.h"
#include "peridot-router/event_framer.h"
#include "runtime/clock.h"

namespace peridotreach {
namespace {

// Time for a connection to be established. Round trips within a region take
// milliseconds, and the limit leaves time for an attempt at a second endpoint.
constexpr Millis kConnectTimeout = 400;

// Upper bound of a single read. The reducer ends attempts at the request's
// deadline; this bounds only attempts that the reducer no longer tracks.
constexpr Millis kReadTimeout = 120 * kSecond;

// Largest response body that is held for a caller. An endpoint that sends more
// counts as failing; a small VM could not hold several of them.
constexpr std::size_t kMaxBodyBytes = 8U << 20U;

// Largest event of a stream.
constexpr std::size_t kMaxEventBytes = 1U << 20U;

constexpr unsigned kMisdirectedStatus = 421;
constexpr unsigned kUnavailableStatus = 503;

bool is_success(unsigned status) { return status >= 200 && status < 300; }

// Returns whether the status is one with which HTTP ends an exchange. 0 stands
// for a response that could not be read.
bool is_final(unsigned status) { return status >= 200 && status < 600; }

AttemptEnded make_ended(const EndpointAttempt& attempt, AttemptOutcome outcome,
                        unsigned status = 0) {
  return {attempt.params.request, attempt.params.attempt, outcome, status};
}

// Returns the outcome of the attempt as far as the head of the response decides
// it; kCompleteResponse if the head is valid and the body can be read.
AttemptOutcome check_response_head(const ResponseInfo& info,
                                   const std::string& id, unsigned status) {
  // A refusal of another request does not tell whether this one ran.
  if (!info.request_id.empty() && info.request_id != id) {
    return AttemptOutcome::kBroken;
  }
  if (status == kMisdirectedStatus) return AttemptOutcome::kMisdirected;
  if (info.not_run) return AttemptOutcome::kNotRun;
  if (!info.has_stamp || info.has_content_encoding)
    return AttemptOutcome::kBroken;
  return AttemptOutcome::kCompleteResponse;
}

// Returns how the response ended as far as the connection tells.
ResponseEnd response_end(const EndpointAttempt& attempt) {
  const HttpConnection& connection = attempt.connection;
  ResponseEnd end;
  end.is_request_sent = attempt.is_request_sent;
  end.ends_with_connection = connection.response_ends_with_connection();
  end.is_framed_end = connection.response_complete();
  return end;
}

awaitable<AttemptEnded> read_body(EndpointAttempt& attempt) {
  HttpConnection& connection = attempt.connection;
  const unsigned status = attempt.response.status;
  while (true) {
    const std::string bytes = co_await connection.read_some(kReadTimeout);
    attempt.response.body += bytes;
    attempt.on_held(attempt.response.body.capacity());
    if (attempt.response.body.size() > kMaxBodyBytes)
      co_return make_ended(attempt, AttemptOutcome::kBroken, status);
    if (!bytes.empty()) continue;
    AttemptEnded ended =
        make_ended(attempt, AttemptOutcome::kCompleteResponse, status);
    ended.end = response_end(attempt);
    co_return ended;
  }
}

awaitable<AttemptEnded> relay_events(EndpointAttempt& attempt,
                                     RequestExchange& exchange,
                                     const PostRoutingEvent& post) {
  EventFramer framer;
  HttpConnection& connection = attempt.connection;
  const AttemptEnded broken =
      make_ended(attempt, AttemptOutcome::kBroken, attempt.response.status);
  bool has_event = false;
  std::int64_t last_event_id = attempt.params.source.handle.empty()
                                   ? -1
                                   : attempt.params.source.last_event_id;
  while (true) {
    const std::string bytes = co_await connection.read_some(kReadTimeout);
    if (attempt.cancelled) co_return broken;
    if (bytes.empty()) {
      AttemptEnded ended = broken;
      ended.outcome = AttemptOutcome::kStreamEnded;
      ended.end = response_end(attempt);
      ended.end.is_stream = true;
      ended.end.has_event = has_event;
      ended.end.has_partial_event = framer.has_partial_event();
      co_return ended;
    }
    for (const FramedEvent& event : framer.feed(bytes)) {
      const bool in_order =
          event.id < 0 || last_event_id < 0 || event.id == last_event_id + 1;
      if (!in_order) co_return broken;
      has_event = true;
      if (event.id >= 0) last_event_id = event.id;
      exchange.append_stream(event.bytes);
      post(StreamEventReceived{attempt.params.request, attempt.params.attempt,
                               event.id});
    }
    attempt.on_held(framer.partial_event_bytes() + exchange.buffered_bytes());
    if (framer.partial_event_bytes() > kMaxEventBytes) co_return broken;
    if (!co_await exchange.wait_for_drain(kSlowCallerPatience)) {
      attempt.on_caller_stalled();
    }
  }
}

// Connects to the endpoint, directly or through a peer. Returns whether the
// request can be sent; `ended` tells why not.
awaitable<bool> connect(EndpointAttempt& attempt, AttemptEnded& ended) {
  const StartAttempt& params = attempt.params;
  if (!params.through_peer) {
    const HttpTarget target{params.address, params.port};
    co_return co_await attempt.connection.connect(target, kConnectTimeout);
  }
  ended.connect_failure = ConnectFailure::kNoTunnel;
  if (!attempt.tunnel_peer) co_return false;
  const TunnelRequest request{params.endpoint, !params.source.handle.empty()};
  const TunnelResult result =
      co_await open_tunnel(attempt.connection, *attempt.tunnel_peer, request);
  ended.connect_failure = result.failure;
  ended.declined_for = result.declined_for;
  const bool is_refused =
      !result.is_open && result.failure == ConnectFailure::kNoTunnel;
  if (is_refused && !attempt.cancelled) attempt.on_no_tunnel();
  co_return result.is_open;
}

awaitable<AttemptEnded> run(EndpointAttempt& attempt, RequestExchange& exchange,
                            const WireFormat& format,
                            const PostRoutingEvent& post) {
  HttpConnection& connection = attempt.connection;
  const StartAttempt& params = attempt.params;
  AttemptEnded not_sent = make_ended(attempt, AttemptOutcome::kNotSent);
  if (!co_await connect(attempt, not_sent)) co_return not_sent;
  const Millis connected_at = params.through_peer ? 0 : monotonic_now();
  ClientRequest request = format.endpoint_request(exchange.request(), params);
  // An endpoint may answer, and close the connection, before it has read the
  // whole request, so the response is read even if the request was not sent.
  exchange.begin_sending();
  attempt.is_request_sent =
      co_await connection.send(std::move(request), params.time_left);
  exchange.end_sending();
  const unsigned status = co_await connection.read_head(kReadTimeout);
  if (!is_final(status))
    co_return make_ended(attempt, AttemptOutcome::kBroken, status);
  const std::vector<HttpHeader> headers = connection.headers();
  const ResponseInfo info = format.decode_response_head(headers);
  const AttemptOutcome head_outcome =
      check_response_head(info, exchange.id(), status);
  const auto notice = endpoint_notice(info, status);
  const bool is_own = head_outcome == AttemptOutcome::kCompleteResponse ||
                      head_outcome == AttemptOutcome::kNotRun;
  if (is_own && notice)
    post(EndpointAnswered{params.endpoint, *notice, connected_at});
  if (head_outcome != AttemptOutcome::kCompleteResponse)
    co_return make_ended(attempt, head_outcome, status);
  attempt.response.status = status;
  attempt.response.headers = format.forwarded_response_headers(headers);
  if (params.is_stream && is_success(status) && info.is_event_stream) {
    post(StreamOpened{params.request, params.attempt});
    co_return co_await relay_events(attempt, exchange, post);
  }
  co_return co_await read_body(attempt);
}

}  // namespace

std::optional<EndpointNotice> endpoint_notice(const ResponseInfo& info,
                                              unsigned status) {
  const bool is_own =
      info.not_run || (info.has_stamp && !info.has_content_encoding);
  if (!is_own || !is_final(status) || status == kMisdirectedStatus)
    return std::nullopt;
  EndpointNotice notice = info.notice;
  if (status != kUnavailableStatus) notice.retry_after = 0;
  return notice;
}

awaitable<void> run_attempt(std::shared_ptr<EndpointAttempt> attempt,
                            std::shared_ptr<RequestExchange> exchange,
                            const WireFormat& format, PostRoutingEvent post) {
  AttemptEnded result = co_await run(*attempt, *exchange, format, post);
  if (!attempt->cancelled) post(result);
  attempt->connection.close();
}

}  // namespace peridotreach
