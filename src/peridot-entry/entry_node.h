#pragma once

// One entry process: hosts the reducer and performs its effects. All members
// are used on the I/O thread only.

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
#include "peridot-entry/refusal_recorder.h"
#include "runtime/control_link.h"
#include "runtime/current_config.h"
#include "runtime/fleet_feed.h"
#include "runtime/http_client.h"
#include "runtime/metrics.h"
#include "runtime/name_table.h"
#include "runtime/reducer_host.h"
#include "runtime/settings.h"
#include "runtime/store_client.h"

namespace peridotreach {

// Connects the reducer to callers, dispatchers, endpoints, the store and the
// other entry processes.
class EntryNode {
 public:
  EntryNode(asio::io_context& io, const Settings& settings, HttpTarget store,
            HttpTarget vm_list);
  ~EntryNode();

  // Binds the control port and starts the background coroutines. Returns the
  // port.
  Result<std::uint16_t> start();

  // Posts an event to the reducer, stamped with the current time.
  template <class Body>
  void post(Body body) {
    reducer_host_->post({clock_now(), clock_minute(), std::move(body)});
  }

  // Allocates a request number and registers the output buffer of the request.
  std::shared_ptr<CallerStream> open_stream();

  // Allocates a request number, stores it in `request` and registers a waiter
  // for the outcome of the call.
  std::shared_ptr<CallWaiter> open_call(std::uint64_t& request);

  // Allocates a request number, unique within this process.
  std::uint64_t next_request_number() { return ++last_request_number_; }
  void close_stream(std::uint64_t request) { streams_.erase(request); }
  void close_call(std::uint64_t request) { calls_.erase(request); }

  // Opens a session for `caller`. Returns its signed token, empty if the
  // session is refused or not opened in time.
  awaitable<std::string> open_session(std::string caller);

  // Returns the public id of a request of this process:
  // `<vm>.<incarnation>.<number>`.
  std::string request_id(std::uint64_t request) const;

  // Returns the number in a request id of this process, 0 if another process
  // issued the id.
  std::uint64_t request_number(const std::string& id) const;

  asio::io_context& io() { return io_; }
  const Settings& settings() const { return settings_; }
  const EntryIdentity& identity() const { return identity_; }
  const FleetConfig& config() const { return fleet_config_; }
  const FleetView& view() const { return feed_.view(); }
  const FleetKey& fleet_key() const { return fleet_key_; }
  const ExplainLog& explanations() const { return explanations_; }
  const RefusalRecorder& refusals() const { return refusal_recorder_; }
  const StoreClient& store() const { return store_; }
  const LinkCounts& link_counts() const { return link_.counts(); }
  Metrics& metrics() { return metrics_; }
  bool is_stopping() const { return stopping_; }
  bool store_reachable() const { return feed_.is_store_reachable(); }
  std::size_t open_requests() const { return streams_.size() + calls_.size(); }

 private:
  static Millis clock_now();
  static std::uint64_t clock_minute();

  void perform_all(std::vector<EntryEffect>& effects);
  void perform(RelayEvents& effect);
  void perform(const SendEnqueue& effect) { dispatch_channel_.add(effect); }
  void perform(const SendProgress& effect) { dispatch_channel_.add(effect); }
  void perform(const SendDequeue& effect) { dispatch_channel_.add(effect); }
  void perform(const SendReport& effect) { dispatch_channel_.add(effect); }
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
                           ClientRequest message, Millis timeout,
                           bool is_session_home);
  awaitable<void> claim_idempotency_key(ClaimKey effect);
  awaitable<void> announce_leaving(AnnounceLeaving effect);
  awaitable<void> flush_and_exit();
  awaitable<void> run_ticks();
  awaitable<void> fetch_config_from_peers();
  void request_config(const VmInfo& vm);
  void relay_event(CallerStream& stream, const RelayEvents& effect,
                   const StreamEvent& stream_event);
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
  CurrentConfig held_config_;
  FleetConfig fleet_config_;
  NameTable name_table_;
  FleetFeed feed_;
  DispatchChannel dispatch_channel_;
  RefusalRecorder refusal_recorder_;
  Metrics metrics_;
  ExplainLog explanations_;
  std::unique_ptr<ReducerHost<EntryState, EntryEvent, EntryEffect>>
      reducer_host_;
  std::map<std::uint64_t, std::shared_ptr<CallerStream>> streams_;
  std::map<std::uint64_t, std::shared_ptr<CallWaiter>> calls_;
  std::map<std::uint64_t, std::shared_ptr<HttpConnection>> connections_;
  std::map<std::uint64_t, std::uint64_t> opened_sessions_;
  std::map<std::uint64_t, std::shared_ptr<Signal>> session_waiters_;
  std::uint64_t last_request_number_ = 0;
  bool stopping_ = false;
};

}  // namespace peridotreach
