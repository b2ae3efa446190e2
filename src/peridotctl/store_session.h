#pragma once

// Blocking access to the store and to entry VMs for the command-line tool.

#include <functional>
#include <string>

#include "fleet.pb.h"
#include "runtime/store_client.h"

namespace peridotreach {

// Returns the configuration that follows `current`, or the error that rejects
// the change.
using ConfigEdit =
    std::function<Result<proto::Config>(const proto::Config& current)>;

// The result of an accepted change.
struct ChangeResult {
  std::uint64_t revision = 0;

  // Whether an earlier attempt of the same command had already applied the
  // change and its response was lost.
  bool already_applied = false;
};

// Runs each operation to its end on the given event loop.
class StoreSession {
 public:
  StoreSession(asio::io_context& io, HttpTarget store);

  // Reads the configuration. It has revision 0 if none is stored yet.
  Result<proto::Config> read_config();

  // Reads all keys under `prefix`.
  Result<StoreSnapshot> read_prefix(const std::string& prefix);

  // Applies `edit` to the current configuration by compare-and-swap. Each
  // attempt first looks for a change with `id`, because an earlier attempt
  // whose response was lost may have been applied. After losing a race, `edit`
  // is applied to the new value and may reject it.
  Result<ChangeResult> change_config(const std::string& id, ConfigEdit edit);

  // Sends an HTTP request to an entry VM. Sends no authorization header if
  // `operator_key` is empty.
  ClientResponse send_request(const HttpTarget& target,
                              const std::string& method,
                              const std::string& path,
                              const std::string& operator_key);

 private:
  template <class T>
  T run_to_completion(awaitable<T> operation);
  awaitable<Result<ChangeResult>> change_with_retries(std::string id,
                                                      ConfigEdit edit);

  asio::io_context& io_;
  StoreClient store_;
};

}  // namespace peridotreach
