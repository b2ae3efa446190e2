#pragma once

// The connection of a router process to its peers, and what it knows of them.

#include <functional>
#include <map>
#include <string>

#include "libperidotreach/routing/peer_view.h"
#include "libperidotreach/routing/relays.h"
#include "runtime/control_link.h"
#include "runtime/http_client.h"

namespace peridotreach {

// Sends messages to peers by VM.
class PeerLink {
 public:
  using Handler = std::function<void(const proto::Envelope& message)>;

  PeerLink(asio::io_context& io, PeerRecord self);

  // Starts to listen for messages of peers. Returns the port.
  Result<std::uint16_t> start(const HttpTarget& listen, Handler handler);

  // Returns an envelope without a body, from this process.
  proto::Envelope make_envelope() const;

  // Sends to a known peer, over the connection on which it was heard last or
  // over one of this process's own.
  void send_to(const std::string& vm, const proto::Envelope& message,
               Millis now);

  // Sends to the process that listens on ADDRESS:PORT.
  void send_to_address(const std::string& address,
                       const proto::Envelope& message);

  // Computes the relays anew if that is due, or if `forced`. Returns whether
  // this process's own role changed.
  bool refresh_topology(Millis now, bool forced = false);

  // Closes connections to processes that have not been written to for long.
  void close_idle_connections(Millis now);

  // Sets this process's own status.
  void set_status(bool ready, bool stopping);

  const LocalPeer& local() const { return local_; }
  const PeerRecord& self() const { return local_.record; }
  const RelayTopology& topology() const { return topology_; }
  PeerView& view() { return view_; }
  const PeerView& view() const { return view_; }

 private:
  // A connection that a peer opened to this process.
  struct InboundConnection {
    std::string identity;
    Millis last_used_at = 0;
  };

  LocalPeer local_;
  ControlLink link_;
  PeerView view_;
  RelayTopology topology_;
  Millis topology_computed_at_ = 0;
  Millis connections_checked_at_ = 0;
  std::map<std::string, InboundConnection> inbound_;
};

}  // namespace peridotreach
