#include "peridotctl/store_session.h"

#include <optional>
#include <utility>

#include "libperidotreach/config_change.h"
#include "runtime/clock.h"
#include "runtime/store_keys.h"

namespace peridotreach {
namespace {

// Attempts at one change, and the delay after a failed store call. Lost races
// are retried without delay.
constexpr int kMaxAttempts = 12;
constexpr Millis kRetryDelay = 300;

constexpr Millis kRequestTimeout = 3 * kSecond;

StoreRateLimiter tool_rate_limiter() {
  StoreRateLimiter rate_limiter;
  rate_limiter.calls_per_second = 20;
  return rate_limiter;
}

// A configuration with the store revision of its last modification, which the
// compare-and-swap expects.
struct VersionedConfig {
  proto::Config config;
  std::int64_t mod_revision = 0;
};

Result<VersionedConfig> parse_config(const Result<StoreSnapshot>& snapshot) {
  if (!ok(snapshot)) return error(snapshot);
  VersionedConfig stored;
  for (const StoreEntry& entry : value(snapshot).entries) {
    if (!stored.config.ParseFromString(entry.value)) {
      return Error{
          ErrorKind::kInvalidInput, "the stored configuration cannot be parsed",
          "restore the value of the store key " + std::string(kConfigKey)};
    }
    stored.mod_revision = entry.mod_revision;
  }
  return stored;
}

}  // namespace

StoreSession::StoreSession(asio::io_context& io, HttpTarget store)
    : io_(io), store_(io, std::move(store), tool_rate_limiter()) {}

template <class T>
T StoreSession::run_to_completion(awaitable<T> operation) {
  std::optional<T> result;
  const auto on_complete = [&result](const std::exception_ptr& exception,
                                     T outcome) {
    if (exception) std::rethrow_exception(exception);
    result = std::move(outcome);
  };
  co_spawn(io_, std::move(operation), on_complete);
  io_.restart();
  io_.run();
  return std::move(*result);
}

Result<proto::Config> StoreSession::read_config() {
  const auto stored = parse_config(run_to_completion(store_.read(kConfigKey)));
  if (!ok(stored)) return error(stored);
  return value(stored).config;
}

Result<StoreSnapshot> StoreSession::read_prefix(const std::string& prefix) {
  return run_to_completion(store_.read_prefix(prefix));
}

awaitable<Result<ChangeResult>> StoreSession::change_with_retries(
    std::string id, ConfigEdit edit) {
  Error last_error{
      ErrorKind::kConflict,
      "every attempt lost a race against another change of the configuration",
      "run the command again"};
  bool may_be_applied = false;
  for (int i = 0; i < kMaxAttempts; ++i) {
    const auto snapshot = co_await store_.read(kConfigKey);
    const auto stored = parse_config(snapshot);
    if (!ok(stored)) {
      last_error = error(stored);
      co_await sleep_for(kRetryDelay);
      continue;
    }
    const proto::Config& current = value(stored).config;
    if (contains_change(current, id)) {
      co_return ChangeResult{current.revision(), may_be_applied};
    }
    const Result<proto::Config> next = edit(current);
    if (!ok(next)) co_return error(next);
    StoreWrite swap;
    swap.key = kConfigKey;
    swap.value = value(next).SerializeAsString();
    swap.expected_revision = value(stored).mod_revision;
    const auto outcome =
        co_await store_.compare_and_swap(swap, StorePriority::kConfiguration);
    if (!ok(outcome)) {
      last_error = error(outcome);
      may_be_applied = may_be_applied || last_error.kind == ErrorKind::kTimeout;
      co_await sleep_for(kRetryDelay);
      continue;
    }
    if (value(outcome).swapped) {
      co_return ChangeResult{value(next).revision(), false};
    }
  }
  if (may_be_applied) {
    last_error.message += "; the change may have been accepted";
    last_error.remedy =
        "run the same command again, for correct and drain with "
        "--change-id=ID, so that the change is found instead of "
        "applied twice; its id is " +
        id;
  }
  co_return last_error;
}

Result<ChangeResult> StoreSession::change_config(const std::string& id,
                                                 ConfigEdit edit) {
  return run_to_completion(change_with_retries(id, std::move(edit)));
}

ClientResponse StoreSession::send_request(const HttpTarget& target,
                                          const std::string& method,
                                          const std::string& path,
                                          const std::string& operator_key) {
  ClientRequest request;
  request.method = method;
  request.target = path;
  if (!operator_key.empty()) {
    request.headers.push_back({"authorization", "Bearer " + operator_key});
  }
  return run_to_completion(
      fetch_response(io_, target, std::move(request), kRequestTimeout));
}

}  // namespace peridotreach
