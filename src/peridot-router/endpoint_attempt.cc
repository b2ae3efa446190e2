#include "peridot-router/endpoint_attempt.h"

#include <utility>

#include "peridot-router/event_framer.h"
#include "runtime/clock.h"

namespace peridotreach {
namespace {

// Time for a connection to be established: round trips within a region take
// milliseconds, and a second endpoint can still answer in time.
constexpr Millis kConnectTimeout = 400;

// Upper bound of a single read. The reducer ends attempts at the request's
// deadline; this only bounds what it no longer knows.
constexpr Millis kReadBound = 120 * kSecond;

constexpr unsigned kMisdirectedStatus = 421;

bool is_success(unsigned status) { return status >= 200 && status < 300; }

AttemptEnded ended(const EndpointAttempt& attempt, AttemptOutcome end,
                   unsigned status = 0) {
  return {attempt.params.request, attempt.params.attempt, end, status};
}

// Returns how an answer ends the attempt before its body is read, kWhole if it
// is in order so far.
AttemptOutcome judge_head(const ResponseInfo& facts, const std::string& id,
                          unsigned status) {
  if (status == kMisdirectedStatus) return AttemptOutcome::kMisdirected;
  if (facts.not_run) return AttemptOutcome::kNotRun;
  if (!facts.request_id.empty() && facts.request_id != id) {
    return AttemptOutcome::kBroken;
  }
  if (!facts.has_stamp || facts.has_content_encoding)
    return AttemptOutcome::kBroken;
  return AttemptOutcome::kCompleteResponse;
}

awaitable<AttemptOutcome> read_whole_body(EndpointAttempt& attempt) {
  HttpConnection& connection = attempt.connection;
  while (true) {
    const std::string part = co_await connection.read_some(kReadBound);
    attempt.response.body += part;
    if (!part.empty()) continue;
    co_return connection.ended() ? AttemptOutcome::kCompleteResponse
                                 : AttemptOutcome::kBroken;
  }
}

awaitable<AttemptOutcome> relay_events(EndpointAttempt& attempt,
                                       RequestExchange& exchange,
                                       const PostRoutingEvent& post) {
  EventFramer framer;
  HttpConnection& connection = attempt.connection;
  std::int64_t last = attempt.params.source.handle.empty()
                          ? -1
                          : attempt.params.source.last_event_id;
  while (true) {
    const std::string part = co_await connection.read_some(kReadBound);
    if (attempt.cancelled) co_return AttemptOutcome::kBroken;
    if (part.empty()) {
      const bool whole = connection.ended() && !framer.has_partial_event();
      co_return whole ? AttemptOutcome::kStreamEnded : AttemptOutcome::kBroken;
    }
    for (const FramedEvent& event : framer.feed(part)) {
      const bool in_order = event.id < 0 || last < 0 || event.id == last + 1;
      if (!in_order) co_return AttemptOutcome::kBroken;
      if (event.id >= 0) last = event.id;
      exchange.append_stream(event.bytes);
      post(StreamEventReceived{attempt.params.request, attempt.params.attempt,
                               event.id});
    }
    co_await exchange.wait_for_drain();
  }
}

awaitable<AttemptEnded> run(EndpointAttempt& attempt, RequestExchange& exchange,
                            const WireFormat& format,
                            const PostRoutingEvent& post) {
  HttpConnection& connection = attempt.connection;
  const StartAttempt& order = attempt.params;
  const HttpTarget target{order.address, order.port};
  if (!co_await connection.connect(target, kConnectTimeout)) {
    co_return ended(attempt, AttemptOutcome::kNotSent);
  }
  ClientRequest request = format.endpoint_request(exchange.request(), order);
  co_await connection.send(std::move(request), order.time_left);
  const unsigned status = co_await connection.read_head(kReadBound);
  if (status == 0) co_return ended(attempt, AttemptOutcome::kBroken);
  const std::vector<HttpHeader> headers = connection.headers();
  const ResponseInfo facts = format.decode_response_head(headers);
  const AttemptOutcome judged = judge_head(facts, exchange.id(), status);
  if (judged != AttemptOutcome::kCompleteResponse)
    co_return ended(attempt, judged, status);
  attempt.response.status = status;
  attempt.response.headers = format.forwarded_response_headers(headers);
  if (order.is_stream && is_success(status) && facts.is_event_stream) {
    post(StreamOpened{order.request, order.attempt});
    const AttemptOutcome end = co_await relay_events(attempt, exchange, post);
    co_return ended(attempt, end, status);
  }
  const AttemptOutcome end = co_await read_whole_body(attempt);
  co_return ended(attempt, end, status);
}

}  // namespace

awaitable<void> run_attempt(std::shared_ptr<EndpointAttempt> attempt,
                            std::shared_ptr<RequestExchange> exchange,
                            const WireFormat& format, PostRoutingEvent post) {
  AttemptEnded result = co_await run(*attempt, *exchange, format, post);
  if (!attempt->cancelled) post(result);
  attempt->connection.close();
}

}  // namespace peridotreach
