#include "runtime/store_client.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "runtime/base64.h"
#include "runtime/clock.h"

namespace peridotreach {
namespace {

// Time limit of a call and of each step in setting up a watch.
constexpr Millis kCallTimeout = 3 * kSecond;

constexpr unsigned kHttpOk = 200;

// Returns the exclusive end of the range of keys that start with `prefix`.
std::string prefix_end(std::string prefix) {
  prefix.back() = static_cast<char>(prefix.back() + 1);
  return prefix;
}

StoreEntry parse_entry(const json::object& object) {
  return {base64_decode(string_member(object, "key")),
          base64_decode(string_member(object, "value")),
          int_member(object, "mod_revision")};
}

json::object put_request(const StoreWrite& change) {
  json::object put;
  put["key"] = base64_encode(change.key);
  put["value"] = base64_encode(change.value);
  if (change.lease != 0) put["lease"] = std::to_string(change.lease);
  return put;
}

json::object swap_request(const StoreWrite& change) {
  json::object compare;
  compare["key"] = base64_encode(change.key);
  compare["target"] = "MOD";
  compare["result"] = "EQUAL";
  compare["mod_revision"] = std::to_string(change.expected_revision);
  json::object success;
  success["requestPut"] = put_request(change);
  json::object range;
  range["key"] = base64_encode(change.key);
  json::object failure;
  failure["requestRange"] = std::move(range);
  json::object body;
  body["compare"] = json::array{std::move(compare)};
  body["success"] = json::array{std::move(success)};
  body["failure"] = json::array{std::move(failure)};
  return body;
}

SwapOutcome parse_swap_outcome(const json::object& answer) {
  SwapOutcome outcome;
  outcome.swapped = bool_member(answer, "succeeded");
  for (const json::value& response : array_member(answer, "responses")) {
    if (!response.is_object()) continue;
    const json::object& range =
        object_member(response.as_object(), "response_range");
    for (const json::value& kv : array_member(range, "kvs")) {
      if (kv.is_object()) outcome.current_entry = parse_entry(kv.as_object());
    }
  }
  return outcome;
}

// Calls `on_change` for each event in one line of a watch response.
void deliver_events(const std::string& line,
                    const std::function<void(const StoreChange&)>& on_change) {
  const Result<json::object> parsed = parse_object(line);
  if (!ok(parsed)) return;
  const json::object& result = object_member(value(parsed), "result");
  for (const json::value& event : array_member(result, "events")) {
    if (!event.is_object()) continue;
    const json::object& object = event.as_object();
    on_change({parse_entry(object_member(object, "kv")),
               string_member(object, "type") == "DELETE"});
  }
}

}  // namespace

StoreClient::StoreClient(asio::io_context& io, HttpTarget target,
                         StoreRateLimiter rate_limiter)
    : io_(io), target_(std::move(target)), rate_limiter_(rate_limiter) {
  rate_limiter_.refilled_at = monotonic_now();
}

awaitable<void> StoreClient::wait_for_rate_limit(StorePriority priority) {
  while (!try_take_call(rate_limiter_, priority, monotonic_now())) {
    co_await sleep_for(
        delay_until_call(rate_limiter_, priority, monotonic_now()));
  }
}

awaitable<Result<json::object>> StoreClient::call(std::string path,
                                                  json::object body,
                                                  StorePriority priority) {
  co_await wait_for_rate_limit(priority);
  call_counts_[path] += 1;
  ClientRequest request;
  request.method = "POST";
  request.target = path;
  request.body = json::serialize(body);
  const ClientResponse answer =
      co_await fetch_response(io_, target_, std::move(request), kCallTimeout);
  if (!answer.request_started) {
    co_return Error{ErrorKind::kUnavailable,
                    "the key-value store cannot be reached",
                    "retry when the platform's key-value service is available"};
  }
  if (!answer.complete) {
    co_return Error{
        ErrorKind::kTimeout, "the key-value store sent no complete response",
        "read the value again before retrying: the call may have taken effect"};
  }
  if (answer.status != kHttpOk) {
    co_return Error{ErrorKind::kUnavailable,
                    "the key-value store rejected the call: " + answer.body,
                    "retry when the platform's key-value service is available"};
  }
  co_return parse_object(answer.body);
}

awaitable<Result<StoreSnapshot>> StoreClient::read_range(json::object body) {
  const Result<json::object> answer = co_await call(
      "/v3/kv/range", std::move(body), StorePriority::kConfiguration);
  if (!ok(answer)) co_return error(answer);
  StoreSnapshot snapshot;
  snapshot.revision =
      int_member(object_member(value(answer), "header"), "revision");
  for (const json::value& kv : array_member(value(answer), "kvs")) {
    if (kv.is_object()) snapshot.entries.push_back(parse_entry(kv.as_object()));
  }
  co_return snapshot;
}

awaitable<Result<StoreSnapshot>> StoreClient::read(std::string key) {
  json::object body;
  body["key"] = base64_encode(key);
  co_return co_await read_range(std::move(body));
}

awaitable<Result<StoreSnapshot>> StoreClient::read_if_changed(
    std::string key, std::int64_t revision) {
  json::object compare;
  compare["key"] = base64_encode(key);
  compare["target"] = "MOD";
  compare["result"] = "GREATER";
  compare["mod_revision"] = std::to_string(revision);
  json::object range;
  range["key"] = base64_encode(key);
  json::object success;
  success["requestRange"] = std::move(range);
  json::object body;
  body["compare"] = json::array{std::move(compare)};
  body["success"] = json::array{std::move(success)};
  const Result<json::object> answer = co_await call(
      "/v3/kv/txn", std::move(body), StorePriority::kConfiguration);
  if (!ok(answer)) co_return error(answer);
  StoreSnapshot snapshot;
  const SwapOutcome outcome = parse_swap_outcome(value(answer));
  if (outcome.current_entry) snapshot.entries.push_back(*outcome.current_entry);
  co_return snapshot;
}

awaitable<Result<StoreSnapshot>> StoreClient::read_prefix(std::string prefix) {
  json::object body;
  body["key"] = base64_encode(prefix);
  body["range_end"] = base64_encode(prefix_end(prefix));
  co_return co_await read_range(std::move(body));
}

awaitable<Result<SwapOutcome>> StoreClient::compare_and_swap(
    StoreWrite change, StorePriority priority) {
  const Result<json::object> answer =
      co_await call("/v3/kv/txn", swap_request(change), priority);
  if (!ok(answer)) co_return error(answer);
  co_return parse_swap_outcome(value(answer));
}

awaitable<Result<SwapOutcome>> StoreClient::put(StoreWrite change,
                                                StorePriority priority) {
  const Result<json::object> answer =
      co_await call("/v3/kv/put", put_request(change), priority);
  if (!ok(answer)) co_return error(answer);
  SwapOutcome outcome;
  outcome.swapped = true;
  co_return outcome;
}

awaitable<Result<std::int64_t>> StoreClient::grant_lease(std::int64_t ttl) {
  json::object body;
  body["TTL"] = std::to_string(ttl);
  const Result<json::object> answer =
      co_await call("/v3/lease/grant", std::move(body), StorePriority::kLease);
  if (!ok(answer)) co_return error(answer);
  co_return int_member(value(answer), "ID");
}

awaitable<Result<bool>> StoreClient::renew_lease(std::int64_t lease) {
  json::object body;
  body["ID"] = std::to_string(lease);
  const Result<json::object> answer = co_await call(
      "/v3/lease/keepalive", std::move(body), StorePriority::kLease);
  if (!ok(answer)) co_return error(answer);
  const json::object& result = object_member(value(answer), "result");
  co_return int_member(result, "TTL") > 0;
}

awaitable<Result<bool>> StoreClient::revoke_lease(std::int64_t lease) {
  json::object body;
  body["ID"] = std::to_string(lease);
  const Result<json::object> answer =
      co_await call("/v3/lease/revoke", std::move(body), StorePriority::kLease);
  if (!ok(answer)) co_return error(answer);
  co_return true;
}

awaitable<void> StoreClient::watch(
    std::string prefix, std::int64_t revision, Millis idle_timeout,
    std::function<void(const StoreChange&)> on_change) {
  co_await wait_for_rate_limit(StorePriority::kConfiguration);
  call_counts_["/v3/watch"] += 1;
  json::object create;
  create["key"] = base64_encode(prefix);
  create["range_end"] = base64_encode(prefix_end(prefix));
  create["start_revision"] = std::to_string(revision + 1);
  create["progress_notify"] = true;
  json::object body;
  body["create_request"] = std::move(create);
  ClientRequest request;
  request.method = "POST";
  request.target = "/v3/watch";
  request.body = json::serialize(body);
  HttpConnection connection(io_);
  if (!co_await connection.connect(target_, kCallTimeout)) co_return;
  if (!co_await connection.send(std::move(request), kCallTimeout)) co_return;
  if (co_await connection.read_head(kCallTimeout) != kHttpOk) co_return;
  std::string buffer;
  while (true) {
    const std::string chunk = co_await connection.read_some(idle_timeout);
    if (chunk.empty()) co_return;
    buffer += chunk;
    std::size_t end = 0;
    while ((end = buffer.find('\n')) != std::string::npos) {
      deliver_events(buffer.substr(0, end), on_change);
      buffer.erase(0, end + 1);
    }
  }
}

}  // namespace peridotreach
