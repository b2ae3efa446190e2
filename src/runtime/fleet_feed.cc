#include "runtime/fleet_feed.h"

#include <algorithm>
#include <set>
#include <utility>

#include "fleet.pb.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/store_keys.h"
#include "runtime/wire.h"

namespace peridotreach {
namespace {

// Time to live of a registration lease, in seconds, and the interval at which
// it is renewed.
constexpr std::int64_t kLeaseTtlSeconds = 15;
constexpr Millis kLeaseRenewalInterval = 5 * kSecond;

// Mean interval between direct reads of the configuration. They pick up changes
// that a stalled watch fails to deliver.
constexpr Millis kConfigPollInterval = 4 * kSecond;

// A watch that delivers nothing for this long is reopened.
constexpr Millis kWatchTimeout = 30 * kSecond;

// Upper bound of the random delay before a failed store call is retried.
constexpr Millis kMaxRandomRetryDelay = 2 * kSecond;

// How long a VM stays in the view after its registration expired. After an
// outage the store may have expired all registrations at once, and the VMs need
// time to register again.
constexpr Millis kExpiredRetention = 10 * kSecond;

// Time to live of a successor record, in seconds. Sessions do not live longer.
constexpr std::int64_t kSuccessorTtlSeconds = 3600;

// Returns a random duration below `limit`.
Millis random_below(Millis limit) {
  return static_cast<Millis>(random_number() %
                             static_cast<std::uint64_t>(limit));
}

bool has_prefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

FleetFeed::FleetFeed(asio::io_context& io, StoreClient& store,
                     CurrentConfig& config, HttpTarget vm_list,
                     ViewListener on_view)
    : io_(io),
      store_(store),
      config_(config),
      vm_list_(std::move(vm_list)),
      on_view_(std::move(on_view)) {}

void FleetFeed::start(const VmInfo& self, Millis vm_list_interval) {
  self_ = self;
  co_spawn(io_, follow_store(), asio::detached);
  co_spawn(io_, poll_config(), asio::detached);
  if (!self.vm.empty()) co_spawn(io_, keep_registered(), asio::detached);
  co_spawn(io_,
           poll_vm_list(
               io_, vm_list_, vm_list_interval,
               [this](const VmListing& listing) { apply_listing(listing); }),
           asio::detached);
}

awaitable<void> FleetFeed::follow_store() {
  while (true) {
    const auto snapshot = co_await store_.read_prefix(kFleetPrefix);
    store_reachable_ = ok(snapshot);
    if (!ok(snapshot)) {
      co_await sleep_for(kMaxRandomRetryDelay / 4 +
                         random_below(kMaxRandomRetryDelay));
      continue;
    }
    apply_snapshot(value(snapshot));
    co_await store_.watch(
        kFleetPrefix, value(snapshot).revision, kWatchTimeout,
        [this](const StoreChange& change) { apply_change(change); });
    co_await sleep_for(random_below(kMaxRandomRetryDelay));
  }
}

awaitable<void> FleetFeed::poll_config() {
  while (true) {
    co_await sleep_for(kConfigPollInterval / 2 +
                       random_below(kConfigPollInterval));
    drop_expired();
    const auto snapshot =
        co_await store_.read_if_changed(kConfigKey, last_config_revision_);
    store_reachable_ = ok(snapshot);
    if (!ok(snapshot)) continue;
    for (const StoreEntry& entry : value(snapshot).entries) apply_entry(entry);
  }
}

awaitable<bool> FleetFeed::write_registration() {
  if (lease_ == 0) {
    const auto lease = co_await store_.grant_lease(kLeaseTtlSeconds);
    if (!ok(lease)) co_return false;
    lease_ = value(lease);
  }
  proto::VmRecord record;
  to_wire(self_, record);
  StoreWrite change;
  change.key = kVmPrefix + self_.vm;
  change.value = record.SerializeAsString();
  change.lease = lease_;
  const auto written = co_await store_.put(change, StorePriority::kLease);
  co_return ok(written);
}

awaitable<void> FleetFeed::keep_registered() {
  bool registered = false;
  while (!deregistered_) {
    if (!registered) {
      registered = co_await write_registration();
      if (!registered) {
        lease_ = 0;
        co_await sleep_for(kMaxRandomRetryDelay / 4 +
                           random_below(kMaxRandomRetryDelay));
        continue;
      }
    }
    co_await sleep_for(kLeaseRenewalInterval + random_below(kSecond));
    if (deregistered_) co_return;
    const auto alive = co_await store_.renew_lease(lease_);
    if (ok(alive) && !value(alive)) {
      registered = false;
      lease_ = 0;
      co_await sleep_for(random_below(kMaxRandomRetryDelay));
    }
  }
}

awaitable<bool> FleetFeed::announce_leaving(std::string successor,
                                            std::vector<SessionHome> homes) {
  self_.leaving = true;
  if (!successor.empty() && !homes.empty()) {
    const auto lease = co_await store_.grant_lease(kSuccessorTtlSeconds);
    if (!ok(lease)) co_return false;
    for (const SessionHome& home : homes) {
      proto::SuccessorRecord record;
      record.set_home(home.vm);
      record.set_incarnation(home.incarnation);
      record.set_holder(successor);
      StoreWrite change;
      change.key = successor_key(home.vm, home.incarnation);
      change.value = record.SerializeAsString();
      change.lease = value(lease);
      const auto written = co_await store_.put(change, StorePriority::kClaim);
      if (!ok(written)) co_return false;
    }
  }
  const bool written = co_await write_registration();
  co_return written && !successor.empty();
}

awaitable<void> FleetFeed::deregister() {
  deregistered_ = true;
  if (lease_ != 0) co_await store_.revoke_lease(lease_);
}

void FleetFeed::apply_snapshot(const StoreSnapshot& snapshot) {
  std::set<std::string> present;
  for (const StoreEntry& entry : snapshot.entries) {
    present.insert(entry.key);
    apply_entry(entry);
  }
  for (auto& [vm, registration] : registrations_) {
    if (present.contains(kVmPrefix + vm)) continue;
    if (registration.deleted_at == 0) {
      registration.deleted_at = monotonic_now();
    }
  }
  publish();
}

void FleetFeed::apply_entry(const StoreEntry& entry) {
  if (entry.key == kConfigKey) {
    last_config_revision_ = std::max(last_config_revision_, entry.mod_revision);
    config_.update_from_bytes(entry.value);
    return;
  }
  if (has_prefix(entry.key, kVmPrefix)) {
    proto::VmRecord record;
    if (!record.ParseFromString(entry.value)) return;
    registrations_[record.vm()] = {from_wire(record), 0};
    return;
  }
  if (has_prefix(entry.key, kSuccessorPrefix)) {
    proto::SuccessorRecord record;
    if (!record.ParseFromString(entry.value)) return;
    successors_[entry.key] = {record.home(), record.incarnation(),
                              record.holder()};
  }
}

void FleetFeed::apply_change(const StoreChange& change) {
  store_reachable_ = true;
  if (!change.deleted) {
    apply_entry(change.entry);
  } else if (has_prefix(change.entry.key, kVmPrefix)) {
    const std::string vm =
        change.entry.key.substr(std::string(kVmPrefix).size());
    const auto found = registrations_.find(vm);
    if (found == registrations_.end()) return;
    if (found->second.info.leaving) {
      registrations_.erase(found);
    } else {
      found->second.deleted_at = monotonic_now();
    }
  } else {
    successors_.erase(change.entry.key);
  }
  publish();
}

void FleetFeed::drop_expired() {
  if (!store_reachable_) return;
  const Millis now = monotonic_now();
  const auto dropped = std::erase_if(registrations_, [&](const auto& entry) {
    const Millis at = entry.second.deleted_at;
    return at > 0 && now - at > kExpiredRetention;
  });
  if (dropped > 0) publish();
}

void FleetFeed::apply_listing(const VmListing& listing) {
  listing_ = listing;
  publish();
}

void FleetFeed::publish() {
  FleetView view;
  view.endpoints = listing_.endpoints;
  for (const auto& [vm, registration] : registrations_) {
    view.vms.push_back(registration.info);
  }
  // Until the store has answered for the first time, peers come from the VM
  // list.
  if (view.vms.empty()) view.vms = listing_.entry_vms;
  for (VmInfo& vm : view.vms) {
    for (const VmInfo& listed : listing_.entry_vms) {
      if (listed.vm == vm.vm && listed.leaving) vm.leaving = true;
    }
  }
  std::sort(view.vms.begin(), view.vms.end(),
            [](const auto& a, const auto& b) { return a.vm < b.vm; });
  for (const auto& [key, successor] : successors_) {
    view.successors.push_back(successor);
  }
  if (view == view_) return;
  view_ = std::move(view);
  on_view_(view_);
}

}  // namespace peridotreach
