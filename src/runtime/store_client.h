#pragma once

// Client of the platform's key-value service through its published etcd v3
// JSON interface. Every call passes a limiter with priorities and is counted.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libperidotreach/error.h"
#include "libperidotreach/store_rate_limiter.h"
#include "runtime/http_client.h"
#include "runtime/json.h"

namespace peridotreach {

// A key with its value and the revision that last changed it.
struct StoreEntry {
  std::string key;
  std::string value;
  std::int64_t mod_revision = 0;
};

// Entries read at one revision of the store.
struct StoreSnapshot {
  std::vector<StoreEntry> entries;
  std::int64_t revision = 0;
};

// A write under a condition: the key must be as it was at `expected_revision`
// (0: absent). `lease` 0 means none.
struct StoreSwap {
  std::string key;
  std::string value;
  std::int64_t expected_revision = 0;
  std::int64_t lease = 0;
};

// Result of a swap: whether it took place, else the present entry.
struct SwapOutcome {
  bool swapped = false;
  std::optional<StoreEntry> present;
};

// A change seen by a watch.
struct StoreChange {
  StoreEntry entry;
  bool deleted = false;
};

// The client of one process. Errors: kUnavailable if the call certainly had
// no effect, kTimeout if it may have had one.
class StoreClient {
 public:
  StoreClient(asio::io_context& io, HttpTarget target, StoreRateLimiter budget);

  awaitable<Result<StoreSnapshot>> read(std::string key);
  awaitable<Result<StoreSnapshot>> read_prefix(std::string prefix);

  // Reads `key` only if it changed after `revision`; an unchanged key costs
  // few bytes and gives no entry.
  awaitable<Result<StoreSnapshot>> read_newer(std::string key,
                                              std::int64_t revision);
  awaitable<Result<SwapOutcome>> swap(StoreSwap change, StorePriority priority);

  // Writes without a condition.
  awaitable<Result<SwapOutcome>> put(StoreSwap change, StorePriority priority);

  // Returns the id of a new lease of `ttl` seconds.
  awaitable<Result<std::int64_t>> grant_lease(std::int64_t ttl);

  // Returns whether the lease is still alive, now for its whole time.
  awaitable<Result<bool>> keep_alive(std::int64_t lease);
  awaitable<Result<bool>> revoke(std::int64_t lease);

  // Calls `on_table_change` for each change under `prefix` after `revision`,
  // and returns when the watch ends or is silent for `silence`.
  awaitable<void> watch(std::string prefix, std::int64_t revision,
                        Millis silence,
                        std::function<void(const StoreChange&)> on_change);

  // Calls made so far, by function.
  const std::map<std::string, std::uint64_t>& calls() const { return calls_; }

 private:
  awaitable<Result<json::object>> call(std::string path, json::object body,
                                       StorePriority priority);
  awaitable<Result<StoreSnapshot>> read_range(json::object body);
  awaitable<void> wait_turn(StorePriority priority);

  asio::io_context& io_;
  HttpTarget target_;
  StoreRateLimiter budget_;
  std::map<std::string, std::uint64_t> calls_;
};

}  // namespace peridotreach
