#pragma once

// A router process: runs the routing reducer on its I/O thread and performs
// the effects that the reducer returns.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libperidotreach/routing/memory_account.h"
#include "libperidotreach/routing/notice_polls.h"
#include "libperidotreach/routing/routing_reducer.h"
#include "peridot-router/endpoint_attempt.h"
#include "peridot-router/peer_exchange.h"
#include "peridot-router/request_exchange.h"
#include "peridot-router/router_metrics.h"
#include "peridot-router/router_settings.h"
#include "peridot-router/shared_table.h"
#include "peridot-router/tunnel_server.h"
#include "peridot-router/wire_format.h"
#include "runtime/http_server.h"

namespace peridotreach {

class CallerSession;

// Decoders for the items of the shared tables. Like the wire format, they are
// supplied by the platform adapter of the deployment.
struct TableDecoders {
  std::function<Result<Manifest>(const std::string& value)> manifest;
  std::function<Result<EndpointEntry>(const std::string& key,
                                      const std::string& value)>
      endpoint;
  // Returns the availability zone that an item of the manifest's table closes,
  // none if the item is the manifest.
  std::function<std::optional<std::string>(const std::string& key)> closed_zone;
};

// The router of one VM.
class RouterNode {
 public:
  RouterNode(asio::io_context& io, RouterSettings settings,
             WireFormat wire_format, TableDecoders table_decoders,
             std::uint64_t incarnation);
  ~RouterNode();
  RouterNode(const RouterNode&) = delete;
  RouterNode& operator=(const RouterNode&) = delete;

  // Starts to listen on all configured addresses. Returns the readiness port.
  Result<std::uint16_t> start();

  // Starts a graceful shutdown. Calls `on_stopped` when no request is in
  // flight any more or shortly before the grace period ends.
  void stop(std::function<void()> on_stopped);

  // Applies changes that were read from the store, in their order, and records
  // them for peers.
  void apply_store_changes(const std::string& table,
                           const std::vector<ItemChange>& changes);

  // The same for all items of a table, read at `read_revision`.
  void apply_store_read(const std::string& table,
                        const std::vector<ItemChange>& items,
                        const StoreRevision& read_revision);

  // Records that the store answers in this era.
  void see_store_era(std::uint64_t era);

  // Returns the newest era of the store that this process or a peer has seen; 0
  // if none is known.
  std::uint64_t store_era() const { return state_.store_era; }

  // Replaces a table with the copy of the peer `source` unless that is older.
  void install_snapshot(const std::string& table, const SharedTableState& state,
                        const std::string& source);

  // Sets whether this process's calls to the store succeed.
  void set_store_reachable(bool is_reachable);

  // Returns whether a peer has lost the store after `since`, the time at which
  // this process last called it.
  bool should_recheck_store(Millis since) const;

  // Applies the settings that may change while the process runs.
  void apply_settings(const RouterSettings& settings);

  // Returns whether this process watches the frequently changing tables of the
  // store and forwards their changes to the others in its availability zone.
  bool watches_tables() const;

  // Returns whether this process has to use the store itself, and whether it
  // has to be registered there.
  bool needs_store() const;
  bool needs_registration() const;

  // The prompts that are quarantined, and the crashes that explain them in the
  // form in which the store keeps them.
  const std::vector<PromptPattern>& quarantined_prompts() const {
    return state_.prompt_quarantine.patterns;
  }
  std::string encoded_quarantine() const;

  // Applies what the store has kept of the quarantine of prompts.
  void restore_quarantine(const std::string& stored);

  const SharedTableState& table(const std::string& name);
  PeerView& peers() { return peers_.view(); }
  const PeerRecord& self() const { return peers_.self(); }

  // Interface for caller sessions. `open_exchange` registers a request,
  // `start_exchange` passes it to the reducer and `close_exchange` removes it.
  std::shared_ptr<RequestExchange> open_exchange(const CallerSession& session,
                                                 RawRequest request);
  void start_exchange(const std::shared_ptr<RequestExchange>& exchange);
  void close_exchange(const RequestExchange& exchange);
  void on_caller_disconnected(const RequestExchange& exchange);
  const CallerLimits& caller_limits() const;

  // Asks for `bytes` of memory in all for the request that a session reads.
  // Returns whether they are granted.
  bool hold_request(const CallerSession& session, std::size_t bytes);
  void release_request(const CallerSession& session);
  // Returns the refusal of a request for which there is no memory. `is_ended`:
  // it gave way to others.
  CallerResponse memory_refusal(const CallerSession& session,
                                const RawRequest& request, bool is_ended,
                                Millis retry_after);
  bool stopping() const { return state_.stop.has_value(); }

  const RoutingState& state() const { return state_; }

