#include "peridot-router/peer_exchange.h"

#include <algorithm>
#include <utility>

#include "fleet.pb.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace peridotreach {
namespace {

// Breaks are told in hundredths.
constexpr double kHundredths = 100.0;

// Interval of heartbeats while nothing changes.
constexpr Millis kHeartbeat = 800;

// Shortest interval of digests; with more peers in the availability zone it
// grows, so that a process spends a bounded share of its time on them.
constexpr Millis kLeastInterval = 60;
constexpr Millis kIntervalPerPeer = 8;

// Interval of digests to other zones, whose endpoints are used less; with many
// peers there it grows too.
constexpr Millis kFarIntervalPerPeer = 15;

// A table may lag for this long while the store's own news is on its way.
constexpr Millis kTableLag = 200;

// Interval of questions for the same table.
constexpr Millis kAskInterval = 300;

void fill(proto::PeerCell& cell, const PeerRecord& record) {
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
    const std::string place = place_of(seed);
    if (place != self_.link_address) seeds_.push_back(place);
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
    const LocalDigest& own) const {
  proto::Envelope message = make_envelope();
  proto::RoutingDigest& digest = *message.mutable_digest();
  fill(*digest.mutable_self(), self_);
  digest.set_ready(own.ready);
  digest.set_stopping(own.stopping);
  digest.set_reads_store(own.store_reachable);
  digest.set_manifest_revision(handlers_.table(kManifestTable).revision);
  digest.set_endpoints_revision(handlers_.table(kEndpointTable).revision);
  for (const EndpointUsage& use : own.uses) {
    proto::EndpointUseCell& cell = *digest.add_uses();
    cell.set_endpoint(use.endpoint);
    cell.set_running(use.running_requests);
    cell.set_tokens(use.projected_tokens);
    cell.set_unread_tokens(use.pending_prefill_tokens);
    cell.set_copies(use.incoming_copies);
    cell.set_breaks(
        static_cast<std::uint32_t>(use.transport_failures * kHundredths));
  }
  for (const ServiceRetryCounts& counts : own.retry_counts) {
    proto::RepeatCell& cell = *digest.add_repeats();
    cell.set_service(counts.service);
    cell.set_requests(counts.requests);
    cell.set_repeats(counts.retries);
  }
  for (const FinishedOutput& output : own.finished_outputs) {
    proto::FinishedCell& cell = *digest.add_finished();
    cell.set_route(output.route);
    cell.set_generations(output.generations);
    cell.set_tokens(output.tokens);
  }
  for (const auto& [fingerprint, deaths] : own.suspects) {
    proto::SuspectCell& cell = *digest.add_suspects();
    cell.set_fingerprint(fingerprint);
    cell.set_deaths(deaths);
  }
  return message;
}

void PeerExchange::send(const std::string& link,
                        const proto::Envelope& message) {
  const Result<HttpTarget> target = parse_place(link);
  if (!ok(target)) return;
  link_.send(value(target).address, value(target).port, message);
}

void PeerExchange::tick(bool reads_store,
                        const std::function<LocalDigest()>& own, Millis now) {
  for (const std::string& vm : remove_expired_peers(view_, now)) {
    log(LogLevel::kInfo, "peer_forgotten", {{"peer", vm}});
    handlers_.on_peer_lost(vm);
  }
  for (const GrantedCopyLease& granted :
       expire_copy_leases(copy_leases_, now)) {
    notify_lease_granted(granted);
  }
  publish_table_changes(reads_store, now);
  Millis near = 0;
  for (const auto& [vm, peer] : view_.peers) {
    if (peer.record.zone == self_.zone) near += 1;
  }
  const Millis interval = std::max(kLeastInterval, kIntervalPerPeer * near);
  const Millis since = now - last_digest_at_;
  if (since < interval) return;
  const LocalDigest digest = own();
  const bool changed =
      !(digest == last_digest_) ||
      handlers_.table(kManifestTable).revision != last_manifest_revision_ ||
      handlers_.table(kEndpointTable).revision != last_endpoints_revision_;
  if (!changed && since < kHeartbeat) return;
  broadcast_digest(digest, now);
}

void PeerExchange::send_lease_message(const std::string& vm,
                                      const proto::TurnMessage& turn) {
  const auto peer = view_.peers.find(vm);
  if (peer == view_.peers.end()) return;
  proto::Envelope message = make_envelope();
  *message.mutable_turn() = turn;
  send(peer->second.record.link_address, message);
}

void PeerExchange::request_copy_lease(const RequestCopyLease& ask, Millis now) {
  proto::TurnMessage turn;
  turn.set_kind(proto::TurnMessage::ASK);
  turn.set_endpoint(ask.endpoint);
  turn.set_request(ask.request);
  send_to_lease_coordinator(turn, now);
}

void PeerExchange::release_copy_lease(const ReleaseCopyLease& end, Millis now) {
  proto::TurnMessage turn;
  turn.set_kind(proto::TurnMessage::END);
  turn.set_endpoint(end.endpoint);
  turn.set_request(end.request);
  send_to_lease_coordinator(turn, now);
}

void PeerExchange::send_to_lease_coordinator(const proto::TurnMessage& turn,
                                             Millis now) {
  const std::string keeper =
      copy_lease_coordinator(view_, self_.vm, turn.endpoint(), now);
  if (keeper != self_.vm) {
    send_lease_message(keeper, turn);
    return;
  }
  handle_lease_message(self_.vm, turn, now);
}

void PeerExchange::notify_lease_granted(const GrantedCopyLease& granted) {
  if (granted.holder.peer == self_.vm) {
    handlers_.on_copy_lease_granted(
        CopyLeaseGranted{granted.holder.request, granted.endpoint});
    return;
  }
  proto::TurnMessage turn;
  turn.set_kind(proto::TurnMessage::GRANTED);
  turn.set_endpoint(granted.endpoint);
  turn.set_request(granted.holder.request);
  send_lease_message(granted.holder.peer, turn);
}

// A message on turns: a wish that this process keeps, or an answer to one of
// its own.
void PeerExchange::handle_lease_message(const std::string& vm,
                                        const proto::TurnMessage& turn,
                                        Millis now) {
  const CopyRequester wish{vm, turn.request()};
  switch (turn.kind()) {
    case proto::TurnMessage::ASK: {
      if (peridotreach::request_copy_lease(copy_leases_, turn.endpoint(), wish,
                                           now)) {
        notify_lease_granted({turn.endpoint(), wish});
        return;
      }
      if (vm == self_.vm) {
        handlers_.on_copy_lease_queued(CopyLeaseQueued{turn.request()});
        return;
      }
      proto::TurnMessage queued = turn;
      queued.set_kind(proto::TurnMessage::QUEUED);
      send_lease_message(vm, queued);
      return;
    }
    case proto::TurnMessage::END: {
      const auto next = peridotreach::release_copy_lease(
          copy_leases_, turn.endpoint(), wish, now);
      if (next) notify_lease_granted(*next);
      return;
    }
    case proto::TurnMessage::GRANTED:
      handlers_.on_copy_lease_granted(
          CopyLeaseGranted{turn.request(), turn.endpoint()});
      return;
    case proto::TurnMessage::QUEUED:
      handlers_.on_copy_lease_queued(CopyLeaseQueued{turn.request()});
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

void PeerExchange::request_placement(const RequestPlacement& ask, Millis now) {
  const std::string keeper =
      placement_coordinator(view_, self_, ask.requirements.service, now);
  if (keeper == self_.vm) {
    handlers_.on_placement_requested(
        PlacementRequested{self_.vm, ask.request, ask.requirements});
    return;
  }
  proto::Envelope message = make_envelope();
  proto::RoomMessage& room = *message.mutable_room();
  room.set_request(ask.request);
  room.set_service(ask.requirements.service);
  room.set_tokens(ask.requirements.projected_tokens);
  room.set_unread_tokens(ask.requirements.prefill_tokens);
  room.set_rank(ask.requirements.rank);
  room.set_zone(ask.requirements.zone);
  room.set_is_late(ask.requirements.is_late);
  room.set_is_move(ask.requirements.is_move);
  for (const std::string& id : ask.requirements.excluded_endpoints)
    room.add_except(id);
  send(view_.peers.at(keeper).record.link_address, message);
}

void PeerExchange::answer_placement(const AnswerPlacement& answer) {
  if (answer.peer == self_.vm) {
    handlers_.on_placement_answered({answer.request, answer.endpoint});
    return;
  }
  const auto peer = view_.peers.find(answer.peer);
  if (peer == view_.peers.end()) return;
  proto::Envelope message = make_envelope();
  proto::RoomMessage& room = *message.mutable_room();
  room.set_is_answer(true);
  room.set_request(answer.request);
  room.set_endpoint(answer.endpoint);
  send(peer->second.record.link_address, message);
}

void PeerExchange::handle_placement_message(const std::string& vm,
                                            const proto::RoomMessage& room) {
  if (room.is_answer()) {
    handlers_.on_placement_answered({room.request(), room.endpoint()});
    return;
  }
  PlacementRequirements need{
      room.service(), room.tokens(),  room.unread_tokens(), room.rank(),
      room.zone(),    room.is_late(), room.is_move(),       {}};
  for (const std::string& id : room.except())
    need.excluded_endpoints.push_back(id);
  handlers_.on_placement_requested(
      PlacementRequested{vm, room.request(), need});
}

void PeerExchange::broadcast_digest(const LocalDigest& own, Millis now) {
  const proto::Envelope message = make_digest_message(own);
  bool any_heard = false;
  const auto peers = static_cast<Millis>(view_.peers.size());
  const bool is_urgent =
      own.stopping != last_digest_.stopping || own.ready != last_digest_.ready;
  const bool tells_far = is_urgent || now - last_cross_zone_digest_at_ >=
                                          kFarIntervalPerPeer * peers;
  if (tells_far) last_cross_zone_digest_at_ = now;
  for (const auto& [vm, peer] : view_.peers) {
    if (vm == self_.vm) continue;
    any_heard = any_heard || peer.last_heard_at != 0;
    if (!tells_far && peer.record.zone != self_.zone) continue;
    send(peer.record.link_address, message);
  }
  if (!any_heard) {
    for (const std::string& seed : seeds_) send(seed, message);
  }
  last_digest_ = own;
  last_digest_at_ = now;
  last_manifest_revision_ = handlers_.table(kManifestTable).revision;
  last_endpoints_revision_ = handlers_.table(kEndpointTable).revision;
}

void PeerExchange::handle_digest(const proto::RoutingDigest& digest,
                                 Millis now) {
  const PeerRecord record = record_of(digest.self());
  if (record.vm.empty() || record.vm == self_.vm) return;
  const PeerStatus condition{digest.ready(), digest.stopping(),
                             digest.reads_store()};
  const bool is_new = update_peer_status(view_, record, condition, now);
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
    proto::Envelope welcome = make_digest_message(last_digest_);
    for (const auto& [vm, peer] : view_.peers) {
      if (vm == record.vm || !is_alive(peer, now)) continue;
      fill(*welcome.mutable_digest()->add_peers(), peer.record);
    }
    send(record.link_address, welcome);
  }
  PeerReportReceived use;
  use.peer = record.vm;
  for (const proto::EndpointUseCell& cell : digest.uses()) {
    use.endpoint_usage.push_back({cell.endpoint(), cell.running(),
                                  cell.tokens(), cell.unread_tokens(),
                                  cell.copies(), cell.breaks() / kHundredths});
  }
  for (const proto::RepeatCell& cell : digest.repeats()) {
    use.retry_counts.push_back(
        {cell.service(), cell.requests(), cell.repeats()});
  }
  for (const proto::FinishedCell& cell : digest.finished()) {
    use.finished_outputs.push_back(
        {cell.route(), cell.generations(), cell.tokens()});
  }
  for (const proto::SuspectCell& cell : digest.suspects()) {
    use.suspects.emplace_back(cell.fingerprint(), cell.deaths());
  }
  handlers_.on_peer_use(use);
  request_table_if_behind(kManifestTable, digest.manifest_revision(),
                          record.link_address, now);
  request_table_if_behind(kEndpointTable, digest.endpoints_revision(),
                          record.link_address, now);
}

void PeerExchange::record_change(const std::string& table,
                                 const std::string& key, std::uint64_t before) {
  UnpublishedChanges& untold = unpublished_[table];
  if (untold.keys.empty()) untold.from_revision = before;
  untold.keys.insert(key);
}

void PeerExchange::publish_table_changes(bool reads_store, Millis now) {
  const bool follows = watches_tables(view_, self_, reads_store, now);
  for (auto& [name, untold] : unpublished_) {
    if (untold.keys.empty()) continue;
    const SharedTableState& table = handlers_.table(name);
    proto::Envelope message = make_envelope();
    proto::TableChange& change = *message.mutable_change();
    change.set_name(name);
    change.set_from_revision(untold.from_revision);
    change.set_revision(table.revision);
    for (const std::string& key : untold.keys) {
      const auto item = table.items.find(key);
      if (item == table.items.end()) {
        change.add_removed(key);
        continue;
      }
      proto::SharedItem& cell = *change.add_items();
      cell.set_key(key);
      cell.set_value(item->second);
    }
    untold.keys.clear();
    if (!follows) continue;
    for (const auto& [vm, peer] : view_.peers) {
      if (peer.record.zone != self_.zone) continue;
      send(peer.record.link_address, message);
    }
  }
}

void PeerExchange::handle_table_change(const proto::TableChange& change,
                                       const std::string& link, Millis now) {
  const std::uint64_t ours = handlers_.table(change.name()).revision;
  if (change.revision() <= ours) return;
  if (change.from_revision() > ours) {
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
                                           std::uint64_t theirs,
                                           const std::string& link,
                                           Millis now) {
  const std::uint64_t ours = handlers_.table(table).revision;
  if (theirs <= ours) return;
  TableLag& lag = table_lags_[table];
  if (lag.since == 0 || lag.revision != ours) lag = {ours, now, 0};
  // An empty table belongs to a process that has just started.
  if (ours != 0 && now - lag.since < kTableLag) return;
  if (lag.requested_at != 0 && now - lag.requested_at < kAskInterval) return;
  lag.requested_at = now;
  proto::Envelope question = make_envelope();
  question.set_table_wanted(table);
  send(link, question);
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
    proto::Envelope answer = make_envelope();
    proto::SharedTable& shared = *answer.mutable_table();
    shared.set_name(message.table_wanted());
    shared.set_revision(table.revision);
    for (const auto& [key, value] : table.items) {
      proto::SharedItem& item = *shared.add_items();
      item.set_key(key);
      item.set_value(value);
    }
    link_.reply(from, answer);
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
