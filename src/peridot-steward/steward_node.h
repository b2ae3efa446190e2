#pragma once

// The steward process: runs the steward reducer and performs its effects.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/steward_reducer.h"
#include "runtime/control_link.h"
#include "runtime/current_config.h"
#include "runtime/metrics.h"
#include "runtime/settings.h"
#include "runtime/store_client.h"
#include "runtime/vm_list.h"

namespace peridotreach {

// Connects the steward reducer to the store, the control link, the VM list and
// the endpoints. The reducer runs on the I/O thread because it handles only a
// few events per second.
class StewardNode {
 public:
  StewardNode(asio::io_context& io, const Settings& settings, HttpTarget store,
              HttpTarget vm_list);

  // Binds the control port and starts the background loops. Returns the port
  // that was bound.
  Result<std::uint16_t> start();

  Metrics& metrics() { return metrics_; }

 private:
  template <class Body>
  void post(Body body);

  void perform(const AcquireLease& effect);
  void perform(const ReadEndpointModels& effect);
  void perform(const SendOrder& effect);
  awaitable<void> renew_or_acquire_lease(std::string scope);
  // Returns whether the scope needs no new lease: true if the lease was renewed
  // or the store did not answer, false if no lease is held or it has expired.
  awaitable<bool> renew_lease(std::string scope);
  // Acquires the lease of `scope` unless another steward holds it.
  awaitable<void> acquire_lease(std::string scope);
  awaitable<void> read_endpoint_models(std::string endpoint);
  awaitable<void> send_order(SendOrder order);
  awaitable<void> run_timer();
  awaitable<void> poll_config();
  proto::Envelope make_envelope() const;
  HttpTarget endpoint_target(const std::string& endpoint) const;

  // A lease that this process holds in the store.
  struct HeldLease {
    std::int64_t lease_id = 0;
    std::int64_t fencing_token = 0;
  };

  asio::io_context& io_;
  const Settings& settings_;
  ControlLink link_;
  StoreClient store_;
  CurrentConfig config_;
  HttpTarget vm_list_;
  Metrics metrics_;
  StewardState state_;
  std::map<std::string, HeldLease> held_leases_;
};

}  // namespace peridotreach
