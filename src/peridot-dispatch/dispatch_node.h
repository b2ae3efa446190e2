#pragma once

// The dispatcher process: hosts the dispatch reducer and performs its effects.
// All members are used on the I/O thread only.

#include <map>
#include <memory>
#include <string>

#include "libperidotreach/dispatch_reducer.h"
#include "peridot-dispatch/endpoint_watch.h"
#include "runtime/control_link.h"
#include "runtime/current_config.h"
#include "runtime/metrics.h"
#include "runtime/name_table.h"
#include "runtime/reducer_host.h"
#include "runtime/settings.h"
#include "runtime/vm_list.h"

namespace peridotreach {

// Connects the dispatch reducer to its timers, the control link, the VM list
// and the load streams of the endpoints.
class DispatchNode {
 public:
  DispatchNode(asio::io_context& io, const Settings& settings,
               HttpTarget vm_list);
  ~DispatchNode();

  // Binds the control port and starts the background loops. Returns the port
  // that was bound.
  Result<std::uint16_t> start();

  Metrics& metrics() { return metrics_; }

  // Sends the pending order batches and stops the I/O loop, which ends the
  // process.
  void stop();

 private:
  template <class Body>
  void post(Body body);

  void perform_all(std::vector<DispatchEffect>& effects);
  void perform(const IssueGrant& effect);
  void perform(const IssueRefusal& effect);
  void perform(const IssueWithdrawal& effect);
  void perform(const RequestFullReport& effect);
  void perform(const IssueCredits& effect);
  void perform(const WatchEndpoint& effect);
  void perform(const UnwatchEndpoint& effect);
  void on_message(const std::string& peer, const proto::Envelope& message);
  void on_listing(const VmListing& listing);
  // Returns the pending message to the entry process on `vm`, creating it if
  // there is none. The message is sent at the next flush.
  proto::Envelope& order_batch(const std::string& vm);
  void flush();
  proto::Envelope make_envelope() const;
  awaitable<void> run_timer();
  awaitable<void> request_initial_config();

  asio::io_context& io_;
  const Settings& settings_;
  std::string vm_;
  std::uint64_t incarnation_;
  ControlLink link_;
  NameTable names_;
  CurrentConfig config_;
  HttpTarget vm_list_;
  Metrics metrics_;
  std::unique_ptr<ReducerHost<DispatchState, DispatchEvent, DispatchEffect>>
      reducer_host_;
  std::map<std::string, std::string> peer_by_vm_;
  std::map<std::string, Millis> last_reply_at_;
  std::map<std::string, proto::Envelope> order_batches_;
  std::map<std::string, std::shared_ptr<EndpointWatch>> endpoint_watches_;
  bool flush_posted_ = false;
};

}  // namespace peridotreach
