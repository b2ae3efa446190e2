#pragma once

// One entry process: the reducer's host, and everything that performs its
// effects. All members are used on the I/O thread only.

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libperidotreach/entry_reducer.h"
#include "libperidotreach/signed_token.h"
#include "peridot-entry/call_waiter.h"
#include "peridot-entry/caller_stream.h"
#include "peridot-entry/dispatch_channel.h"
#include "peridot-entry/explain_log.h"
#include "peridot-entry/refusal_book.h"
#include "runtime/control_link.h"
#include "runtime/fleet_feed.h"
#include "runtime/held_config.h"
#include "runtime/http_client.h"
#include "runtime/metrics.h"
#include "runtime/name_book.h"
#include "runtime/reducer_host.h"
#include "runtime/settings.h"
#include "runtime/store_client.h"

namespace peridotreach {

// The node.
class EntryNode {
 public:
  EntryNode(asio::io_context& io, const Settings& settings, HttpTarget store,
            HttpTarget vm_list);
  ~EntryNode();

  // Binds the control port and starts all loops.
  Result<std::uint16_t> start();

  // Hands an event to the reducer, with the present time.
  template <class Body>
  void post(Body body) {
    host_->post({clock_now(), clock_minute(), std::move(body)});
  }

  // Opens the output of a new request and returns it.
  std::shared_ptr<CallerStream> open_stream();
  std::shared_ptr<CallWaiter> open_call(std::uint64_t& request);
  std::uint64_t next_request() { return ++last_request_; }
  void close_stream(std::uint64_t request) { streams_.erase(request); }
  void close_call(std::uint64_t request) { calls_.erase(request); }

  // Awaits the session opened for `request`; empty if none was.
  awaitable<std::string> open_session(std::string caller);

  // Returns the public id of a request of this process.
  std::string request_id(std::uint64_t request) const;

  // Returns the number in a request id of this process, 0 for another's.
  std::uint64_t request_number(const std::string& id) const;

  asio::io_context& io() { return io_; }
  const Settings& settings() const { return settings_; }
  const EntryIdentity& identity() const { return identity_; }
  const FleetConfig& config() const { return plain_config_; }
  const FleetView& view() const { return feed_.view(); }
  const FleetKey& fleet_key() const { return fleet_key_; }
  const ExplainLog& explanations() const { return explanations_; }
  const RefusalBook& refusals() const { return book_; }
  const StoreClient& store() const { return store_; }
  const LinkCounts& link_counts() const { return link_.counts(); }
  Metrics& metrics() { return metrics_; }
  bool is_stopping() const { return stopping_; }
  bool store_answers() const { return feed_.store_answers(); }
  std::size_t open_requests() const { return streams_.size() + calls_.size(); }

 private:
  static Millis clock_now();
  static std::uint64_t clock_minute();

  void perform_all(std::vector<EntryEffect>& effects);
  void perform(RelayEvents& effect);
  void perform(const SendEnqueue& effect) { channel_.add(effect); }
  void perform(const SendProgress& effect) { channel_.add(effect); }
  void perform(const SendDequeue& effect) { channel_.add(effect); }
  void perform(const SendReport& effect) { channel_.add(effect); }
  void perform(const ConnectEndpoint& effect);
  void perform(const DisconnectEndpoint& effect);
  void perform(const CancelGeneration& effect);
  void perform(const FinishRequest& effect);
  void perform(const ForwardCall& effect);
  void perform(const ForwardToHome& effect);
  void perform(const ClaimKey& effect);
  void perform(const AnswerCall& effect);
  void perform(const ReturnSession& effect);
  void perform(const CountRefusal& effect);
  void perform(const RecordExplanation& effect);
  void perform(const Observe& effect);
  void perform(const AnnounceLeaving& effect);
  void perform(const HandOverSessions& effect);
  void perform(const ConfirmSessions& effect);
  void perform(const ExitProcess& effect);

  awaitable<void> run_call(std::uint64_t request, HttpTarget target,
                           ClientRequest message, Millis timeout, bool to_home);
  awaitable<void> claim(ClaimKey effect);
  awaitable<void> announce(AnnounceLeaving effect);
  awaitable<void> finish_process();
  awaitable<void> tick();
  awaitable<void> seek_config();
  void ask_config(const VmInfo& vm);
  void relay_item(CallerStream& stream, const RelayEvents& effect,
                  const StreamEvent& item);
  std::string with_public_id(const std::string& payload,
                             const CallerStream& stream,
                             const RelayEvents& effect,
                             std::string& response) const;
  void on_message(const std::string& peer, const proto::Envelope& message);
  void on_order(const proto::Envelope& message);
  void on_config(const proto::Config& config);
  void on_view(const FleetView& view);
  proto::Envelope envelope() const;
  HttpTarget endpoint_target(const std::string& endpoint) const;

  asio::io_context& io_;
  const Settings& settings_;
  EntryIdentity identity_;
  FleetKey fleet_key_;
  ControlLink link_;
  StoreClient store_;
  HeldConfig config_;
  FleetConfig plain_config_;
  NameBook names_;
  FleetFeed feed_;
  DispatchChannel channel_;
  RefusalBook book_;
  Metrics metrics_;
  ExplainLog explanations_;
  std::unique_ptr<ReducerHost<EntryState, EntryEvent, EntryEffect>> host_;
  std::map<std::uint64_t, std::shared_ptr<CallerStream>> streams_;
  std::map<std::uint64_t, std::shared_ptr<CallWaiter>> calls_;
  std::map<std::uint64_t, std::shared_ptr<HttpConnection>> connections_;
  std::map<std::uint64_t, std::uint64_t> sessions_opened_;
  std::map<std::uint64_t, std::shared_ptr<Signal>> session_waiters_;
  std::uint64_t last_request_ = 0;
  bool stopping_ = false;
};

}  // namespace peridotreach
