#pragma once

// Keeps a process's view of the fleet up to date. Registrations come from the
// store, endpoints from the VM list, and the configuration from the store or
// from peers. While the store is unreachable, the last view stays in use.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libperidotreach/entry_effect.h"
#include "libperidotreach/fleet_view.h"
#include "runtime/current_config.h"
#include "runtime/store_client.h"
#include "runtime/vm_list.h"

namespace peridotreach {

// Follows the store and the VM list and reports each changed view.
class FleetFeed {
 public:
  using ViewListener = std::function<void(const FleetView&)>;

  FleetFeed(asio::io_context& io, StoreClient& store, CurrentConfig& config,
            HttpTarget vm_list, ViewListener on_view);

  // Starts the background loops. Registers `self` under a lease unless its VM
  // id is empty.
  void start(const VmInfo& self, Millis vm_list_interval);

  // Marks this VM as leaving and records `successor` as the new holder of the
  // sessions of `homes`. Returns true if there is a successor and the store
  // accepted every write.
  awaitable<bool> announce_leaving(std::string successor,
                                   std::vector<SessionHome> homes);

  // Revokes the registration lease at the end of a planned shutdown.
  awaitable<void> deregister();

  const FleetView& view() const { return view_; }

  // Returns whether the last call to the store succeeded.
  bool is_store_reachable() const { return store_reachable_; }

 private:
  // A VM's registration. `deleted_at` is 0 while its key exists; after the key
  // is deleted, the registration is kept for kExpiredRetention.
  struct Registration {
    VmInfo info;
    Millis deleted_at = 0;
  };

  awaitable<void> follow_store();
  awaitable<void> poll_config();
  awaitable<void> keep_registered();
  awaitable<bool> write_registration();
  void apply_snapshot(const StoreSnapshot& snapshot);
  void apply_entry(const StoreEntry& entry);
  void apply_change(const StoreChange& change);
  void apply_listing(const VmListing& listing);
  void drop_expired();
  void publish();

  asio::io_context& io_;
  StoreClient& store_;
  CurrentConfig& config_;
  HttpTarget vm_list_;
  ViewListener on_view_;
  VmInfo self_;
  std::int64_t lease_ = 0;
  // Highest store revision at which the configuration was read.
  std::int64_t last_config_revision_ = 0;
  bool store_reachable_ = false;
  bool deregistered_ = false;
  std::map<std::string, Registration> registrations_;
  std::map<std::string, SuccessorInfo> successors_;
  VmListing listing_;
  FleetView view_;
};

}  // namespace peridotreach
