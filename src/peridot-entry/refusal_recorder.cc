#include "peridot-entry/refusal_recorder.h"

#include <utility>

#include "fleet.pb.h"
#include "libperidotreach/cells.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/store_keys.h"
#include "runtime/wire.h"

namespace peridotreach {
namespace {

// Delay over which counts are batched before they are copied to a peer, and the
// shortest time between checks for completed minutes; a random time of up to
// the same length is added to the latter.
constexpr Millis kCopyDelay = 50;
constexpr Millis kCompletedMinuteCheckInterval = 5 * kSecond;

// Most attempts to write a bucket that another writer changes concurrently.
constexpr int kMaxWriteAttempts = 5;

std::string bucket_key(const RefusalBucket& bucket) {
  return kRefusalBucketPrefix + zero_padded(bucket.minute) + "/" + bucket.vm +
         "/" + std::to_string(bucket.incarnation);
}

}  // namespace

RefusalRecorder::RefusalRecorder(asio::io_context& io, StoreClient& store,
                                 std::string vm, std::string zone,
                                 CopySender send_copy)
    : io_(io),
      store_(store),
      vm_(std::move(vm)),
      zone_(std::move(zone)),
      send_copy_(std::move(send_copy)) {}

void RefusalRecorder::start(std::uint64_t incarnation) {
  incarnation_ = incarnation;
  co_spawn(io_, run_writer(), asio::detached);
}

void RefusalRecorder::count(const CountRefusal& effect) {
  std::map<RefusalLabels, std::uint64_t> counts;
  counts[effect.labels] = effect.count;
  merge_refusal_bucket(ledger_, effect.bucket, counts);
  unwritten_.insert(effect.bucket);
  uncopied_.insert(effect.bucket);
  if (flush_posted_) return;
  flush_posted_ = true;
  co_spawn(
      io_,
      [this]() -> awaitable<void> {
        co_await sleep_for(kCopyDelay);
        flush_copies();
      },
      asio::detached);
}

// Returns the VM to which this VM's buckets are copied, in another zone if
// there is one. Rendezvous hashing spreads the VMs over their peers and keeps
// the choice stable.
const VmInfo* RefusalRecorder::select_replica_vm() const {
  const VmInfo* best = nullptr;
  std::uint64_t best_score = 0;
  for (const VmInfo& vm : view_.vms) {
    if (vm.vm == vm_ || vm.leaving) continue;
    const bool in_other_zone = vm.zone != zone_;
    const bool best_in_other_zone = best != nullptr && best->zone != zone_;
    if (best_in_other_zone && !in_other_zone) continue;
    const std::uint64_t score = stable_hash(vm_ + "#" + vm.vm);
    const bool better = best == nullptr ||
                        (in_other_zone && !best_in_other_zone) ||
                        score > best_score;
    if (!better) continue;
    best = &vm;
    best_score = score;
  }
  return best;
}

void RefusalRecorder::flush_copies() {
  flush_posted_ = false;
  const VmInfo* replica = select_replica_vm();
  if (replica == nullptr) return;
  for (const RefusalBucket& bucket : std::exchange(uncopied_, {})) {
    proto::RefusalMinute wire;
    to_wire(bucket, ledger_.buckets[bucket], wire);
    send_copy_(*replica, wire);
  }
}

void RefusalRecorder::merge_copy(const proto::RefusalMinute& bucket) {
  merge_refusals_from_wire(bucket, ledger_);
  unwritten_.insert({bucket.vm(), bucket.incarnation(), bucket.minute()});
}

// A peer's bucket is written by the process that holds a copy, once the peer is
// gone or has restarted.
bool RefusalRecorder::is_responsible_for(const RefusalBucket& bucket) const {
  if (bucket.vm == vm_ && bucket.incarnation == incarnation_) return true;
  const VmInfo* owner = find_vm(view_, bucket.vm);
  return owner == nullptr || owner->incarnation != bucket.incarnation;
}

awaitable<bool> RefusalRecorder::write_bucket(RefusalBucket bucket) {
  const std::string key = bucket_key(bucket);
  std::int64_t revision = 0;
  for (int i = 0; i < kMaxWriteAttempts; ++i) {
    proto::RefusalMinute wire;
    to_wire(bucket, ledger_.buckets[bucket], wire);
    StoreWrite change;
    change.key = key;
    change.value = wire.SerializeAsString();
    change.expected_revision = revision;
    const auto outcome =
        co_await store_.compare_and_swap(change, StorePriority::kLedger);
    if (!ok(outcome)) co_return false;
    if (value(outcome).swapped) co_return true;
    const auto& stored_item = value(outcome).current_entry;
    revision = stored_item ? stored_item->mod_revision : 0;
    if (!stored_item) continue;
    // Merging takes the maximum of each count, so a stored count never
    // decreases.
    proto::RefusalMinute stored;
    if (stored.ParseFromString(stored_item->value))
      merge_refusals_from_wire(stored, ledger_);
  }
  co_return false;
}

awaitable<bool> RefusalRecorder::write_due_buckets(bool stopping) {
  const std::uint64_t minute = wall_minute();
  const std::set<RefusalBucket> due = unwritten_;
  for (const RefusalBucket& bucket : due) {
    const bool complete = bucket.minute < minute || stopping;
    if (!complete || !is_responsible_for(bucket)) continue;
    const std::size_t before = ledger_.buckets[bucket].size();
    if (!co_await write_bucket(bucket)) co_return false;
    const bool unchanged = ledger_.buckets[bucket].size() == before;
    if (unchanged) unwritten_.erase(bucket);
  }
  co_return true;
}

awaitable<void> RefusalRecorder::run_writer() {
  while (true) {
    co_await sleep_for(
        kCompletedMinuteCheckInterval +
        static_cast<Millis>(random_number() % kCompletedMinuteCheckInterval));
    // Drops buckets by age, because nothing tells this process that a peer has
    // written its own buckets.
    const std::uint64_t minute = wall_minute();
    constexpr std::uint64_t kRetentionMinutes = 1440;
    std::erase_if(ledger_.buckets, [&](const auto& entry) {
      return entry.first.minute + kRetentionMinutes < minute;
    });
    std::erase_if(unwritten_, [&](const RefusalBucket& bucket) {
      return bucket.minute + kRetentionMinutes < minute;
    });
    const bool written = co_await write_due_buckets(false);
    if (!written) {
      log(LogLevel::kWarning, "refusals are held until the store answers");
    }
  }
}

}  // namespace peridotreach
