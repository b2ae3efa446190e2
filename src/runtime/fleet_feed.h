#pragma once

// What a process learns of the fleet: registrations and the configuration
// from the store, endpoints from the VM list, the configuration also from
// peers. With the store down the last view stays in force.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libperidotreach/entry_effect.h"
#include "libperidotreach/fleet_view.h"
#include "runtime/held_config.h"
#include "runtime/store_client.h"
#include "runtime/vm_list.h"

namespace peridotreach {

// Feed of one process.
class FleetFeed {
 public:
  using ViewListener = std::function<void(const FleetView&)>;

  FleetFeed(asio::io_context& io, StoreClient& store, HeldConfig& config,
            HttpTarget vm_list, ViewListener on_view);

  // Starts the loops. `self` is registered under a lease if its VM is named.
  void start(const VmInfo& self, Millis vm_list_interval);

  // Marks this VM as leaving and records who takes its sessions. Returns
  // whether all of it is recorded.
  awaitable<bool> announce_leaving(std::string successor,
                                   std::vector<SessionHome> origins);

  // Removes the registration at the end of a planned stop.
  awaitable<void> deregister();

  const FleetView& view() const { return view_; }

  // Whether the last call to the store succeeded.
  bool store_answers() const { return store_answers_; }

 private:
  // A registration whose key was deleted, kept for a while.
  struct Registration {
    VmInfo info;
    Millis deleted_at = 0;
  };

  awaitable<void> follow_store();
  awaitable<void> poll_config();
  awaitable<void> keep_registered();
  awaitable<bool> write_registration();
  void take_snapshot(const StoreSnapshot& snapshot);
  void take_entry(const StoreEntry& entry);
  void take_change(const StoreChange& change);
  void take_listing(const VmListing& listing);
  void drop_lapsed();
  void publish();

  asio::io_context& io_;
  StoreClient& store_;
  HeldConfig& config_;
  HttpTarget vm_list_;
  ViewListener on_view_;
  VmInfo self_;
  std::int64_t lease_ = 0;
  // The store's revision of the configuration seen last.
  std::int64_t config_seen_ = 0;
  bool store_answers_ = false;
  bool deregistered_ = false;
  std::map<std::string, Registration> registrations_;
  std::map<std::string, SuccessorInfo> successors_;
  VmListing listing_;
  FleetView view_;
};

}  // namespace peridotreach
