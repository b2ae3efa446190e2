#pragma once

// Digests between router processes: who is alive, the use of endpoints, and the
// revisions of the shared tables. In a small fleet all processes exchange
// digests with each other. In a large one they exchange them with the relays of
// their zone, and relays sum them up for each other (see relays.h).

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libperidotreach/routing/fleet_reports.h"
#include "libperidotreach/routing/routing_event.h"
#include "libperidotreach/routing/table_freshness.h"
#include "peridot-router/coordination.h"
#include "peridot-router/peer_digest.h"
#include "peridot-router/peer_link.h"
#include "peridot-router/table_exchange.h"

namespace peridotreach {

// State that this process publishes about itself.
struct LocalDigest {
  bool ready = false;
  bool stopping = false;
  bool store_reachable = true;
  PeerReportReceived report;
  PromptReport prompts;

  bool operator==(const LocalDigest&) const = default;
};

// Callbacks for messages from peers.
struct PeerHandlers {
  std::function<void(const PeerReportReceived&)> on_peer_report;
  std::function<void(const PromptReportReceived&)> on_prompt_report;
  std::function<void(const std::string& vm)> on_peer_lost;
  std::function<void(const EndpointLeaving&)> on_endpoint_leaving;
  // Whether the relay of this process reaches the store.
  std::function<void(bool is_reachable)> on_store_status;
  // The era of the store in which a peer has read a table.
  std::function<void(std::uint64_t era)> on_store_era;
  CoordinationHandlers coordination;
  TableHandlers tables;
};

// Sends and receives the messages between one process and its peers.
class PeerExchange {
 public:
  PeerExchange(asio::io_context& io, PeerRecord self, PeerHandlers handlers);

  // Starts to listen for messages of peers. Returns the port.
  Result<std::uint16_t> start(const HttpTarget& listen,
                              const std::vector<HttpTarget>& seeds);

  // Sets the addresses at which peers may be reached without the store. They
  // are used while no peer is heard from.
  void set_seeds(const std::vector<HttpTarget>& seeds);

  // Sends table changes and, if the state has changed or a heartbeat is due, a
  // digest. Calls `make_digest` only after the minimum interval has passed.
  void tick(bool store_reachable,
            const std::function<LocalDigest()>& make_digest, Millis now);

  // Notifies peers that an endpoint has reported that it is leaving.
  void announce_endpoint_leaving(const std::string& endpoint, Millis now);

  // Returns whether this process polls the state of `endpoint` while the store
  // may not bring its notice.
  bool polls_endpoint(const std::string& endpoint, Millis now) const;

  // Returns the age of the newest confirmation of the tables, by this process
  // or a peer; none if there was none.
  std::optional<Millis> confirmation_age(Millis now) const;

  // Returns whether this process watches the frequently changing tables of the
  // store and forwards their changes to others.
  bool watches_tables(bool store_reachable, Millis now) const;

  // Records whether a call of this process to the store has succeeded.
  void record_store_call(bool succeeded, bool store_reachable, Millis now);

  // Returns whether this process has to use the store itself: in a large fleet
  // relays do, and processes for which no peer has confirmed the tables.
  bool needs_store(Millis now) const;

  // Returns whether this process has to be registered in the store: in a large
  // fleet relays are, and processes that no relay answers.
  bool needs_registration(Millis now) const;

  Coordination& coordination() { return coordination_; }
  TableExchange& tables() { return tables_; }
  PeerView& view() { return link_.view(); }
  const PeerView& view() const { return link_.view(); }
  const RelayTopology& topology() const { return link_.topology(); }
  const PeerRecord& self() const { return link_.self(); }

 private:
  void receive(const proto::Envelope& message);
  void handle_digest(const PeerDigest& digest, Millis now);
  void handle_new_peer(const PeerDigest& digest, Millis now);
  void handle_endpoint_leaving(const std::string& sender,
                               const std::string& endpoint, Millis now);
  void accept_report(const PeerDigest& digest, Millis now);
  void accept_zone_lists(const PeerDigest& digest, Millis now);
  void remove_report(const std::string& name);
  void remove_stale_peers(Millis now);
  void change_role(Millis now);

  void tick_all_to_all(const std::function<LocalDigest()>& make_digest,
                       Millis now);
  void broadcast_digest(Millis now);
  void tick_relays(const std::function<LocalDigest()>& make_digest, Millis now);
  void report_to_relays(bool changed, bool urgent, Millis now);
  void send_zone_digest(Millis now);
  void probe_silent_peers(Millis now);
  void find_first_peers(Millis now);
  void answer_digest(const PeerDigest& digest, Millis now);
  void send_digest(const std::string& vm, const PeerDigest& digest, Millis now);

  Millis max_confirmation_age() const;
  void log_confirmation(Millis now);
  PeerDigest own_digest() const;
  PeerDigest zone_digest(Millis now) const;
  PeerDigest fleet_digest(const PeerDigest& asked, Millis now) const;
  std::vector<ZoneMember> peers_to_introduce(const std::string& zone,
                                             Millis now) const;

  PeerHandlers handlers_;
  PeerLink link_;
  TableExchange tables_;
  Coordination coordination_;
  std::vector<std::string> seeds_;
  LocalDigest last_digest_;
  Millis started_at_ = 0;
  Millis last_digest_at_ = 0;
  Millis last_heartbeat_at_ = 0;
  Millis last_cross_zone_digest_at_ = 0;
  Millis last_relay_answer_at_ = 0;
  Millis last_introduction_at_ = 0;
  Millis last_probe_at_ = 0;
  std::string last_probed_;
  TableFreshness freshness_;
  bool tables_confirmed_ = false;
  Millis last_own_confirmation_ = 0;
  StoreRevision last_manifest_revision_;
  StoreRevision last_endpoints_revision_;
  PeerDigest last_zone_digest_;
  Millis last_zone_digest_at_ = 0;
  Millis last_complete_list_at_ = 0;
  FleetReports reports_;
};

}  // namespace peridotreach
