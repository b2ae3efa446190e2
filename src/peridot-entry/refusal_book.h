#pragma once

// Keeps the refusal ledger of this process and copies of its peers', sends
// copies to a peer in another zone and writes pages to the store once a
// minute. Pages that could not be written are held.

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

// The book of one entry process.
class RefusalBook {
 public:
  // Sends a copy of a page to a VM.
  using CopySender =
      std::function<void(const VmInfo& vm, const proto::RefusalMinute& page)>;

  RefusalBook(asio::io_context& io, StoreClient& store, std::string vm,
              std::string zone, CopySender send_copy);

  // Starts the writing loop.
  void start(std::uint64_t incarnation);

  void set_view(const FleetView& view) { view_ = view; }

  // Takes one count and schedules its copy to a peer.
  void count(const CountRefusal& effect);

  // Takes a peer's copy of a page.
  void take_copy(const proto::RefusalMinute& page);

  // Returns all pages held here, own and peers'.
  const RefusalLedger& held() const { return ledger_; }

  // Writes all pages that are due. Returns whether none is left.
  awaitable<bool> write_due(bool stopping);

 private:
  awaitable<void> write_each_minute();
  awaitable<bool> write_page(RefusalBucket page);
  void flush_copies();
  const VmInfo* copy_holder() const;
  bool is_mine_to_write(const RefusalBucket& page) const;

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
