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

// Life of a registration without renewal, in seconds, and the time between
// renewals.
constexpr std::int64_t kLeaseSeconds = 15;
constexpr Millis kRenewal = 5 * kSecond;

// Time between reads of the configuration that catch a silent watch.
constexpr Millis kConfigPoll = 4 * kSecond;

// Silence after which a watch is opened anew.
constexpr Millis kWatchSilence = 30 * kSecond;

// Longest random delay before a failed call to the store is repeated.
constexpr Millis kRetrySpread = 2 * kSecond;

// How long a VM stays in the view after its registration lapsed. A store
// that comes back after an outage may have lapsed all of them at once.
constexpr Millis kLapsedLife = 10 * kSecond;

// Life of a successor record, in seconds; sessions do not live longer.
constexpr std::int64_t kSuccessorSeconds = 3600;

Millis spread(Millis most) {
  return static_cast<Millis>(random_number() %
                             static_cast<std::uint64_t>(most));
}

bool has_prefix(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

FleetFeed::FleetFeed(asio::io_context& io, StoreClient& store,
                     HeldConfig& config, HttpTarget vm_list,
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
  co_spawn(
      io_,
      poll_vm_list(io_, vm_list_, vm_list_interval,
                   [this](const VmListing& listing) { take_listing(listing); }),
      asio::detached);
}

awaitable<void> FleetFeed::follow_store() {
  while (true) {
    const auto snapshot = co_await store_.read_prefix(kFleetPrefix);
    store_answers_ = ok(snapshot);
    if (!ok(snapshot)) {
      co_await sleep_for(kRetrySpread / 4 + spread(kRetrySpread));
      continue;
    }
    take_snapshot(value(snapshot));
    co_await store_.watch(
        kFleetPrefix, value(snapshot).revision, kWatchSilence,
        [this](const StoreChange& change) { take_change(change); });
    co_await sleep_for(spread(kRetrySpread));
  }
}

awaitable<void> FleetFeed::poll_config() {
  while (true) {
    co_await sleep_for(kConfigPoll / 2 + spread(kConfigPoll));
    drop_lapsed();
    const auto snapshot = co_await store_.read_newer(kConfigKey, config_seen_);
    store_answers_ = ok(snapshot);
    if (!ok(snapshot)) continue;
    for (const StoreEntry& entry : value(snapshot).entries) take_entry(entry);
  }
}

awaitable<bool> FleetFeed::write_registration() {
  if (lease_ == 0) {
    const auto lease = co_await store_.grant_lease(kLeaseSeconds);
    if (!ok(lease)) co_return false;
    lease_ = value(lease);
  }
  proto::VmRecord record;
  to_wire(self_, record);
  StoreSwap change;
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
        co_await sleep_for(kRetrySpread / 4 + spread(kRetrySpread));
        continue;
      }
    }
    co_await sleep_for(kRenewal + spread(kSecond));
    if (deregistered_) co_return;
    const auto alive = co_await store_.keep_alive(lease_);
    if (ok(alive) && !value(alive)) {
      registered = false;
      lease_ = 0;
      co_await sleep_for(spread(kRetrySpread));
    }
  }
}

awaitable<bool> FleetFeed::announce_leaving(std::string successor,
                                            std::vector<SessionHome> origins) {
  self_.leaving = true;
  if (!successor.empty() && !origins.empty()) {
    const auto lease = co_await store_.grant_lease(kSuccessorSeconds);
    if (!ok(lease)) co_return false;
    for (const SessionHome& origin : origins) {
      proto::SuccessorRecord record;
      record.set_home(origin.vm);
      record.set_incarnation(origin.incarnation);
      record.set_holder(successor);
      StoreSwap change;
      change.key = successor_key(origin.vm, origin.incarnation);
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
  if (lease_ != 0) co_await store_.revoke(lease_);
}

void FleetFeed::take_snapshot(const StoreSnapshot& snapshot) {
  std::set<std::string> present;
  for (const StoreEntry& entry : snapshot.entries) {
    present.insert(entry.key);
    take_entry(entry);
  }
  for (auto& [vm, registration] : registrations_) {
    if (present.contains(kVmPrefix + vm)) continue;
    if (registration.deleted_at == 0) {
      registration.deleted_at = monotonic_now();
    }
  }
  publish();
}

void FleetFeed::take_entry(const StoreEntry& entry) {
  if (entry.key == kConfigKey) {
    config_seen_ = std::max(config_seen_, entry.mod_revision);
    config_.offer_bytes(entry.value);
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

void FleetFeed::take_change(const StoreChange& change) {
  store_answers_ = true;
  if (!change.deleted) {
    take_entry(change.entry);
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

void FleetFeed::drop_lapsed() {
  if (!store_answers_) return;
  const Millis now = monotonic_now();
  const auto dropped = std::erase_if(registrations_, [&](const auto& entry) {
    const Millis at = entry.second.deleted_at;
    return at > 0 && now - at > kLapsedLife;
  });
  if (dropped > 0) publish();
}

void FleetFeed::take_listing(const VmListing& listing) {
  listing_ = listing;
  publish();
}

void FleetFeed::publish() {
  FleetView view;
  view.endpoints = listing_.endpoints;
  for (const auto& [vm, registration] : registrations_) {
    view.vms.push_back(registration.info);
  }
  // Before the store has answered once, the VM list names the peers.
  if (view.vms.empty()) view.vms = listing_.entries;
  for (VmInfo& vm : view.vms) {
    for (const VmInfo& listed : listing_.entries) {
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
