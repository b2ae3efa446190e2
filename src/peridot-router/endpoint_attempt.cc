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

AttemptEnded ended(const EndpointAttempt& attempt, AttemptEnd end,
                   unsigned status = 0) {
  return {attempt.order.request, attempt.order.attempt, end, status};
}

// Returns how an answer ends the attempt before its body is read, kWhole if it
// is in order so far.
AttemptEnd judge_head(const AnswerFacts& facts, const std::string& id,
                      unsigned status) {
  if (status == kMisdirectedStatus) return AttemptEnd::kMisdirected;
  if (facts.not_run) return AttemptEnd::kNotRun;
  if (!facts.request_id.empty() && facts.request_id != id) {
    return AttemptEnd::kBroken;
  }
  if (!facts.stamped || facts.encoded) return AttemptEnd::kBroken;
  return AttemptEnd::kWhole;
}

awaitable<AttemptEnd> read_whole_body(EndpointAttempt& attempt) {
  HttpConnection& connection = attempt.connection;
  while (true) {
    const std::string part = co_await connection.read_some(kReadBound);
    attempt.answer.body += part;
    if (!part.empty()) continue;
    co_return connection.ended() ? AttemptEnd::kWhole : AttemptEnd::kBroken;
  }
}

awaitable<AttemptEnd> relay_events(EndpointAttempt& attempt, Exchange& exchange,
                                   const PostRoutingEvent& post) {
  EventFramer framer;
  HttpConnection& connection = attempt.connection;
  std::int64_t last = attempt.order.source.handle.empty()
                          ? -1
                          : attempt.order.source.last_event;
  while (true) {
    const std::string part = co_await connection.read_some(kReadBound);
    if (attempt.dropped) co_return AttemptEnd::kBroken;
    if (part.empty()) {
      const bool whole = connection.ended() && !framer.has_rest();
      co_return whole ? AttemptEnd::kStreamEnded : AttemptEnd::kBroken;
    }
    for (const FramedEvent& event : framer.feed(part)) {
      const bool in_order = event.id < 0 || last < 0 || event.id == last + 1;
      if (!in_order) co_return AttemptEnd::kBroken;
      if (event.id >= 0) last = event.id;
      exchange.relay(event.bytes);
      post(StreamEventArrived{attempt.order.request, attempt.order.attempt,
                              event.id});
    }
    co_await exchange.wait_drained();
  }
}

awaitable<AttemptEnded> run(EndpointAttempt& attempt, Exchange& exchange,
                            const WireFormat& format,
                            const PostRoutingEvent& post) {
  HttpConnection& connection = attempt.connection;
  const StartAttempt& order = attempt.order;
  const HttpTarget target{order.address, order.port};
  if (!co_await connection.connect(target, kConnectTimeout)) {
    co_return ended(attempt, AttemptEnd::kNotSent);
  }
  ClientRequest request = format.endpoint_request(exchange.request(), order);
  co_await connection.send(std::move(request), order.time_left);
  const unsigned status = co_await connection.read_head(kReadBound);
  if (status == 0) co_return ended(attempt, AttemptEnd::kBroken);
  const std::vector<HttpHeader> headers = connection.headers();
  const AnswerFacts facts = format.decode_answer(headers);
  const AttemptEnd judged = judge_head(facts, exchange.id(), status);
  if (judged != AttemptEnd::kWhole) co_return ended(attempt, judged, status);
  attempt.answer.status = status;
  attempt.answer.headers = format.caller_headers(headers);
  if (order.is_stream && is_success(status) && facts.is_event_stream) {
    post(StreamOpened{order.request, order.attempt});
    const AttemptEnd end = co_await relay_events(attempt, exchange, post);
    co_return ended(attempt, end, status);
  }
  const AttemptEnd end = co_await read_whole_body(attempt);
  co_return ended(attempt, end, status);
}

}  // namespace

awaitable<void> run_attempt(std::shared_ptr<EndpointAttempt> attempt,
                            std::shared_ptr<Exchange> exchange,
                            const WireFormat& format, PostRoutingEvent post) {
  AttemptEnded result = co_await run(*attempt, *exchange, format, post);
  if (!attempt->dropped) post(result);
  attempt->connection.close();
}

}  // namespace peridotreach
