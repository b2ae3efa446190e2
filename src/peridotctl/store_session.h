#pragma once

// Synchronous use of the store and of entry VMs by the command-line tool.

#include <functional>
#include <string>

#include "fleet.pb.h"
#include "runtime/store_client.h"

namespace peridotreach {

// Makes one change from the current configuration.
using ConfigEdit =
    std::function<Result<proto::Config>(const proto::Config& current)>;

// What became of a change.
struct ChangeResult {
  std::uint64_t revision = 0;
  bool found_earlier = false;
};

// The store as commands use it.
class StoreSession {
 public:
  StoreSession(asio::io_context& io, HttpTarget store);

  // Reads the configuration; revision 0 if there is none yet.
  Result<proto::Config> read_config();

  // Reads all keys under `prefix`.
  Result<StoreSnapshot> read_prefix(const std::string& prefix);

  // Applies `edit` to the current value by compare-and-swap. After a lost
  // answer the change with `id` is looked for first. Lost races re-apply the
  // edit to the new value, which may refuse it.
  Result<ChangeResult> change_config(const std::string& id, ConfigEdit edit);

  // Sends a request to an entry VM.
  ClientResponse ask(const HttpTarget& target, const std::string& method,
                     const std::string& path, const std::string& operator_key);

 private:
  template <class T>
  T run(awaitable<T> work);
  awaitable<Result<ChangeResult>> change(std::string id, ConfigEdit edit);

  asio::io_context& io_;
  StoreClient store_;
};

}  // namespace peridotreach
