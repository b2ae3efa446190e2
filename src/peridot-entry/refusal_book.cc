#include "peridot-entry/refusal_book.h"

#include <utility>

#include "fleet.pb.h"
#include "libperidotreach/cells.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/store_keys.h"
#include "runtime/wire.h"

namespace peridotreach {
namespace {

// Delay by which copies of counts are gathered, and the time between looks at
// the minute.
constexpr Millis kCopyDelay = 50;
constexpr Millis kMinuteCheck = 5 * kSecond;

// Times that a page is merged anew when another writer changed it meanwhile.
constexpr int kMostMerges = 5;

std::string page_key(const RefusalBucket& page) {
  return kLedgerPrefix + sortable(page.minute) + "/" + page.vm + "/" +
         std::to_string(page.incarnation);
}

}  // namespace

RefusalBook::RefusalBook(asio::io_context& io, StoreClient& store,
                         std::string vm, std::string zone, CopySender send_copy)
    : io_(io),
      store_(store),
      vm_(std::move(vm)),
      zone_(std::move(zone)),
      send_copy_(std::move(send_copy)) {}

void RefusalBook::start(std::uint64_t incarnation) {
  incarnation_ = incarnation;
  co_spawn(io_, write_each_minute(), asio::detached);
}

void RefusalBook::count(const CountRefusal& effect) {
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

// Returns the VM that holds copies of this one's pages: in another zone if
// there is one.
const VmInfo* RefusalBook::copy_holder() const {
  const VmInfo* best = nullptr;
  std::uint64_t best_score = 0;
  for (const VmInfo& vm : view_.vms) {
    if (vm.vm == vm_ || vm.leaving) continue;
    const bool far = vm.zone != zone_;
    const bool best_far = best != nullptr && best->zone != zone_;
    if (best_far && !far) continue;
    const std::uint64_t score = stable_hash(vm_ + "#" + vm.vm);
    const bool better =
        best == nullptr || (far && !best_far) || score > best_score;
    if (!better) continue;
    best = &vm;
    best_score = score;
  }
  return best;
}

void RefusalBook::flush_copies() {
  flush_posted_ = false;
  const VmInfo* holder = copy_holder();
  if (holder == nullptr) return;
  for (const RefusalBucket& page : std::exchange(uncopied_, {})) {
    proto::RefusalMinute wire;
    to_wire(page, ledger_.pages[page], wire);
    send_copy_(*holder, wire);
  }
}

void RefusalBook::take_copy(const proto::RefusalMinute& page) {
  merge_wire(page, ledger_);
  unwritten_.insert({page.vm(), page.incarnation(), page.minute()});
}

// A peer's page is written by the holder of its copy once the peer is gone.
bool RefusalBook::is_mine_to_write(const RefusalBucket& page) const {
  if (page.vm == vm_ && page.incarnation == incarnation_) return true;
  const VmInfo* owner = find_vm(view_, page.vm);
  return owner == nullptr || owner->incarnation != page.incarnation;
}

awaitable<bool> RefusalBook::write_page(RefusalBucket page) {
  const std::string key = page_key(page);
  std::int64_t revision = 0;
  for (int i = 0; i < kMostMerges; ++i) {
    proto::RefusalMinute wire;
    to_wire(page, ledger_.pages[page], wire);
    StoreSwap change;
    change.key = key;
    change.value = wire.SerializeAsString();
    change.expected_revision = revision;
    const auto outcome = co_await store_.swap(change, StorePriority::kLedger);
    if (!ok(outcome)) co_return false;
    if (value(outcome).swapped) co_return true;
    const auto& present = value(outcome).present;
    revision = present ? present->mod_revision : 0;
    if (!present) continue;
    // Merge by the maximum; what is there already is never lowered.
    proto::RefusalMinute stored;
    if (stored.ParseFromString(present->value)) merge_wire(stored, ledger_);
  }
  co_return false;
}

awaitable<bool> RefusalBook::write_due(bool stopping) {
  const std::uint64_t minute = wall_minute();
  const std::set<RefusalBucket> due = unwritten_;
  for (const RefusalBucket& page : due) {
    const bool complete = page.minute < minute || stopping;
    if (!complete || !is_mine_to_write(page)) continue;
    const std::size_t before = ledger_.pages[page].size();
    if (!co_await write_page(page)) co_return false;
    const bool unchanged = ledger_.pages[page].size() == before;
    if (unchanged) unwritten_.erase(page);
  }
  co_return true;
}

awaitable<void> RefusalBook::write_each_minute() {
  while (true) {
    co_await sleep_for(kMinuteCheck +
                       static_cast<Millis>(random_number() % kMinuteCheck));
    // Peers' pages that their owner has written are dropped with their age.
    const std::uint64_t minute = wall_minute();
    constexpr std::uint64_t kKeptMinutes = 1440;
    std::erase_if(ledger_.pages, [&](const auto& entry) {
      return entry.first.minute + kKeptMinutes < minute;
    });
    std::erase_if(unwritten_, [&](const RefusalBucket& page) {
      return page.minute + kKeptMinutes < minute;
    });
    const bool written = co_await write_due(false);
    if (!written) {
      log(LogLevel::kWarning, "refusals are held until the store answers");
    }
  }
}

}  // namespace peridotreach
