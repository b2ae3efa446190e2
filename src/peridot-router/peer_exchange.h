#pragma once

// What router processes tell each other: that they live, how they use
// endpoints, which versions of the shared tables they hold, and the tables
// themselves when one of them lags.

#include <functional>
#include <map>
#include <set>
#include <string>

#include "libperidotreach/routing/copy_turns.h"
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
struct OwnDigest {
  bool ready = false;
  bool stopping = false;
  bool reads_store = true;
  std::vector<EndpointUse> uses;
  std::vector<ServiceRepeats> repeats;
  std::vector<FinishedOutput> finished;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> suspects;

  bool operator==(const OwnDigest&) const = default;
};

// What a process does with what peers tell.
struct PeerHandlers {
  std::function<void(const PeerUseArrived&)> on_use;
  std::function<void(const std::string& vm)> on_lost;
  std::function<void(const TurnGranted&)> on_turn;
  std::function<void(const TurnQueued&)> on_queued;
  std::function<void(const EndpointNotice&)> on_notice;
  std::function<void(const RoomAsked&)> on_room_asked;
  std::function<void(const RoomAnswered&)> on_room_answered;
  std::function<void(const std::string& table, const SharedTableState&)>
      on_table;
  std::function<void(const std::string& table, const std::string& key,
                     const std::string* value, std::uint64_t revision)>
      on_change;
  std::function<const SharedTableState&(const std::string& table)> table;
};

// A table of ours that is behind a peer's.
struct TableLag {
  // Our revision when it was seen, and since when.
  std::uint64_t revision = 0;
  Millis since = 0;
  // When the table was last asked for; 0 if not yet.
  Millis asked = 0;

  bool operator==(const TableLag&) const = default;
};

// Changed keys of a table that peers have not been told yet.
struct UntoldChanges {
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
  void tick(bool reads_store, const std::function<OwnDigest()>& own,
            Millis now);

  // A table changed by the store's news. Peers in the same availability zone
  // hear of it with the next tick if this process follows the store for them.
  void note_change(const std::string& table, const std::string& key,
                   std::uint64_t before);

  // Asks the keeper of the endpoint's turns for one, or gives it back.
  void ask_turn(const AskTurn& ask, Millis now);
  void end_turn(const EndTurn& end, Millis now);

  // Asks the keeper of room, or answers a process that asked this one.
  void ask_room(const AskRoom& ask, Millis now);
  void answer_room(const AnswerRoom& answer);

  // Tells all peers that an endpoint leaves, as it said itself.
  void tell_notice(const std::string& endpoint);

  // Returns whether this process asks `endpoint` for its state while the store
  // is away.
  bool asks_endpoint(const std::string& endpoint, Millis now) const;

  PeerView& view() { return view_; }
  const PeerView& view() const { return view_; }
  const PeerRecord& self() const { return self_; }

 private:
  void receive(const std::string& from, const proto::Envelope& message);
  void hear(const proto::RoutingDigest& digest, Millis now);
  void catch_up(const std::string& table, std::uint64_t theirs,
                const std::string& link, Millis now);
  void send(const std::string& link, const proto::Envelope& message);
  void answer_turn(const std::string& vm, const proto::TurnMessage& turn,
                   Millis now);
  void take_room(const std::string& vm, const proto::RoomMessage& room);
  void tell_granted(const GrantedTurn& granted);
  void send_turn(const std::string& vm, const proto::TurnMessage& turn);
  void pass_to_keeper(const proto::TurnMessage& turn, Millis now);
  void push_changes(bool reads_store, Millis now);
  void take_change(const proto::TableChange& change, const std::string& link,
                   Millis now);
  void broadcast(const OwnDigest& own, Millis now);
  proto::Envelope digest_of(const OwnDigest& own) const;
  proto::Envelope envelope() const;

  PeerRecord self_;
  PeerHandlers handlers_;
  ControlLink link_;
  PeerView view_;
  std::vector<std::string> seeds_;
  OwnDigest told_;
  Millis told_at_ = 0;
  std::uint64_t told_manifest_ = 0;
  std::uint64_t told_endpoints_ = 0;
  std::map<std::string, TableLag> lags_;
  std::map<std::string, UntoldChanges> untold_;
  Millis told_far_ = 0;
  TurnBook turns_;
};

}  // namespace peridotreach
