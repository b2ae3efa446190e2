#include "peridot-router/coordination.h"

#include <utility>

#include "fleet.pb.h"
#include "libperidotreach/routing/peer_view.h"
#include "libperidotreach/routing/relays.h"
#include "peridot-router/endpoint_limit_cell.h"
#include "peridot-router/peer_link.h"

namespace peridotreach {

namespace {

void encode_placement(std::uint64_t request,
                      const PlacementRequirements& requirements,
                      proto::RoomMessage& message) {
  message.set_request(request);
  message.set_service(requirements.service);
  message.set_tokens(requirements.projected_tokens);
  message.set_unread_tokens(requirements.prefill_tokens);
  message.set_rank(requirements.rank);
  message.set_zone(requirements.zone);
  message.set_is_late(requirements.is_late);
  message.set_is_move(requirements.is_move);
  message.set_wait_left_ms(static_cast<std::uint64_t>(requirements.wait_left));
  message.set_until_late_ms(
      static_cast<std::uint64_t>(requirements.time_until_late));
  for (const std::string& id : requirements.excluded_endpoints)
    message.add_except(id);
}

PlacementRequirements decode_placement(const proto::RoomMessage& message) {
  PlacementRequirements requirements{message.service(),       message.tokens(),
                                     message.unread_tokens(), message.rank(),
                                     message.zone(),          message.is_late(),
                                     message.is_move(),       {}};
  for (const std::string& id : message.except())
    requirements.excluded_endpoints.push_back(id);
  requirements.wait_left = static_cast<Millis>(message.wait_left_ms());
  requirements.time_until_late = static_cast<Millis>(message.until_late_ms());
  return requirements;
}

}  // namespace

Coordination::Coordination(PeerLink& link, CoordinationHandlers handlers)
    : link_(link), handlers_(std::move(handlers)) {}

void Coordination::expire_leases(Millis now) {
  for (const GrantedCopyLease& granted : expire_copy_leases(copy_leases_, now))
    notify_lease_granted(granted, now);
}

std::string Coordination::lease_coordinator(const std::string& endpoint,
                                            Millis now) const {
  if (!link_.topology().uses_relays) {
    return copy_lease_coordinator(link_.view(), link_.self().vm, endpoint, now);
  }
  const std::string relay = relay_for(link_.topology(), endpoint);
  return relay.empty() ? link_.self().vm : relay;
}

std::string Coordination::placement_coordinator_of(const std::string& service,
                                                   const std::string& cell_zone,
                                                   Millis now) const {
  if (!link_.topology().uses_relays)
    return placement_coordinator(link_.view(), link_.self(), service, now);
  std::vector<std::string> relays = relays_of(link_.topology(), cell_zone);
  if (relays.empty()) relays = relays_of(link_.topology(), link_.self().zone);
  return relays.empty() ? link_.self().vm : relays.front();
}

void Coordination::send_lease_message(const std::string& vm,
                                      const proto::TurnMessage& lease,
                                      Millis now) {
  proto::Envelope message = link_.make_envelope();
  *message.mutable_turn() = lease;
  link_.send_to(vm, message, now);
}

void Coordination::request_copy_lease(const RequestCopyLease& effect,
                                      Millis now) {
  proto::TurnMessage lease;
  lease.set_kind(proto::TurnMessage::ASK);
  lease.set_endpoint(effect.endpoint);
  lease.set_request(effect.request);
  send_to_lease_coordinator(lease, now);
}

void Coordination::release_copy_lease(const ReleaseCopyLease& effect,
                                      Millis now) {
  proto::TurnMessage lease;
  lease.set_kind(proto::TurnMessage::END);
  lease.set_endpoint(effect.endpoint);
  lease.set_request(effect.request);
  send_to_lease_coordinator(lease, now);
}

void Coordination::send_to_lease_coordinator(const proto::TurnMessage& lease,
                                             Millis now) {
  const std::string coordinator = lease_coordinator(lease.endpoint(), now);
  if (coordinator != link_.self().vm) {
    send_lease_message(coordinator, lease, now);
    return;
  }
  handle_lease_message(link_.self().vm, lease, now);
}

void Coordination::notify_lease_granted(const GrantedCopyLease& granted,
                                        Millis now) {
  if (granted.holder.peer == link_.self().vm) {
    handlers_.on_copy_lease_granted(
        CopyLeaseGranted{granted.holder.request, granted.endpoint});
    return;
  }
  proto::TurnMessage lease;
  lease.set_kind(proto::TurnMessage::GRANTED);
  lease.set_endpoint(granted.endpoint);
  lease.set_request(granted.holder.request);
  send_lease_message(granted.holder.peer, lease, now);
}

// Handles a message on copy leases: a request to this process as coordinator,
// or the reply to one of its own requests.
void Coordination::handle_lease_message(const std::string& vm,
                                        const proto::TurnMessage& lease,
                                        Millis now) {
  const CopyRequester requester{vm, lease.request()};
  switch (lease.kind()) {
    case proto::TurnMessage::ASK: {
      if (peridotreach::request_copy_lease(copy_leases_, lease.endpoint(),
                                           requester, now)) {
        notify_lease_granted({lease.endpoint(), requester}, now);
        return;
      }
      if (vm == link_.self().vm) {
        handlers_.on_copy_lease_queued(CopyLeaseQueued{lease.request()});
        return;
      }
      proto::TurnMessage queued = lease;
      queued.set_kind(proto::TurnMessage::QUEUED);
      send_lease_message(vm, queued, now);
      return;
    }
    case proto::TurnMessage::END: {
      const auto next = peridotreach::release_copy_lease(
          copy_leases_, lease.endpoint(), requester, now);
      if (next) notify_lease_granted(*next, now);
      return;
    }
    case proto::TurnMessage::GRANTED:
      handlers_.on_copy_lease_granted(
          CopyLeaseGranted{lease.request(), lease.endpoint()});
      return;
    case proto::TurnMessage::QUEUED:
      handlers_.on_copy_lease_queued(CopyLeaseQueued{lease.request()});
      return;
    default:
      return;
  }
}

void Coordination::request_placement(const RequestPlacement& effect,
                                     Millis now) {
  const PlacementRequirements& requirements = effect.requirements;
  const std::string coordinator =
      placement_coordinator_of(requirements.service, effect.cell_zone, now);
  if (coordinator == link_.self().vm) {
    handlers_.on_placement_requested(PlacementRequested{
        link_.self().vm, effect.request, effect.requirements, ""});
    return;
  }
  proto::Envelope message = link_.make_envelope();
  encode_placement(effect.request, effect.requirements,
                   *message.mutable_room());
  link_.send_to(coordinator, message, now);
}

void Coordination::forward_placement(const ForwardPlacement& effect,
                                     Millis now) {
  const std::vector<std::string> relays =
      relays_of(link_.topology(), effect.zone);
  if (relays.empty()) return;
  proto::Envelope message = link_.make_envelope();
  encode_placement(effect.request, effect.requirements,
                   *message.mutable_room());
  message.mutable_room()->set_on_behalf_of(effect.peer);
  link_.send_to(relays.front(), message, now);
}

void Coordination::answer_placement(const AnswerPlacement& effect, Millis now) {
  if (effect.peer == link_.self().vm) {
    handlers_.on_placement_answered(
        {effect.request, effect.endpoint, effect.retry_after});
    return;
  }
  const bool goes_back = !effect.forwarded_by.empty();
  proto::Envelope message = link_.make_envelope();
  proto::RoomMessage& placement = *message.mutable_room();
  placement.set_is_answer(true);
  placement.set_request(effect.request);
  placement.set_endpoint(effect.endpoint);
  placement.set_retry_after_ms(static_cast<std::uint64_t>(effect.retry_after));
  if (goes_back) placement.set_on_behalf_of(effect.peer);
  link_.send_to(goes_back ? effect.forwarded_by : effect.peer, message, now);
}

void Coordination::handle_placement_message(const std::string& vm,
                                            const proto::RoomMessage& placement,
                                            Millis now) {
  const std::string& asker = placement.on_behalf_of();
  if (!placement.is_answer()) {
    const bool is_forwarded = !asker.empty();
    handlers_.on_placement_requested(PlacementRequested{
        is_forwarded ? asker : vm, placement.request(),
        decode_placement(placement), is_forwarded ? vm : std::string()});
    return;
  }
  if (!asker.empty())
    handlers_.on_forwarded_granted({asker, placement.request()});
  if (!asker.empty() && asker != link_.self().vm) {
    answer_placement({asker, placement.request(), placement.endpoint(), ""},
                     now);
    return;
  }
  handlers_.on_placement_answered(
      {placement.request(), placement.endpoint(),
       static_cast<Millis>(placement.retry_after_ms())});
}

void Coordination::request_permits(const RequestPermits& effect, Millis now) {
  const std::string coordinator = lease_coordinator(effect.endpoint, now);
  if (coordinator == link_.self().vm) {
    handlers_.on_permits_requested(
        {link_.self().vm, effect.endpoint, effect.count, effect.limit,
         effect.requested_at, live_share(link_.view(), now), effect.rejections,
         effect.held_slots});
    return;
  }
  proto::Envelope message = link_.make_envelope();
  proto::PermitMessage& request = *message.mutable_permits();
  request.set_count(effect.count);
  request.set_requested_at_ms(static_cast<std::uint64_t>(effect.requested_at));
  request.set_rejections(effect.rejections);
  request.set_held_slots(effect.held_slots);
  encode_limit({effect.endpoint, effect.limit}, now, *request.mutable_limit());
  link_.send_to(coordinator, message, now);
}

void Coordination::answer_permits(const AnswerPermits& effect, Millis now) {
  if (effect.peer == link_.self().vm) {
    handlers_.on_permits_answered(
        {effect.endpoint, effect.grant, effect.requested_at});
    return;
  }
  proto::Envelope message = link_.make_envelope();
  proto::PermitMessage& answer = *message.mutable_permits();
  answer.set_is_answer(true);
  answer.set_count(effect.grant.permits);
  answer.set_retry_after_ms(
      static_cast<std::uint32_t>(effect.grant.retry_after));
  answer.set_requested_at_ms(static_cast<std::uint64_t>(effect.requested_at));
  answer.mutable_limit()->set_endpoint(effect.endpoint);
  link_.send_to(effect.peer, message, now);
}

void Coordination::handle_permit_message(const std::string& vm,
                                         const proto::PermitMessage& permits,
                                         Millis now) {
  const auto requested_at = static_cast<Millis>(permits.requested_at_ms());
  if (permits.is_answer()) {
    handlers_.on_permits_answered(
        {permits.limit().endpoint(),
         {permits.count(), static_cast<Millis>(permits.retry_after_ms())},
         requested_at});
    return;
  }
  ObservedLimit known = decode_limit(permits.limit(), now);
  handlers_.on_permits_requested({vm, std::move(known.endpoint),
                                  permits.count(), known.limit, requested_at,
                                  live_share(link_.view(), now),
                                  permits.rejections(), permits.held_slots()});
}

}  // namespace peridotreach
