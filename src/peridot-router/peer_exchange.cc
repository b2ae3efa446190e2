#include "peridot-router/peer_exchange.h"

#include <algorithm>
#include <utility>

#include "fleet.pb.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace peridotreach {
namespace {

// Transport failures are sent in hundredths of a failure.
constexpr double kFailuresScale = 100.0;

// Interval of digests while nothing changes.
constexpr Millis kHeartbeatInterval = 800;

// Minimum interval between digests. It grows with the number of peers in the
// availability zone, so that a process spends a bounded share of its time on
// digests.
constexpr Millis kMinDigestInterval = 60;
constexpr Millis kDigestIntervalPerPeer = 8;

// Interval between digests to other zones, per known peer. It is longer because
// endpoints of other zones are used less.
constexpr Millis kCrossZoneIntervalPerPeer = 15;

// Time for which a table may be behind a peer's before it is requested from
// that peer: the change is usually still on its way from the store.
constexpr Millis kTableLagTolerance = 200;

// Minimum interval between requests for the same table.
constexpr Millis kTableRequestInterval = 300;

void fill_cell(proto::PeerCell& cell, const PeerRecord& record) {
  cell.set_vm(record.vm);
  cell.set_zone(record.zone);
  cell.set_link(record.link_address);
  cell.set_callers(record.caller_address);
  cell.set_incarnation(record.incarnation);
}

PeerRecord record_of(const proto::PeerCell& cell) {
  return {cell.vm(), cell.zone(), cell.link(), cell.callers(),
          cell.incarnation()};
}

}  // namespace

PeerExchange::PeerExchange(asio::io_context& io, PeerRecord self,
                           PeerHandlers handlers)
    : self_(std::move(self)), handlers_(std::move(handlers)), link_(io, {}) {}

Result<std::uint16_t> PeerExchange::start(
    const HttpTarget& link, const std::vector<HttpTarget>& seeds) {
  set_seeds(seeds);
  return link_.start(
      link.address, link.port,
      [this](const std::string& from, const proto::Envelope& message) {
        receive(from, message);
      });
}

void PeerExchange::set_seeds(const std::vector<HttpTarget>& seeds) {
  seeds_.clear();
  for (const HttpTarget& seed : seeds) {
    const std::string address = format_host_port(seed);
    if (address != self_.link_address) seeds_.push_back(address);
  }
}

proto::Envelope PeerExchange::make_envelope() const {
  proto::Envelope message;
  message.set_version(kEnvelopeVersion);
  message.set_vm(self_.vm);
  message.set_incarnation(self_.incarnation);
  return message;
}

proto::Envelope PeerExchange::make_digest_message(
    const LocalDigest& local) const {
  proto::Envelope message = make_envelope();
  proto::RoutingDigest& digest = *message.mutable_digest();
  fill_cell(*digest.mutable_self(), self_);
  digest.set_ready(local.ready);
  digest.set_stopping(local.stopping);
  digest.set_reads_store(local.store_reachable);
  digest.set_manifest_revision(handlers_.table(kManifestTable).revision);
  digest.set_endpoints_revision(handlers_.table(kEndpointTable).revision);
  for (const EndpointUsage& usage : local.endpoint_usage) {
    proto::EndpointUseCell& cell = *digest.add_uses();
    cell.set_endpoint(usage.endpoint);
    cell.set_running(usage.running_requests);
    cell.set_tokens(usage.projected_tokens);
    cell.set_unread_tokens(usage.pending_prefill_tokens);
    cell.set_copies(usage.incoming_copies);
    cell.set_breaks(
        static_cast<std::uint32_t>(usage.transport_failures * kFailuresScale));
  }
  for (const ServiceRetryCounts& counts : local.retry_counts) {
    proto::RepeatCell& cell = *digest.add_repeats();
    cell.set_service(counts.service);
    cell.set_requests(counts.requests);
    cell.set_repeats(counts.retries);
  }
  for (const FinishedOutput& output : local.finished_outputs) {
    proto::FinishedCell& cell = *digest.add_finished();
    cell.set_route(output.route);
    cell.set_generations(output.generations);
    cell.set_tokens(output.tokens);
  }
  for (const auto& [fingerprint, crashes] : local.suspects) {
    proto::SuspectCell& cell = *digest.add_suspects();
    cell.set_fingerprint(fingerprint);
    cell.set_deaths(crashes);
  }
  return message;
}

