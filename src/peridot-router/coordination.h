#pragma once

// Messages between a router process and the coordinators of copy leases,
// placements and permits. This process may be either.

#include <functional>
#include <string>

#include "libperidotreach/routing/copy_leases.h"
#include "libperidotreach/routing/routing_effect.h"
#include "libperidotreach/routing/routing_event.h"

namespace peridotreach {

class PeerLink;

// TurnMessage is the message on copy leases, RoomMessage the one on placements.
namespace proto {
class PermitMessage;
class RoomMessage;
class TurnMessage;
}  // namespace proto

// Callbacks for messages on leases, placements and permits.
struct CoordinationHandlers {
  std::function<void(const CopyLeaseGranted&)> on_copy_lease_granted;
  std::function<void(const CopyLeaseQueued&)> on_copy_lease_queued;
  std::function<void(const PlacementRequested&)> on_placement_requested;
  std::function<void(const PlacementAnswered&)> on_placement_answered;
  std::function<void(const ForwardedPlacementGranted&)> on_forwarded_granted;
  std::function<void(const PermitsRequested&)> on_permits_requested;
  std::function<void(const PermitsAnswered&)> on_permits_answered;
};

// Requests leases and placements, and grants leases.
class Coordination {
 public:
  Coordination(PeerLink& link, CoordinationHandlers handlers);

  // Grants leases whose holders kept them for too long to the next ones.
  void expire_leases(Millis now);

  // Requests the lease for copying KV caches from an endpoint, or releases it.
  // The message goes to the process that coordinates the endpoint's leases.
  void request_copy_lease(const RequestCopyLease& effect, Millis now);
  void release_copy_lease(const ReleaseCopyLease& effect, Millis now);

  // Requests a placement from its coordinator, or answers the request of a
  // process that this one coordinates placements for.
  void request_placement(const RequestPlacement& effect, Millis now);
  void answer_placement(const AnswerPlacement& effect, Millis now);

  // Passes a process's request on to the coordinator of another cell.
  void forward_placement(const ForwardPlacement& effect, Millis now);

  // Requests permits for a limited endpoint from their coordinator, or answers
  // the request of a process that this one coordinates permits for.
  void request_permits(const RequestPermits& effect, Millis now);
  void answer_permits(const AnswerPermits& effect, Millis now);

  // Returns the VM that coordinates the copy leases and the permits of
  // `endpoint`.
  std::string lease_coordinator(const std::string& endpoint, Millis now) const;

  void handle_lease_message(const std::string& vm,
                            const proto::TurnMessage& lease, Millis now);
  void handle_placement_message(const std::string& vm,
                                const proto::RoomMessage& placement,
                                Millis now);
  void handle_permit_message(const std::string& vm,
                             const proto::PermitMessage& permits, Millis now);

 private:
  // `cell_zone` is empty for the cell of this process, which also serves zones
  // without a known relay.
  std::string placement_coordinator_of(const std::string& service,
                                       const std::string& cell_zone,
                                       Millis now) const;
  void notify_lease_granted(const GrantedCopyLease& granted, Millis now);
  void send_lease_message(const std::string& vm,
                          const proto::TurnMessage& lease, Millis now);
  void send_to_lease_coordinator(const proto::TurnMessage& lease, Millis now);

  PeerLink& link_;
  CoordinationHandlers handlers_;
  CopyLeaseTable copy_leases_;
};

}  // namespace peridotreach
