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
  cell.set_link(record.link);
  cell.set_callers(record.callers);
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
    if (place != self_.link) seeds_.push_back(place);
  }
}

proto::Envelope PeerExchange::envelope() const {
  proto::Envelope message;
  message.set_version(kEnvelopeVersion);
  message.set_vm(self_.vm);
  message.set_incarnation(self_.incarnation);
  return message;
}

proto::Envelope PeerExchange::digest_of(const OwnDigest& own) const {
  proto::Envelope message = envelope();
  proto::RoutingDigest& digest = *message.mutable_digest();
  fill(*digest.mutable_self(), self_);
  digest.set_ready(own.ready);
  digest.set_stopping(own.stopping);
  digest.set_reads_store(own.reads_store);
  digest.set_manifest_revision(handlers_.table(kManifestTable).revision);
  digest.set_endpoints_revision(handlers_.table(kEndpointTable).revision);
  for (const EndpointUse& use : own.uses) {
    proto::EndpointUseCell& cell = *digest.add_uses();
    cell.set_endpoint(use.endpoint);
    cell.set_running(use.running);
    cell.set_tokens(use.tokens);
    cell.set_unread_tokens(use.unread_tokens);
    cell.set_copies(use.copies);
    cell.set_breaks(static_cast<std::uint32_t>(use.breaks * kHundredths));
  }
  for (const ServiceRepeats& counts : own.repeats) {
    proto::RepeatCell& cell = *digest.add_repeats();
    cell.set_service(counts.service);
    cell.set_requests(counts.requests);
    cell.set_repeats(counts.repeats);
  }
  for (const FinishedOutput& output : own.finished) {
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

void PeerExchange::tick(bool reads_store, const std::function<OwnDigest()>& own,
                        Millis now) {
  for (const std::string& vm : forget_peers(view_, now)) {
    log(LogLevel::kInfo, "peer_forgotten", {{"peer", vm}});
    handlers_.on_lost(vm);
  }
  for (const GrantedTurn& granted : expire_turns(turns_, now)) {
    tell_granted(granted);
  }
  push_changes(reads_store, now);
  Millis near = 0;
  for (const auto& [vm, peer] : view_.peers) {
    if (peer.record.zone == self_.zone) near += 1;
  }
  const Millis interval = std::max(kLeastInterval, kIntervalPerPeer * near);
  const Millis since = now - told_at_;
  if (since < interval) return;
  const OwnDigest digest = own();
  const bool changed =
      !(digest == told_) ||
      handlers_.table(kManifestTable).revision != told_manifest_ ||
      handlers_.table(kEndpointTable).revision != told_endpoints_;
  if (!changed && since < kHeartbeat) return;
  broadcast(digest, now);
}

void PeerExchange::send_turn(const std::string& vm,
                             const proto::TurnMessage& turn) {
  const auto peer = view_.peers.find(vm);
  if (peer == view_.peers.end()) return;
  proto::Envelope message = envelope();
  *message.mutable_turn() = turn;
  send(peer->second.record.link, message);
}

void PeerExchange::ask_turn(const AskTurn& ask, Millis now) {
  proto::TurnMessage turn;
  turn.set_kind(proto::TurnMessage::ASK);
  turn.set_endpoint(ask.endpoint);
  turn.set_request(ask.request);
  pass_to_keeper(turn, now);
}

void PeerExchange::end_turn(const EndTurn& end, Millis now) {
  proto::TurnMessage turn;
  turn.set_kind(proto::TurnMessage::END);
  turn.set_endpoint(end.endpoint);
  turn.set_request(end.request);
  pass_to_keeper(turn, now);
}

void PeerExchange::pass_to_keeper(const proto::TurnMessage& turn, Millis now) {
  const std::string keeper = turn_keeper(view_, self_.vm, turn.endpoint(), now);
  if (keeper != self_.vm) {
    send_turn(keeper, turn);
    return;
  }
  answer_turn(self_.vm, turn, now);
}

void PeerExchange::tell_granted(const GrantedTurn& granted) {
  if (granted.turn.peer == self_.vm) {
    handlers_.on_turn(TurnGranted{granted.turn.request, granted.endpoint});
    return;
  }
  proto::TurnMessage turn;
  turn.set_kind(proto::TurnMessage::GRANTED);
  turn.set_endpoint(granted.endpoint);
  turn.set_request(granted.turn.request);
  send_turn(granted.turn.peer, turn);
}

// A message on turns: a wish that this process keeps, or an answer to one of
// its own.
void PeerExchange::answer_turn(const std::string& vm,
                               const proto::TurnMessage& turn, Millis now) {
  const CopyTurn wish{vm, turn.request()};
  switch (turn.kind()) {
    case proto::TurnMessage::ASK: {
      if (peridotreach::ask_turn(turns_, turn.endpoint(), wish, now)) {
        tell_granted({turn.endpoint(), wish});
        return;
      }
      if (vm == self_.vm) {
        handlers_.on_queued(TurnQueued{turn.request()});
        return;
      }
      proto::TurnMessage queued = turn;
      queued.set_kind(proto::TurnMessage::QUEUED);
      send_turn(vm, queued);
      return;
    }
    case proto::TurnMessage::END: {
      const auto next =
          peridotreach::end_turn(turns_, turn.endpoint(), wish, now);
      if (next) tell_granted(*next);
      return;
    }
    case proto::TurnMessage::GRANTED:
      handlers_.on_turn(TurnGranted{turn.request(), turn.endpoint()});
      return;
    case proto::TurnMessage::QUEUED:
      handlers_.on_queued(TurnQueued{turn.request()});
      return;
    default:
      return;
  }
}

void PeerExchange::tell_notice(const std::string& endpoint) {
  proto::Envelope message = envelope();
  message.set_endpoint_leaving(endpoint);
  for (const auto& [vm, peer] : view_.peers) {
    if (vm != self_.vm) send(peer.record.link, message);
  }
}

bool PeerExchange::asks_endpoint(const std::string& endpoint,
                                 Millis now) const {
  return turn_keeper(view_, self_.vm, endpoint, now) == self_.vm;
}

void PeerExchange::ask_room(const AskRoom& ask, Millis now) {
  const std::string keeper = room_keeper(view_, self_, ask.need.service, now);
  if (keeper == self_.vm) {
    handlers_.on_room_asked(RoomAsked{self_.vm, ask.request, ask.need});
    return;
  }
  proto::Envelope message = envelope();
  proto::RoomMessage& room = *message.mutable_room();
  room.set_request(ask.request);
  room.set_service(ask.need.service);
  room.set_tokens(ask.need.tokens);
  room.set_unread_tokens(ask.need.unread_tokens);
  room.set_rank(ask.need.rank);
  room.set_zone(ask.need.zone);
  room.set_is_late(ask.need.is_late);
  room.set_is_move(ask.need.is_move);
  for (const std::string& id : ask.need.except) room.add_except(id);
  send(view_.peers.at(keeper).record.link, message);
}

void PeerExchange::answer_room(const AnswerRoom& answer) {
  if (answer.peer == self_.vm) {
    handlers_.on_room_answered({answer.request, answer.endpoint});
    return;
  }
  const auto peer = view_.peers.find(answer.peer);
  if (peer == view_.peers.end()) return;
  proto::Envelope message = envelope();
  proto::RoomMessage& room = *message.mutable_room();
  room.set_is_answer(true);
  room.set_request(answer.request);
  room.set_endpoint(answer.endpoint);
  send(peer->second.record.link, message);
}

void PeerExchange::take_room(const std::string& vm,
                             const proto::RoomMessage& room) {
  if (room.is_answer()) {
    handlers_.on_room_answered({room.request(), room.endpoint()});
    return;
  }
  RoomNeed need{
      room.service(), room.tokens(),  room.unread_tokens(), room.rank(),
      room.zone(),    room.is_late(), room.is_move(),       {}};
  for (const std::string& id : room.except()) need.except.push_back(id);
  handlers_.on_room_asked(RoomAsked{vm, room.request(), need});
}

void PeerExchange::broadcast(const OwnDigest& own, Millis now) {
  const proto::Envelope message = digest_of(own);
  bool any_heard = false;
  const auto peers = static_cast<Millis>(view_.peers.size());
  const bool is_urgent =
      own.stopping != told_.stopping || own.ready != told_.ready;
  const bool tells_far =
      is_urgent || now - told_far_ >= kFarIntervalPerPeer * peers;
  if (tells_far) told_far_ = now;
  for (const auto& [vm, peer] : view_.peers) {
    if (vm == self_.vm) continue;
    any_heard = any_heard || peer.heard != 0;
    if (!tells_far && peer.record.zone != self_.zone) continue;
    send(peer.record.link, message);
  }
  if (!any_heard) {
    for (const std::string& seed : seeds_) send(seed, message);
  }
  told_ = own;
  told_at_ = now;
  told_manifest_ = handlers_.table(kManifestTable).revision;
  told_endpoints_ = handlers_.table(kEndpointTable).revision;
}

void PeerExchange::hear(const proto::RoutingDigest& digest, Millis now) {
  const PeerRecord record = record_of(digest.self());
  if (record.vm.empty() || record.vm == self_.vm) return;
  const PeerCondition condition{digest.ready(), digest.stopping(),
                                digest.reads_store()};
  const bool is_new = hear_peer(view_, record, condition, now);
  for (const proto::PeerCell& cell : digest.peers()) {
    if (view_.peers.contains(cell.vm()) || cell.vm() == self_.vm) continue;
    PeerState& peer = view_.peers[cell.vm()];
    peer.record = record_of(cell);
    peer.first_known = now;
  }
  if (is_new) {
    log(LogLevel::kInfo, "peer_heard",
        {{"peer", record.vm},
         {"incarnation", std::to_string(record.incarnation)}});
    proto::Envelope welcome = digest_of(told_);
    for (const auto& [vm, peer] : view_.peers) {
      if (vm == record.vm || !is_alive(peer, now)) continue;
      fill(*welcome.mutable_digest()->add_peers(), peer.record);
    }
    send(record.link, welcome);
  }
  PeerUseArrived use;
  use.peer = record.vm;
  for (const proto::EndpointUseCell& cell : digest.uses()) {
    use.uses.push_back({cell.endpoint(), cell.running(), cell.tokens(),
                        cell.unread_tokens(), cell.copies(),
                        cell.breaks() / kHundredths});
  }
  for (const proto::RepeatCell& cell : digest.repeats()) {
    use.repeats.push_back({cell.service(), cell.requests(), cell.repeats()});
  }
  for (const proto::FinishedCell& cell : digest.finished()) {
    use.finished.push_back({cell.route(), cell.generations(), cell.tokens()});
  }
  for (const proto::SuspectCell& cell : digest.suspects()) {
    use.suspects.emplace_back(cell.fingerprint(), cell.deaths());
  }
  handlers_.on_use(use);
  catch_up(kManifestTable, digest.manifest_revision(), record.link, now);
  catch_up(kEndpointTable, digest.endpoints_revision(), record.link, now);
}

void PeerExchange::note_change(const std::string& table, const std::string& key,
                               std::uint64_t before) {
  UntoldChanges& untold = untold_[table];
  if (untold.keys.empty()) untold.from_revision = before;
  untold.keys.insert(key);
}

void PeerExchange::push_changes(bool reads_store, Millis now) {
  const bool follows = follows_tables(view_, self_, reads_store, now);
  for (auto& [name, untold] : untold_) {
    if (untold.keys.empty()) continue;
    const SharedTableState& table = handlers_.table(name);
    proto::Envelope message = envelope();
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
      send(peer.record.link, message);
    }
  }
}

void PeerExchange::take_change(const proto::TableChange& change,
                               const std::string& link, Millis now) {
  const std::uint64_t ours = handlers_.table(change.name()).revision;
  if (change.revision() <= ours) return;
  if (change.from_revision() > ours) {
    catch_up(change.name(), change.revision(), link, now);
    return;
  }
  for (const proto::SharedItem& item : change.items()) {
    handlers_.on_change(change.name(), item.key(), &item.value(),
                        change.revision());
  }
  for (const std::string& key : change.removed()) {
    handlers_.on_change(change.name(), key, nullptr, change.revision());
  }
}

void PeerExchange::catch_up(const std::string& table, std::uint64_t theirs,
                            const std::string& link, Millis now) {
  const std::uint64_t ours = handlers_.table(table).revision;
  if (theirs <= ours) return;
  TableLag& lag = lags_[table];
  if (lag.since == 0 || lag.revision != ours) lag = {ours, now, 0};
  // An empty table belongs to a process that has just started.
  if (ours != 0 && now - lag.since < kTableLag) return;
  if (lag.asked != 0 && now - lag.asked < kAskInterval) return;
  lag.asked = now;
  proto::Envelope question = envelope();
  question.set_table_wanted(table);
  send(link, question);
}

void PeerExchange::receive(const std::string& from,
                           const proto::Envelope& message) {
  const Millis now = monotonic_now();
  if (message.has_digest()) {
    hear(message.digest(), now);
    return;
  }
  if (message.body_case() == proto::Envelope::kTableWanted) {
    const SharedTableState& table = handlers_.table(message.table_wanted());
    proto::Envelope answer = envelope();
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
    handlers_.on_notice(EndpointNotice{message.endpoint_leaving()});
    return;
  }
  if (message.has_turn()) {
    answer_turn(message.vm(), message.turn(), now);
    return;
  }
  if (message.has_room()) {
    take_room(message.vm(), message.room());
    return;
  }
  if (message.has_change()) {
    const auto peer = view_.peers.find(message.vm());
    if (peer == view_.peers.end()) return;
    take_change(message.change(), peer->second.record.link, now);
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
  handlers_.on_table(message.table().name(), table);
}

}  // namespace peridotreach
