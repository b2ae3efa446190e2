#pragma once

// Client of the platform's key-value service through its published etcd v3 JSON
// interface. Every call passes a rate limiter with priorities and is counted.

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

// A key with its value and the revision of its last modification.
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

// A write. A conditional one is applied only if the key was last modified at
// `expected_revision` (0: if the key is absent); an unconditional one ignores
// that revision. A `lease` of 0 attaches no lease.
struct StoreWrite {
  std::string key;
  std::string value;
  std::int64_t expected_revision = 0;
  std::int64_t lease = 0;
};

// Result of a conditional write: whether it took place and, if not, the current
// entry (none if the key is absent).
struct SwapOutcome {
  bool swapped = false;
  std::optional<StoreEntry> current_entry;
};

// A change reported by a watch.
struct StoreChange {
  StoreEntry entry;
  bool deleted = false;
};

// The store client of a process. Calls fail with kUnavailable if they had no
// effect for certain, and with kTimeout if they may have had one.
class StoreClient {
 public:
  StoreClient(asio::io_context& io, HttpTarget target,
              StoreRateLimiter rate_limiter);

  // Reads `key`; the snapshot is empty if the key is absent.
  awaitable<Result<StoreSnapshot>> read(std::string key);

  // Reads all keys that start with `prefix`, which must not be empty.
  awaitable<Result<StoreSnapshot>> read_prefix(std::string prefix);

  // Reads `key` only if it changed after `revision`. For an unchanged key the
  // response is small and the snapshot is empty. Sets no snapshot revision.
  awaitable<Result<StoreSnapshot>> read_if_changed(std::string key,
                                                   std::int64_t revision);

  // Writes if the key was last modified at the expected revision.
  awaitable<Result<SwapOutcome>> compare_and_swap(StoreWrite change,
                                                  StorePriority priority);

  // Writes unconditionally.
  awaitable<Result<SwapOutcome>> put(StoreWrite change, StorePriority priority);

  // Creates a lease of `ttl` seconds. Returns its id.
  awaitable<Result<std::int64_t>> grant_lease(std::int64_t ttl);

  // Renews a lease for its full duration. Returns false if it has expired.
  awaitable<Result<bool>> renew_lease(std::int64_t lease);

  // Revokes a lease; the store deletes the keys attached to it.
  awaitable<Result<bool>> revoke_lease(std::int64_t lease);

  // Calls `on_change` for each change under `prefix` after `revision`. Returns
  // when the watch ends or receives nothing for `idle_timeout`.
  awaitable<void> watch(std::string prefix, std::int64_t revision,
                        Millis idle_timeout,
                        std::function<void(const StoreChange&)> on_change);

  // Returns the number of calls made so far, by request path.
  const std::map<std::string, std::uint64_t>& call_counts() const {
    return call_counts_;
  }

 private:
  awaitable<Result<json::object>> call(std::string path, json::object body,
                                       StorePriority priority);
  awaitable<Result<StoreSnapshot>> read_range(json::object body);
  awaitable<void> wait_for_rate_limit(StorePriority priority);

  asio::io_context& io_;
  HttpTarget target_;
  StoreRateLimiter rate_limiter_;
  std::map<std::string, std::uint64_t> call_counts_;
};

}  // namespace peridotreach
