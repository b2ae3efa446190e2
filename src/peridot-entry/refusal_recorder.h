#pragma once

// Records refusal counts in buckets of one minute. Copies the buckets of this
// process to a peer, in another zone if there is one, and writes every
// completed bucket to the store. Buckets that could not be written are kept and
// retried for up to a day.

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "libperidotreach/entry_effect.h"
#include "libperidotreach/fleet_view.h"
#include "libperidotreach/refusal_ledger.h"
#include "runtime/store_client.h"

namespace peridotreach {

namespace proto {
class RefusalMinute;
}

// Holds the refusal buckets of one entry process and copies of its peers'
// buckets.
class RefusalRecorder {
 public:
  // Sends a copy of a bucket to a VM.
  using CopySender =
      std::function<void(const VmInfo& vm, const proto::RefusalMinute& bucket)>;

  RefusalRecorder(asio::io_context& io, StoreClient& store, std::string vm,
                  std::string zone, CopySender send_copy);

  // Starts the coroutine that writes buckets to the store.
  void start(std::uint64_t incarnation);

  void set_view(const FleetView& view) { view_ = view; }

  // Adds one count and schedules the copy of its bucket to a peer.
  void count(const CountRefusal& effect);

  // Merges a peer's copy of a bucket.
  void merge_copy(const proto::RefusalMinute& bucket);

  // Returns the buckets of this process and the copies of its peers' buckets.
  const RefusalLedger& ledger() const { return ledger_; }

  // Writes the buckets that this process is responsible for and whose minute
  // has ended; if `stopping`, also those of the current minute. Returns false
  // if a write failed.
  awaitable<bool> write_due_buckets(bool stopping);

 private:
  awaitable<void> run_writer();
  awaitable<bool> write_bucket(RefusalBucket bucket);
  void flush_copies();
  const VmInfo* select_replica_vm() const;
  bool is_responsible_for(const RefusalBucket& bucket) const;

  asio::io_context& io_;
  StoreClient& store_;
  std::string vm_;
  std::string zone_;
  CopySender send_copy_;
  std::uint64_t incarnation_ = 0;
  FleetView view_;
  RefusalLedger ledger_;
  std::set<RefusalBucket> unwritten_;
  std::set<RefusalBucket> uncopied_;
  bool flush_posted_ = false;
};

}  // namespace peridotreach
