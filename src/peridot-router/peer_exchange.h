#pragma once

// Communication between router processes. They exchange heartbeats, their use
// of endpoints, the revisions of their shared tables, and the tables themselves
// when one process is behind.

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

// TurnMessage is the message on copy leases, RoomMessage the one on placements.
namespace proto {
class RoomMessage;
class RoutingDigest;
class TableChange;
class TurnMessage;
}  // namespace proto

// Names of the shared tables.
inline constexpr const char* kManifestTable = "manifest";
inline constexpr const char* kEndpointTable = "endpoints";

// State that this process publishes about itself.
struct LocalDigest {
  bool ready = false;
  bool stopping = false;
  bool store_reachable = true;
  std::vector<EndpointUsage> endpoint_usage;
  std::vector<ServiceRetryCounts> retry_counts;
  std::vector<FinishedOutput> finished_outputs;
  // Fingerprints of requests suspected of crashing endpoints, with the number
  // of crashes.
  std::vector<std::pair<std::uint64_t, std::uint32_t>> suspects;

  bool operator==(const LocalDigest&) const = default;
};

// Callbacks for messages from peers.
struct PeerHandlers {
  std::function<void(const PeerReportReceived&)> on_peer_report;
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
  // Returns this process's copy of a shared table.
  std::function<const SharedTableState&(const std::string& table)> table;
};

// A local table that is behind a peer's copy.
struct TableLag {
  // Local revision when the lag was noticed, and the time of that.
  std::uint64_t revision = 0;
  Millis since = 0;
  // Time of the last request for the table; 0 if there was none.
  Millis requested_at = 0;

  bool operator==(const TableLag&) const = default;
};

// Changed keys of a table that have not been sent to peers yet.
struct UnpublishedChanges {
  std::uint64_t from_revision = 0;
  std::set<std::string> keys;
};

// Sends and receives the messages between one process and its peers.
class PeerExchange {
 public:
  PeerExchange(asio::io_context& io, PeerRecord self, PeerHandlers handlers);

  // Starts to listen for messages of peers. Returns the port.
  Result<std::uint16_t> start(const HttpTarget& link,
                              const std::vector<HttpTarget>& seeds);

  // Sets the addresses at which peers may be reached without the store. They
  // are used until a first peer has been heard from.
  void set_seeds(const std::vector<HttpTarget>& seeds);

  // Sends table changes and, if the state has changed or a heartbeat is due, a
  // digest. Calls `make_digest` only after the minimum interval has passed.
  void tick(bool store_reachable,
            const std::function<LocalDigest()>& make_digest, Millis now);

  // Records a table change that was read from the store. The next tick sends it
  // to peers in the same availability zone if this process watches the store
  // for them.
  void record_change(const std::string& table, const std::string& key,
                     std::uint64_t previous_revision);

  // Requests the lease for copying KV caches from an endpoint, or releases it.
  // The message goes to the process that coordinates the endpoint's leases.
  void request_copy_lease(const RequestCopyLease& effect, Millis now);
  void release_copy_lease(const ReleaseCopyLease& effect, Millis now);

  // Requests a placement from its coordinator, or answers the request of a
  // process that this one coordinates placements for.
  void request_placement(const RequestPlacement& effect, Millis now);
  void answer_placement(const AnswerPlacement& effect);

  // Notifies all peers that an endpoint has reported that it is leaving.
  void announce_endpoint_leaving(const std::string& endpoint);

  // Returns whether this process polls the state of `endpoint` while the store
  // is unreachable.
  bool polls_endpoint(const std::string& endpoint, Millis now) const;

  PeerView& view() { return view_; }
  const PeerView& view() const { return view_; }
  const PeerRecord& self() const { return self_; }

 private:
  void receive(const std::string& from, const proto::Envelope& message);
  void handle_digest(const proto::RoutingDigest& digest, Millis now);
  void request_table_if_behind(const std::string& table,
                               std::uint64_t peer_revision,
                               const std::string& link, Millis now);
  void send(const std::string& link, const proto::Envelope& message);
  void handle_lease_message(const std::string& vm,
                            const proto::TurnMessage& lease, Millis now);
  void handle_placement_message(const std::string& vm,
                                const proto::RoomMessage& placement);
  void notify_lease_granted(const GrantedCopyLease& granted);
  void send_lease_message(const std::string& vm,
                          const proto::TurnMessage& lease);
  void send_to_lease_coordinator(const proto::TurnMessage& lease, Millis now);
  void publish_table_changes(bool store_reachable, Millis now);
  void handle_table_change(const proto::TableChange& change,
                           const std::string& link, Millis now);
  void broadcast_digest(const LocalDigest& digest, Millis now);
  proto::Envelope make_digest_message(const LocalDigest& local) const;
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
