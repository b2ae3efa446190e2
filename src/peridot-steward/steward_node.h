#pragma once

// One steward process: runs the steward reducer and performs its effects.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/steward_reducer.h"
#include "runtime/control_link.h"
#include "runtime/held_config.h"
#include "runtime/metrics.h"
#include "runtime/settings.h"
#include "runtime/store_client.h"
#include "runtime/vm_list.h"

namespace peridotreach {

// The node. Its reducer runs on the I/O thread: it has few events a second.
class StewardNode {
 public:
  StewardNode(asio::io_context& io, const Settings& settings, HttpTarget store,
              HttpTarget vm_list);

  // Starts all loops.
  Result<std::uint16_t> start();

  Metrics& metrics() { return metrics_; }

 private:
  template <class Body>
  void post(Body body);

  void perform(const AcquireLease& effect);
  void perform(const ReadEndpointModels& effect);
  void perform(const SendOrder& effect);
  awaitable<void> seek_lease(std::string scope);
  awaitable<bool> renew(std::string scope);
  awaitable<void> win(std::string scope);
  awaitable<void> read_endpoint(std::string endpoint);
  awaitable<void> send_order(SendOrder order);
  awaitable<void> tick();
  awaitable<void> seek_config();
  proto::Envelope envelope() const;
  HttpTarget target_of(const std::string& endpoint) const;

  // A lease held in the store.
  struct Held {
    std::int64_t lease = 0;
    std::int64_t fencing = 0;
  };

  asio::io_context& io_;
  const Settings& settings_;
  ControlLink link_;
  StoreClient store_;
  HeldConfig config_;
  HttpTarget vm_list_;
  Metrics metrics_;
  StewardState state_;
  std::map<std::string, Held> held_;
};

}  // namespace peridotreach