 private:
  // Reduces an event and performs the resulting effects.
  void post(decltype(RoutingEvent::body) body);
  void perform(StartAttempt& effect);
  void perform(const CancelAttempt& effect);
  void perform(const DeliverResponse& effect);
  void perform(const RelayStream& effect);
  void perform(const FinishStream& effect);
  void perform(const SendLocalResponse& effect);
  void perform(const AbortResponse& effect);
  void perform(const CopyGeneration& effect);
  void perform(const RequestCopyLease& effect);
  void perform(const ReleaseCopyLease& effect);
  void perform(const RequestPlacement& effect);
  void perform(const AnswerPlacement& effect);
  void perform(const ForwardPlacement& effect);
  void perform(const RequestPermits& effect);
  void perform(const AnswerPermits& effect);
  void perform(const AnnounceEndpointLeaving& effect);
  void perform(const FreeCopy& effect);
  void perform(const ProbeEndpointPath& effect);
  void perform(const RecordDecision& effect);

  std::shared_ptr<RequestExchange> find_exchange(std::uint64_t request) const;
  // Records the bytes held of a response and ends responses that exceed the
  // memory for all of them.
  void hold_response_bytes(std::uint64_t request, std::size_t bytes);
  void update_memory_shares();
  // Closes the connection of a caller that does not take its response.
  void give_up_caller(std::uint64_t request);
  std::shared_ptr<CallerSession> find_session(std::uint64_t number) const;
  // Closes connections of callers that have sent nothing for longest until
  // another socket is within the limits. Returns whether it is.
  bool make_room_for_socket();
  // `source` is "store" or the VM of the peer that sent the change.
  void apply_changes(const std::string& table,
                     const std::vector<ItemChange>& changes,
                     const std::string& source);
  // Returns whether both tables have been read in the newest era of the store.
  bool has_current_tables() const;
  // Returns how changes of `table` that come from `source` are applied.
  ItemHandlers item_handlers(const std::string& table,
                             const std::string& source);
  // Returns whether an item stays as it is, as `incoming` is older by its
  // content.
  bool stays(const std::string& table, const std::string& key,
             const std::string& held, const std::string* incoming);
  void on_item_changed(const std::string& table, const std::string& key,
                       const std::string* value, const std::string& source);
  // Returns the id of the endpoint at an address, empty if none is listed.
  std::string endpoint_at(const HttpTarget& target) const;
  awaitable<bool> connect_for_call(HttpConnection& connection,
                                   HttpTarget target, std::string endpoint,
                                   Millis timeout);
  // Records that an endpoint said that it leaves, and tells peers.
  void on_endpoint_leaving(const std::string& endpoint);
  // Sends a control call to the endpoint at an address, through a peer while
  // this process reaches no endpoint. Heeds what the head of the answer says.
  awaitable<ClientResponse> call_endpoint(HttpTarget target,
                                          ClientRequest request,
                                          Millis timeout);
  // Returns a peer that opens tunnels, none if there is none.
  std::optional<PeerRecord> choose_tunnel_peer() const;
  void choose_tunnel_peer(EndpointAttempt& attempt);
  TunnelHandlers tunnel_handlers();
  awaitable<void> probe_endpoint_path(HttpTarget target);
  awaitable<void> copy_generation(CopyGeneration effect, std::string id);
  awaitable<void> free_copy(FreeCopy effect);
  awaitable<void> accept_callers();
  void start_session(tcp::socket socket);
  void close_acceptor();
  awaitable<void> run_timer();
  awaitable<void> serve_addresses(HttpExchange& exchange);
  awaitable<void> serve_readiness_and_metrics(HttpExchange& exchange);
  CoordinationHandlers coordination_handlers();
  TableHandlers table_handlers();
  void notify_peers(Millis now);
  LocalDigest local_digest() const;
  bool ready() const;
  // Returns whether a request is being read, served or answered.
  bool has_open_requests() const;
  void advance_shutdown(Millis now);
  void poll_endpoints(Millis now);
  void log_polling(bool is_polling, const NoticeDelivery& delivery);
  awaitable<void> poll_endpoint(std::string id, HttpTarget target);

  // Request number and attempt number.
  using AttemptKey = std::pair<std::uint64_t, std::uint32_t>;

  asio::io_context& io_;
  RouterSettings settings_;
  WireFormat wire_format_;
  TableDecoders table_decoders_;
  RoutingState state_;
  std::map<std::string, SharedTableState> tables_;
  // The manifest that is about to come into force, as it was decoded to compare
  // it with the present one.
  std::optional<Manifest> decoded_manifest_;
  PeerExchange peers_;
  RouterMetrics metrics_;
  TunnelServer tunnels_;
  UnavailableTunnelPeers unavailable_tunnel_peers_;
  std::map<std::uint64_t, std::shared_ptr<RequestExchange>> exchanges_;
  std::map<AttemptKey, std::shared_ptr<EndpointAttempt>> attempts_;
  MemoryAccount memory_;
  std::vector<std::weak_ptr<CallerSession>> sessions_;
  std::shared_ptr<tcp::acceptor> acceptor_;
  std::vector<decltype(RoutingEvent::body)> pending_events_;
  bool reducing_ = false;
  std::uint64_t next_request_ = 1;
  std::uint64_t next_session_ = 1;
  CallerLimits default_limits_;
  Millis endpoints_polled_at_ = 0;
  bool is_polling_ = false;
  std::function<void()> on_stopped_;
};

}  // namespace peridotreach
