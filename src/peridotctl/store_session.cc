#include "peridotctl/store_session.h"

#include <optional>
#include <utility>

#include "libperidotreach/config_change.h"
#include "runtime/clock.h"
#include "runtime/store_keys.h"

namespace peridotreach {
namespace {

// Attempts at one change, and the time between those after lost answers.
constexpr int kMostAttempts = 12;
constexpr Millis kRetryDelay = 300;

constexpr Millis kAskTimeout = 3 * kSecond;

StoreRateLimiter tool_budget() {
  StoreRateLimiter budget;
  budget.calls_per_second = 20;
  return budget;
}

// A configuration with the store revision that it was read at.
struct ReadConfig {
  proto::Config config;
  std::int64_t mod_revision = 0;
};

Result<ReadConfig> config_in(const Result<StoreSnapshot>& snapshot) {
  if (!ok(snapshot)) return error(snapshot);
  ReadConfig read;
  for (const StoreEntry& entry : value(snapshot).entries) {
    if (!read.config.ParseFromString(entry.value)) {
      return Error{ErrorKind::kInvalidInput,
                   "the stored configuration is damaged",
                   "restore the key " + std::string(kConfigKey)};
    }
    read.mod_revision = entry.mod_revision;
  }
  return read;
}

}  // namespace

StoreSession::StoreSession(asio::io_context& io, HttpTarget store)
    : io_(io), store_(io, std::move(store), tool_budget()) {}

template <class T>
T StoreSession::run(awaitable<T> work) {
  std::optional<T> result;
  const auto take = [&result](const std::exception_ptr& problem, T outcome) {
    if (problem) std::rethrow_exception(problem);
    result = std::move(outcome);
  };
  co_spawn(io_, std::move(work), take);
  io_.restart();
  io_.run();
  return std::move(*result);
}

Result<proto::Config> StoreSession::read_config() {
  const auto read = config_in(run(store_.read(kConfigKey)));
  if (!ok(read)) return error(read);
  return value(read).config;
}

Result<StoreSnapshot> StoreSession::read_prefix(const std::string& prefix) {
  return run(store_.read_prefix(prefix));
}

awaitable<Result<ChangeResult>> StoreSession::change(std::string id,
                                                     ConfigEdit edit) {
  Error last{ErrorKind::kConflict, "other changes kept coming between",
             "try again"};
  bool uncertain = false;
  for (int i = 0; i < kMostAttempts; ++i) {
    const auto snapshot = co_await store_.read(kConfigKey);
    const auto read = config_in(snapshot);
    if (!ok(read)) {
      last = error(read);
      co_await sleep_for(kRetryDelay);
      continue;
    }
    const proto::Config& current = value(read).config;
    if (contains_change(current, id)) {
      co_return ChangeResult{current.revision(), uncertain};
    }
    const Result<proto::Config> next = edit(current);
    if (!ok(next)) co_return error(next);
    StoreWrite swap;
    swap.key = kConfigKey;
    swap.value = value(next).SerializeAsString();
    swap.expected_revision = value(read).mod_revision;
    const auto outcome =
        co_await store_.compare_and_swap(swap, StorePriority::kConfiguration);
    if (!ok(outcome)) {
      last = error(outcome);
      uncertain = uncertain || last.kind == ErrorKind::kTimeout;
      co_await sleep_for(kRetryDelay);
      continue;
    }
    if (value(outcome).swapped) {
      co_return ChangeResult{value(next).revision(), false};
    }
  }
  if (uncertain) {
    last.message += "; the change may have been accepted";
    last.remedy = "run the same command again: it finds its change by id " + id;
  }
  co_return last;
}

Result<ChangeResult> StoreSession::change_config(const std::string& id,
                                                 ConfigEdit edit) {
  return run(change(id, std::move(edit)));
}

ClientResponse StoreSession::ask(const HttpTarget& target,
                                 const std::string& method,
                                 const std::string& path,
                                 const std::string& operator_key) {
  ClientRequest request;
  request.method = method;
  request.target = path;
  if (!operator_key.empty()) {
    request.headers.push_back({"authorization", "Bearer " + operator_key});
  }
  return run(fetch_response(io_, target, std::move(request), kAskTimeout));
}

}  // namespace peridotreach