void PeerExchange::send(const std::string& link,
                        const proto::Envelope& message) {
  const Result<HttpTarget> target = parse_host_port(link);
  if (!ok(target)) return;
  link_.send(value(target).address, value(target).port, message);
}

void PeerExchange::tick(bool store_reachable,
                        const std::function<LocalDigest()>& make_digest,
                        Millis now) {
  for (const std::string& vm : remove_expired_peers(view_, now)) {
    log(LogLevel::kInfo, "peer_forgotten", {{"peer", vm}});
    handlers_.on_peer_lost(vm);
  }
  for (const GrantedCopyLease& granted :
       expire_copy_leases(copy_leases_, now)) {
    notify_lease_granted(granted);
  }
  publish_table_changes(store_reachable, now);
  Millis zone_peers = 0;
  for (const auto& [vm, peer] : view_.peers) {
    if (peer.record.zone == self_.zone) zone_peers += 1;
  }
  const Millis interval =
      std::max(kMinDigestInterval, kDigestIntervalPerPeer * zone_peers);
  const Millis elapsed = now - last_digest_at_;
  if (elapsed < interval) return;
  const LocalDigest digest = make_digest();
  const bool changed =
      !(digest == last_digest_) ||
      handlers_.table(kManifestTable).revision != last_manifest_revision_ ||
      handlers_.table(kEndpointTable).revision != last_endpoints_revision_;
  if (!changed && elapsed < kHeartbeatInterval) return;
  broadcast_digest(digest, now);
}

void PeerExchange::send_lease_message(const std::string& vm,
                                      const proto::TurnMessage& lease) {
  const auto peer = view_.peers.find(vm);
  if (peer == view_.peers.end()) return;
  proto::Envelope message = make_envelope();
  *message.mutable_turn() = lease;
  send(peer->second.record.link_address, message);
}

void PeerExchange::request_copy_lease(const RequestCopyLease& effect,
                                      Millis now) {
  proto::TurnMessage lease;
  lease.set_kind(proto::TurnMessage::ASK);
  lease.set_endpoint(effect.endpoint);
  lease.set_request(effect.request);
  send_to_lease_coordinator(lease, now);
}

void PeerExchange::release_copy_lease(const ReleaseCopyLease& effect,
                                      Millis now) {
  proto::TurnMessage lease;
  lease.set_kind(proto::TurnMessage::END);
  lease.set_endpoint(effect.endpoint);
  lease.set_request(effect.request);
  send_to_lease_coordinator(lease, now);
}

void PeerExchange::send_to_lease_coordinator(const proto::TurnMessage& lease,
                                             Millis now) {
  const std::string coordinator =
      copy_lease_coordinator(view_, self_.vm, lease.endpoint(), now);
  if (coordinator != self_.vm) {
    send_lease_message(coordinator, lease);
    return;
  }
  handle_lease_message(self_.vm, lease, now);
}

void PeerExchange::notify_lease_granted(const GrantedCopyLease& granted) {
  if (granted.holder.peer == self_.vm) {
    handlers_.on_copy_lease_granted(
        CopyLeaseGranted{granted.holder.request, granted.endpoint});
    return;
  }
  proto::TurnMessage lease;
  lease.set_kind(proto::TurnMessage::GRANTED);
  lease.set_endpoint(granted.endpoint);
  lease.set_request(granted.holder.request);
  send_lease_message(granted.holder.peer, lease);
}

