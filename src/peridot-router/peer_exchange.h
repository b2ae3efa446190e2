#pragma once

// What router processes tell each other: that they live, how they use
// endpoints, which versions of the shared tables they hold, and the tables
// themselves when one of them lags.

#include <functional>
#include <map>
#include <set>
#include <string>

#include "libperidotreach/routing/copy_leases.h"
#include "libperidotreach/routing/peer_view.h"
#include "libperidotreach/routing/routing_effect.h"
#include "libperidotreach/routing/routing_event.h"
#include "peridot-router/shared_table.h"
#include "runtime/control_link.h"
#include "runtime/http_client.h"

namespace peridotreach {

namespace proto {
class RoomMessage;
class RoutingDigest;
class TableChange;
class TurnMessage;
}  // namespace proto

// Names of the shared tables.
inline constexpr const char* kManifestTable = "manifest";
inline constexpr const char* kEndpointTable = "endpoints";

// What this process tells of itself.
struct LocalDigest {
  bool ready = false;
  bool stopping = false;
  bool store_reachable = true;
  std::vector<EndpointUsage> uses;
  std::vector<ServiceRetryCounts> retry_counts;
  std::vector<FinishedOutput> finished_outputs;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> suspects;

  bool operator==(const LocalDigest&) const = default;
};

// What a process does with what peers tell.
struct PeerHandlers {
  std::function<void(const PeerReportReceived&)> on_peer_use;
  std::function<void(const std::string& vm)> on_peer_lost;
  std::function<void(const CopyLeaseGranted&)> on_copy_lease_granted;
  std::function<void(const CopyLeaseQueued&)> on_copy_lease_queued;
  std::function<void(const EndpointLeaving&)> on_endpoint_leaving;
  std::function<void(const PlacementRequested&)> on_placement_requested;
  std::function<void(const PlacementAnswered&)> on_placement_answered;
  std::function<void(const std::string& table, const SharedTableState&)>
      on_table_snapshot;
  std::function<void(const std::string& table, const std::string& key,
                     const std::string* value, std::uint64_t revision)>
      on_table_change;
  std::function<const SharedTableState&(const std::string& table)> table;
};

// A table of ours that is behind a peer's.
struct TableLag {
  // Our revision when it was seen, and since when.
  std::uint64_t revision = 0;
  Millis since = 0;
  // When the table was last asked for; 0 if not yet.
  Millis requested_at = 0;

  bool operator==(const TableLag&) const = default;
};

// Changed keys of a table that peers have not been told yet.
struct UnpublishedChanges {
  std::uint64_t from_revision = 0;
  std::set<std::string> keys;
};

// The exchange of one process with its peers.
class PeerExchange {
 public:
  PeerExchange(asio::io_context& io, PeerRecord self, PeerHandlers handlers);

  // Listens for peers.
  Result<std::uint16_t> start(const HttpTarget& link,
                              const std::vector<HttpTarget>& seeds);

  // Where peers may be reached that the store does not list.
  void set_seeds(const std::vector<HttpTarget>& seeds);

  // Tells peers if something changed or a heartbeat is due. `own` is asked only
  // once the shortest interval is over.
  void tick(bool reads_store, const std::function<LocalDigest()>& own,
            Millis now);

  // A table changed by the store's news. Peers in the same availability zone
  // hear of it with the next tick if this process follows the store for them.
  void record_change(const std::string& table, const std::string& key,
                     std::uint64_t before);

  // Asks the keeper of the endpoint's turns for one, or gives it back.
  void request_copy_lease(const RequestCopyLease& ask, Millis now);
  void release_copy_lease(const ReleaseCopyLease& end, Millis now);

  // Asks the keeper of room, or answers a process that asked this one.
  void request_placement(const RequestPlacement& ask, Millis now);
  void answer_placement(const AnswerPlacement& answer);

  // Tells all peers that an endpoint leaves, as it said itself.
  void announce_endpoint_leaving(const std::string& endpoint);

  // Returns whether this process asks `endpoint` for its state while the store
  // is away.
  bool polls_endpoint(const std::string& endpoint, Millis now) const;

  PeerView& view() { return view_; }
  const PeerView& view() const { return view_; }
  const PeerRecord& self() const { return self_; }

 private:
  void receive(const std::string& from, const proto::Envelope& message);
  void handle_digest(const proto::RoutingDigest& digest, Millis now);
  void request_table_if_behind(const std::string& table, std::uint64_t theirs,
                               const std::string& link, Millis now);
  void send(const std::string& link, const proto::Envelope& message);
  void handle_lease_message(const std::string& vm,
                            const proto::TurnMessage& turn, Millis now);
  void handle_placement_message(const std::string& vm,
                                const proto::RoomMessage& room);
  void notify_lease_granted(const GrantedCopyLease& granted);
  void send_lease_message(const std::string& vm,
                          const proto::TurnMessage& turn);
  void send_to_lease_coordinator(const proto::TurnMessage& turn, Millis now);
  void publish_table_changes(bool reads_store, Millis now);
  void handle_table_change(const proto::TableChange& change,
                           const std::string& link, Millis now);
  void broadcast_digest(const LocalDigest& own, Millis now);
  proto::Envelope make_digest_message(const LocalDigest& own) const;
  proto::Envelope make_envelope() const;

  PeerRecord self_;
  PeerHandlers handlers_;
  ControlLink link_;
  PeerView view_;
  std::vector<std::string> seeds_;
  LocalDigest last_digest_;
  Millis last_digest_at_ = 0;
  std::uint64_t last_manifest_revision_ = 0;
  std::uint64_t last_endpoints_revision_ = 0;
  std::map<std::string, TableLag> table_lags_;
  std::map<std::string, UnpublishedChanges> unpublished_;
  Millis last_cross_zone_digest_at_ = 0;
  CopyLeaseTable copy_leases_;
};

}  // namespace peridotreach