// Handles a message on copy leases: a request to this process as coordinator,
// or the reply to one of its own requests.
void PeerExchange::handle_lease_message(const std::string& vm,
                                        const proto::TurnMessage& lease,
                                        Millis now) {
  const CopyRequester requester{vm, lease.request()};
  switch (lease.kind()) {
    case proto::TurnMessage::ASK: {
      if (peridotreach::request_copy_lease(copy_leases_, lease.endpoint(),
                                           requester, now)) {
        notify_lease_granted({lease.endpoint(), requester});
        return;
      }
      if (vm == self_.vm) {
        handlers_.on_copy_lease_queued(CopyLeaseQueued{lease.request()});
        return;
      }
      proto::TurnMessage queued = lease;
      queued.set_kind(proto::TurnMessage::QUEUED);
      send_lease_message(vm, queued);
      return;
    }
    case proto::TurnMessage::END: {
      const auto next = peridotreach::release_copy_lease(
          copy_leases_, lease.endpoint(), requester, now);
      if (next) notify_lease_granted(*next);
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

void PeerExchange::announce_endpoint_leaving(const std::string& endpoint) {
  proto::Envelope message = make_envelope();
  message.set_endpoint_leaving(endpoint);
  for (const auto& [vm, peer] : view_.peers) {
    if (vm != self_.vm) send(peer.record.link_address, message);
  }
}

bool PeerExchange::polls_endpoint(const std::string& endpoint,
                                  Millis now) const {
  return copy_lease_coordinator(view_, self_.vm, endpoint, now) == self_.vm;
}

void PeerExchange::request_placement(const RequestPlacement& effect,
                                     Millis now) {
  const std::string coordinator =
      placement_coordinator(view_, self_, effect.requirements.service, now);
  if (coordinator == self_.vm) {
    handlers_.on_placement_requested(
        PlacementRequested{self_.vm, effect.request, effect.requirements});
    return;
  }
  proto::Envelope message = make_envelope();
  proto::RoomMessage& placement = *message.mutable_room();
  placement.set_request(effect.request);
  placement.set_service(effect.requirements.service);
  placement.set_tokens(effect.requirements.projected_tokens);
  placement.set_unread_tokens(effect.requirements.prefill_tokens);
  placement.set_rank(effect.requirements.rank);
  placement.set_zone(effect.requirements.zone);
  placement.set_is_late(effect.requirements.is_late);
  placement.set_is_move(effect.requirements.is_move);
  for (const std::string& id : effect.requirements.excluded_endpoints)
    placement.add_except(id);
  send(view_.peers.at(coordinator).record.link_address, message);
}

void PeerExchange::answer_placement(const AnswerPlacement& effect) {
  if (effect.peer == self_.vm) {
    handlers_.on_placement_answered({effect.request, effect.endpoint});
    return;
  }
  const auto peer = view_.peers.find(effect.peer);
  if (peer == view_.peers.end()) return;
  proto::Envelope message = make_envelope();
  proto::RoomMessage& placement = *message.mutable_room();
  placement.set_is_answer(true);
  placement.set_request(effect.request);
  placement.set_endpoint(effect.endpoint);
  send(peer->second.record.link_address, message);
}

void PeerExchange::handle_placement_message(
    const std::string& vm, const proto::RoomMessage& placement) {
  if (placement.is_answer()) {
    handlers_.on_placement_answered(
        {placement.request(), placement.endpoint()});
    return;
  }
  PlacementRequirements requirements{
      placement.service(),       placement.tokens(),
      placement.unread_tokens(), placement.rank(),
      placement.zone(),          placement.is_late(),
      placement.is_move(),       {}};
  for (const std::string& id : placement.except())
    requirements.excluded_endpoints.push_back(id);
  handlers_.on_placement_requested(
      PlacementRequested{vm, placement.request(), requirements});
}

void PeerExchange::broadcast_digest(const LocalDigest& digest, Millis now) {
  const proto::Envelope message = make_digest_message(digest);
  bool any_peer_heard = false;
  const auto peers = static_cast<Millis>(view_.peers.size());
  const bool is_urgent = digest.stopping != last_digest_.stopping ||
                         digest.ready != last_digest_.ready;
  const bool include_other_zones =
      is_urgent ||
      now - last_cross_zone_digest_at_ >= kCrossZoneIntervalPerPeer * peers;
  if (include_other_zones) last_cross_zone_digest_at_ = now;
  for (const auto& [vm, peer] : view_.peers) {
    if (vm == self_.vm) continue;
    any_peer_heard = any_peer_heard || peer.last_heard_at != 0;
    if (!include_other_zones && peer.record.zone != self_.zone) continue;
    send(peer.record.link_address, message);
  }
  if (!any_peer_heard) {
    for (const std::string& seed : seeds_) send(seed, message);
  }
  last_digest_ = digest;
  last_digest_at_ = now;
  last_manifest_revision_ = handlers_.table(kManifestTable).revision;
  last_endpoints_revision_ = handlers_.table(kEndpointTable).revision;
}

void PeerExchange::handle_digest(const proto::RoutingDigest& digest,
                                 Millis now) {
  const PeerRecord record = record_of(digest.self());
  if (record.vm.empty() || record.vm == self_.vm) return;
  const PeerStatus status{digest.ready(), digest.stopping(),
                          digest.reads_store()};
  const bool is_new = update_peer_status(view_, record, status, now);
  for (const proto::PeerCell& cell : digest.peers()) {
    if (view_.peers.contains(cell.vm()) || cell.vm() == self_.vm) continue;
    PeerState& peer = view_.peers[cell.vm()];
    peer.record = record_of(cell);
    peer.first_known_at = now;
  }
  if (is_new) {
    log(LogLevel::kInfo, "peer_heard",
        {{"peer", record.vm},
         {"incarnation", std::to_string(record.incarnation)}});
    proto::Envelope reply = make_digest_message(last_digest_);
    for (const auto& [vm, peer] : view_.peers) {
      if (vm == record.vm || !is_alive(peer, now)) continue;
      fill_cell(*reply.mutable_digest()->add_peers(), peer.record);
    }
    send(record.link_address, reply);
  }
  PeerReportReceived report;
  report.peer = record.vm;
  for (const proto::EndpointUseCell& cell : digest.uses()) {
    report.endpoint_usage.push_back(
        {cell.endpoint(), cell.running(), cell.tokens(), cell.unread_tokens(),
         cell.copies(), cell.breaks() / kFailuresScale});
  }
  for (const proto::RepeatCell& cell : digest.repeats()) {
    report.retry_counts.push_back(
        {cell.service(), cell.requests(), cell.repeats()});
  }
  for (const proto::FinishedCell& cell : digest.finished()) {
    report.finished_outputs.push_back(
        {cell.route(), cell.generations(), cell.tokens()});
  }
  for (const proto::SuspectCell& cell : digest.suspects()) {
    report.suspects.emplace_back(cell.fingerprint(), cell.deaths());
  }
  handlers_.on_peer_report(report);
  request_table_if_behind(kManifestTable, digest.manifest_revision(),
                          record.link_address, now);
  request_table_if_behind(kEndpointTable, digest.endpoints_revision(),
                          record.link_address, now);
}

void PeerExchange::record_change(const std::string& table,
                                 const std::string& key,
                                 std::uint64_t previous_revision) {
  UnpublishedChanges& unpublished = unpublished_[table];
  if (unpublished.keys.empty()) unpublished.from_revision = previous_revision;
  unpublished.keys.insert(key);
}

void PeerExchange::publish_table_changes(bool store_reachable, Millis now) {
  const bool is_watcher = watches_tables(view_, self_, store_reachable, now);
  for (auto& [name, unpublished] : unpublished_) {
    if (unpublished.keys.empty()) continue;
    const SharedTableState& table = handlers_.table(name);
    proto::Envelope message = make_envelope();
    proto::TableChange& change = *message.mutable_change();
    change.set_name(name);
    change.set_from_revision(unpublished.from_revision);
    change.set_revision(table.revision);
    for (const std::string& key : unpublished.keys) {
      const auto item = table.items.find(key);
      if (item == table.items.end()) {
        change.add_removed(key);
        continue;
      }
      proto::SharedItem& cell = *change.add_items();
      cell.set_key(key);
      cell.set_value(item->second);
    }
    unpublished.keys.clear();
    if (!is_watcher) continue;
    for (const auto& [vm, peer] : view_.peers) {
      if (peer.record.zone != self_.zone) continue;
      send(peer.record.link_address, message);
    }
  }
}

void PeerExchange::handle_table_change(const proto::TableChange& change,
                                       const std::string& link, Millis now) {
  const std::uint64_t own_revision = handlers_.table(change.name()).revision;
  if (change.revision() <= own_revision) return;
  if (change.from_revision() > own_revision) {
    request_table_if_behind(change.name(), change.revision(), link, now);
    return;
  }
  for (const proto::SharedItem& item : change.items()) {
    handlers_.on_table_change(change.name(), item.key(), &item.value(),
                              change.revision());
  }
  for (const std::string& key : change.removed()) {
    handlers_.on_table_change(change.name(), key, nullptr, change.revision());
  }
}

void PeerExchange::request_table_if_behind(const std::string& table,
                                           std::uint64_t peer_revision,
                                           const std::string& link,
                                           Millis now) {
  const std::uint64_t own_revision = handlers_.table(table).revision;
  if (peer_revision <= own_revision) return;
  TableLag& lag = table_lags_[table];
  if (lag.since == 0 || lag.revision != own_revision)
    lag = {own_revision, now, 0};
  // An empty table means that this process has just started: it requests the
  // table without delay.
  if (own_revision != 0 && now - lag.since < kTableLagTolerance) return;
  if (lag.requested_at != 0 && now - lag.requested_at < kTableRequestInterval)
    return;
  lag.requested_at = now;
  proto::Envelope table_request = make_envelope();
  table_request.set_table_wanted(table);
  send(link, table_request);
}

void PeerExchange::receive(const std::string& from,
                           const proto::Envelope& message) {
  const Millis now = monotonic_now();
  if (message.has_digest()) {
    handle_digest(message.digest(), now);
    return;
  }
  if (message.body_case() == proto::Envelope::kTableWanted) {
    const SharedTableState& table = handlers_.table(message.table_wanted());
    proto::Envelope reply = make_envelope();
    proto::SharedTable& shared = *reply.mutable_table();
    shared.set_name(message.table_wanted());
    shared.set_revision(table.revision);
    for (const auto& [key, value] : table.items) {
      proto::SharedItem& item = *shared.add_items();
      item.set_key(key);
      item.set_value(value);
    }
    link_.reply(from, reply);
    return;
  }
  if (message.body_case() == proto::Envelope::kEndpointLeaving) {
    handlers_.on_endpoint_leaving(EndpointLeaving{message.endpoint_leaving()});
    return;
  }
  if (message.has_turn()) {
    handle_lease_message(message.vm(), message.turn(), now);
    return;
  }
  if (message.has_room()) {
    handle_placement_message(message.vm(), message.room());
    return;
  }
  if (message.has_change()) {
    const auto peer = view_.peers.find(message.vm());
    if (peer == view_.peers.end()) return;
    handle_table_change(message.change(), peer->second.record.link_address,
                        now);
    return;
  }
  if (!message.has_table()) return;
  SharedTableState table;
  table.revision = message.table().revision();
  for (const proto::SharedItem& item : message.table().items()) {
    table.items[item.key()] = item.value();
  }
  log(LogLevel::kInfo, "table_from_peer",
      {{"table", message.table().name()},
       {"peer", message.vm()},
       {"revision", std::to_string(table.revision)}});
  handlers_.on_table_snapshot(message.table().name(), table);
}

}  // namespace peridotreach
