#include "peridot-router/peer_exchange.h"

#include <algorithm>
#include <utility>

#include "fleet.pb.h"
#include "libperidotreach/routing/zone_members.h"
#include "peridot-router/digest_codec.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace peridotreach {
namespace {

// Interval of digests while nothing changes.
constexpr Millis kHeartbeatInterval = 800;

// The same for a process that has just started, so that it soon knows the
// fleet.
constexpr Millis kStartHeartbeatInterval = 120;
constexpr Millis kStartPeriod = 2 * kSecond;

// Minimum interval between digests to all processes. It grows with the number
// of peers in the availability zone, so that a process spends a bounded share
// of its time on digests.
constexpr Millis kMinDigestInterval = 60;
constexpr Millis kDigestIntervalPerPeer = 8;

// Interval between digests to other zones, per known peer. It is longer because
// endpoints of other zones are used less.
constexpr Millis kCrossZoneIntervalPerPeer = 15;

// Minimum interval between digests to a relay, and between relays.
constexpr Millis kMinRelayDigestInterval = 100;
constexpr Millis kZoneDigestInterval = 250;

// Interval at which relays send the complete list of their zone even if it has
// not changed, as a message may have been lost.
constexpr Millis kCompleteListInterval = 2 * kSecond;

// Silence of the relays after which a process looks for peers by its seeds and
// the store's registrations.
constexpr Millis kRelaySilence = 2 * kSecond;
constexpr Millis kIntroductionInterval = 400;

// Interval at which a relay writes to silent peers, and how many it writes to.
constexpr Millis kProbeInterval = kSecond;
constexpr std::size_t kProbesAtOnce = 2;

// Peers out of the store's registrations that are written to at once while no
// peer has been heard from.
constexpr std::size_t kMaxUnheardPeers = 8;

// Crashes of other processes from which a request is reported to a process,
// which rejects it if it saw one more itself.
constexpr std::uint32_t kMinReportedCrashes = 2;

}  // namespace

PeerExchange::PeerExchange(asio::io_context& io, PeerRecord self,
                           PeerHandlers handlers)
    : handlers_(std::move(handlers)),
      link_(io, std::move(self)),
      tables_(link_, handlers_.tables),
      coordination_(link_, handlers_.coordination) {}

Result<std::uint16_t> PeerExchange::start(
    const HttpTarget& listen, const std::vector<HttpTarget>& seeds) {
  set_seeds(seeds);
  return link_.start(
      listen, [this](const proto::Envelope& message) { receive(message); });
}

void PeerExchange::set_seeds(const std::vector<HttpTarget>& seeds) {
  seeds_.clear();
  for (const HttpTarget& seed : seeds) {
    const std::string address = format_host_port(seed);
    if (address != self().link_address) seeds_.push_back(address);
  }
}

bool PeerExchange::polls_endpoint(const std::string& endpoint,
                                  Millis now) const {
  return coordination_.lease_coordinator(endpoint, now) == self().vm;
}

std::optional<Millis> PeerExchange::confirmation_age(Millis now) const {
  const Millis at = confirmed_at(freshness_);
  if (at == 0) return std::nullopt;
  return now - at;
}

// Confirmations reach a process that relays serve with their heartbeats.
Millis PeerExchange::max_confirmation_age() const {
  const bool is_served = topology().uses_relays && !topology().is_relay;
  return kMaxConfirmationAge + (is_served ? kHeartbeatInterval : 0);
}

void PeerExchange::record_store_call(bool succeeded, bool store_reachable,
                                     Millis now) {
  if (succeeded && !watches_tables(store_reachable, now)) return;
  record_own_call(freshness_, succeeded, now);
}

bool PeerExchange::watches_tables(bool store_reachable, Millis now) const {
  if (!is_confirmed_by_peers(freshness_, max_confirmation_age(), now))
    return true;
  if (topology().uses_relays)
    return relay_watches_tables(topology(), view(), self().vm, store_reachable);
  return peridotreach::watches_tables(view(), self(), store_reachable, now);
}

bool PeerExchange::needs_store(Millis now) const {
  return needs_registration(now) ||
         has_to_read_store(freshness_, max_confirmation_age(), now);
}

bool PeerExchange::needs_registration(Millis now) const {
  if (!topology().uses_relays || topology().is_relay) return true;
  return now - last_relay_answer_at_ > kRelaySilence + kHeartbeatInterval;
}

void PeerExchange::log_confirmation(Millis now) {
  const bool confirmed =
      is_confirmed_by_peers(freshness_, max_confirmation_age(), now);
  if (confirmed == tables_confirmed_) return;
  tables_confirmed_ = confirmed;
  log(confirmed ? LogLevel::kInfo : LogLevel::kWarning,
      confirmed ? "tables_confirmed" : "tables_unconfirmed",
      {{"age_ms", std::to_string(now - confirmed_by_peers_at(freshness_))}});
}

void PeerExchange::tick(bool store_reachable,
                        const std::function<LocalDigest()>& make_digest,
                        Millis now) {
  remove_stale_peers(now);
  coordination_.expire_leases(now);
  const std::vector<std::string> silent = mark_unresponsive(view(), now);
  for (const std::string& vm : silent)
    log(LogLevel::kWarning, "relay_unresponsive", {{"peer", vm}});
  if (link_.refresh_topology(now, !silent.empty())) change_role(now);
  log_confirmation(now);
  tables_.publish_changes(store_reachable, now);
  tables_.request_missing(now);
  link_.close_idle_connections(now);
  if (topology().uses_relays) {
    tick_relays(make_digest, now);
  } else {
    tick_all_to_all(make_digest, now);
  }
}

void PeerExchange::remove_stale_peers(Millis now) {
  for (const std::string& vm : remove_expired_peers(view(), now)) {
    log(LogLevel::kInfo, "peer_forgotten", {{"peer", vm}});
    remove_report(vm);
  }
  for (const std::string& name : remove_expired_reports(reports_, now)) {
    log(LogLevel::kInfo, "report_expired", {{"peer", name}});
    handlers_.on_peer_lost(name);
  }
}

void PeerExchange::remove_report(const std::string& name) {
  if (reports_.by_name.erase(name) > 0) handlers_.on_peer_lost(name);
}

// A process that becomes or ceases to be a relay counts other reports than
// before, so none is counted twice.
void PeerExchange::change_role(Millis now) {
  log(LogLevel::kInfo, "relay_role_changed",
      {{"uses_relays", topology().uses_relays ? "true" : "false"},
       {"is_relay", topology().is_relay ? "true" : "false"},
       {"peers", std::to_string(view().peers.size())}});
  for (const std::string& name :
       remove_uncounted(reports_, topology(), view(), self())) {
    handlers_.on_peer_lost(name);
  }
  last_relay_answer_at_ = now;
  if (!topology().is_relay) return;
  // The members report to this process soon. Until then they count as alive if
  // they were so before.
  for (auto& [vm, peer] : view().peers) {
    if (peer.record.zone == self().zone && is_alive(peer, now))
      peer.reported_alive_at = now;
  }
}

void PeerExchange::send_digest(const std::string& vm, const PeerDigest& digest,
                               Millis now) {
  proto::Envelope message = link_.make_envelope();
  encode_digest(digest, now, *message.mutable_digest());
  link_.send_to(vm, message, now);
}

PeerDigest PeerExchange::own_digest() const {
  PeerDigest digest;
  digest.self = self();
  digest.status = {last_digest_.ready, last_digest_.stopping,
                   last_digest_.store_reachable};
  digest.manifest_revision = tables_.revision(kManifestTable);
  digest.endpoints_revision = tables_.revision(kEndpointTable);
  digest.report = last_digest_.report;
  digest.prompts = last_digest_.prompts;
  digest.confirmations = newest_confirmations(freshness_, self().vm);
  return digest;
}

void PeerExchange::tick_all_to_all(
    const std::function<LocalDigest()>& make_digest, Millis now) {
  Millis zone_peers = 0;
  for (const auto& [vm, peer] : view().peers) {
    if (peer.record.zone == self().zone) zone_peers += 1;
  }
  if (started_at_ == 0) started_at_ = now;
  const bool is_starting = now - started_at_ < kStartPeriod;
  const Millis heartbeat_interval =
      is_starting ? kStartHeartbeatInterval : kHeartbeatInterval;
  const Millis interval =
      std::max(kMinDigestInterval, kDigestIntervalPerPeer * zone_peers);
  const Millis elapsed = now - last_digest_at_;
  if (elapsed < interval) return;
  const LocalDigest earlier = std::exchange(last_digest_, make_digest());
  link_.set_status(last_digest_.ready, last_digest_.stopping);
  const bool changed =
      !(earlier == last_digest_) ||
      freshness_.own_at > last_own_confirmation_ ||
      tables_.revision(kManifestTable) != last_manifest_revision_ ||
      tables_.revision(kEndpointTable) != last_endpoints_revision_;
  if (!changed && elapsed < heartbeat_interval) return;
  const bool is_urgent = earlier.stopping != last_digest_.stopping ||
                         earlier.ready != last_digest_.ready;
  if (is_urgent) last_cross_zone_digest_at_ = 0;
  broadcast_digest(now);
}

void PeerExchange::broadcast_digest(Millis now) {
  proto::Envelope message = link_.make_envelope();
  encode_digest(own_digest(), now, *message.mutable_digest());
  bool any_peer_heard = false;
  const auto peers = static_cast<Millis>(view().peers.size());
  const bool include_other_zones =
      now - last_cross_zone_digest_at_ >= kCrossZoneIntervalPerPeer * peers;
  if (include_other_zones) last_cross_zone_digest_at_ = now;
  for (const auto& [vm, peer] : view().peers) {
    any_peer_heard = any_peer_heard || peer.last_heard_at != 0;
    if (!include_other_zones && peer.record.zone != self().zone) continue;
    link_.send_to(vm, message, now);
  }
  if (!any_peer_heard) {
    for (const std::string& seed : seeds_) link_.send_to_address(seed, message);
  }
  last_digest_at_ = now;
  last_own_confirmation_ = freshness_.own_at;
  last_manifest_revision_ = tables_.revision(kManifestTable);
  last_endpoints_revision_ = tables_.revision(kEndpointTable);
}

void PeerExchange::tick_relays(const std::function<LocalDigest()>& make_digest,
                               Millis now) {
  if (now - last_digest_at_ < kMinRelayDigestInterval) return;
  last_digest_at_ = now;
  const LocalDigest earlier = std::exchange(last_digest_, make_digest());
  link_.set_status(last_digest_.ready, last_digest_.stopping);
  const bool urgent = earlier.stopping != last_digest_.stopping ||
                      earlier.ready != last_digest_.ready ||
                      earlier.store_reachable != last_digest_.store_reachable;
  report_to_relays(!(earlier == last_digest_), urgent, now);
  if (topology().is_first_relay) send_zone_digest(now);
  if (topology().is_relay) probe_silent_peers(now);
  find_first_peers(now);
}

// Sends this process's report to the first relay of its zone when it changes,
// and to all of them as a heartbeat, so that each knows the zone when it has to
// replace the first one.
void PeerExchange::report_to_relays(bool changed, bool urgent, Millis now) {
  const bool heartbeat_due = now - last_heartbeat_at_ >= kHeartbeatInterval;
  if (!changed && !urgent && !heartbeat_due) return;
  const bool to_all = urgent || heartbeat_due;
  if (to_all) last_heartbeat_at_ = now;
  PeerDigest digest = own_digest();
  bool is_first = true;
  for (const std::string& relay : relays_of(topology(), self().zone)) {
    const bool reports_here = is_first || to_all;
    const bool wants_state = is_first && !topology().is_relay;
    is_first = false;
    if (relay == self().vm || !reports_here) continue;
    digest.answer = DigestAnswer::kNone;
    digest.zones.clear();
    if (to_all) {
      digest.answer =
          wants_state ? DigestAnswer::kState : DigestAnswer::kAcknowledgement;
      expect_answer(view(), relay, now);
    }
    if (to_all && wants_state) {
      for (const auto& [zone, list] : view().received_members) {
        ZoneList held;
        held.members.zone = zone;
        held.members.hash = list.hash;
        digest.zones.push_back(std::move(held));
      }
    }
    send_digest(relay, digest, now);
  }
}

PeerDigest PeerExchange::zone_digest(Millis now) const {
  PeerDigest digest = own_digest();
  digest.scope = ReportScope::kZone;
  digest.report = report_of(zone_totals(reports_, last_digest_.report), "", 1);
  ZoneList list;
  list.members = list_zone_members(view(), link_.local(), self().zone, now);
  list.is_complete = true;
  digest.zones.push_back(std::move(list));
  return digest;
}

// Sends the sums of this zone to the relays of the others.
void PeerExchange::send_zone_digest(Millis now) {
  if (now - last_zone_digest_at_ < kZoneDigestInterval) return;
  PeerDigest digest = zone_digest(now);
  const bool unchanged = digest == last_zone_digest_;
  if (unchanged && now - last_zone_digest_at_ < kHeartbeatInterval) return;
  const bool same_list = !last_zone_digest_.zones.empty() &&
                         last_zone_digest_.zones.front().members.hash ==
                             digest.zones.front().members.hash;
  last_zone_digest_ = digest;
  last_zone_digest_at_ = now;
  const bool sends_list =
      !same_list || now - last_complete_list_at_ >= kCompleteListInterval;
  if (sends_list) last_complete_list_at_ = now;
  digest.zones.front().is_complete = sends_list;
  proto::Envelope message = link_.make_envelope();
  encode_digest(digest, now, *message.mutable_digest());
  for (const std::string& vm : relays_outside(topology(), self().zone))
    link_.send_to(vm, message, now);
}

// Writes to peers that have been silent, a few at a time. After a partition the
// two sides find each other by it.
void PeerExchange::probe_silent_peers(Millis now) {
  if (now - last_probe_at_ < kProbeInterval) return;
  last_probe_at_ = now;
  PeerDigest digest = own_digest();
  digest.answer = DigestAnswer::kAcknowledgement;
  std::size_t sent = 0;
  auto next = view().peers.upper_bound(last_probed_);
  for (std::size_t i = 0; i < view().peers.size(); ++i, ++next) {
    if (next == view().peers.end()) next = view().peers.begin();
    if (next->second.stopping || is_alive(next->second, now)) continue;
    last_probed_ = next->first;
    send_digest(next->first, digest, now);
    sent += 1;
    if (sent == kProbesAtOnce) return;
  }
}

// Looks for peers while no relay answers: at the start, or after the loss of
// all that were known.
void PeerExchange::find_first_peers(Millis now) {
  const bool has_relay =
      topology().is_relay
          ? std::any_of(view().peers.begin(), view().peers.end(),
                        [&](const auto& entry) {
                          return entry.second.last_heard_at != 0 &&
                                 now - entry.second.last_heard_at <=
                                     kRelaySilence;
                        })
          : now - last_relay_answer_at_ <= kRelaySilence;
  if (has_relay || now - last_introduction_at_ < kIntroductionInterval) return;
  last_introduction_at_ = now;
  PeerDigest digest = own_digest();
  digest.answer = DigestAnswer::kState;
  proto::Envelope message = link_.make_envelope();
  encode_digest(digest, now, *message.mutable_digest());
  for (const std::string& seed : seeds_) link_.send_to_address(seed, message);
  std::size_t sent = 0;
  for (const auto& [vm, peer] : view().peers) {
    if (!peer.listed || is_alive(peer, now)) continue;
    link_.send_to(vm, message, now);
    sent += 1;
    if (sent >= kMaxUnheardPeers) break;
  }
}

std::vector<ZoneMember> PeerExchange::peers_to_introduce(
    const std::string& zone, Millis now) const {
  std::vector<ZoneMember> peers;
  for (const auto& [vm, peer] : view().peers) {
    if (peer.stopping || !is_alive(peer, now)) continue;
    const std::vector<std::string> relays =
        relays_of(topology(), peer.record.zone);
    const bool is_relay =
        std::find(relays.begin(), relays.end(), vm) != relays.end();
    const bool is_named =
        !topology().uses_relays || peer.record.zone == zone || is_relay;
    if (is_named) peers.push_back({peer.record, peer.ready});
  }
  return peers;
}

// Returns what a relay knows of the fleet, without the requests of the process
// that asked.
PeerDigest PeerExchange::fleet_digest(const PeerDigest& asked,
                                      Millis now) const {
  PeerDigest digest = own_digest();
  digest.scope = ReportScope::kFleet;
  const ReportTotals totals =
      fleet_totals(reports_, last_digest_.report, asked.self.vm);
  digest.report = report_of(totals, "", kMinReportedCrashes);
  for (const auto& [zone, relays] : topology().by_zone) {
    ZoneList list;
    list.members = list_zone_members(view(), link_.local(), zone, now);
    list.is_complete = std::none_of(
        asked.zones.begin(), asked.zones.end(), [&](const ZoneList& held) {
          return held.members.zone == list.members.zone &&
                 held.members.hash == list.members.hash;
        });
    digest.zones.push_back(std::move(list));
  }
  return digest;
}

void PeerExchange::answer_digest(const PeerDigest& digest, Millis now) {
  if (digest.answer == DigestAnswer::kNone) return;
  const bool gives_state = digest.answer == DigestAnswer::kState &&
                           topology().is_relay &&
                           digest.self.zone == self().zone;
  if (gives_state) {
    send_digest(digest.self.vm, fleet_digest(digest, now), now);
    return;
  }
  PeerDigest answer = own_digest();
  if (digest.answer == DigestAnswer::kState)
    answer.known_peers = peers_to_introduce(digest.self.zone, now);
  send_digest(digest.self.vm, answer, now);
}

// Tells a process that was unknown, or has restarted, what this one knows.
void PeerExchange::handle_new_peer(const PeerDigest& digest, Millis now) {
  log(LogLevel::kInfo, "peer_heard",
      {{"peer", digest.self.vm},
       {"incarnation", std::to_string(digest.self.incarnation)}});
  if (digest.answer != DigestAnswer::kNone) return;
  if (digest.scope != ReportScope::kProcess) return;
  PeerDigest reply = own_digest();
  reply.known_peers = peers_to_introduce(digest.self.zone, now);
  send_digest(digest.self.vm, reply, now);
}

void PeerExchange::handle_digest(const PeerDigest& digest, Millis now) {
  if (digest.self.vm.empty() || digest.self.vm == self().vm) return;
  const bool is_new =
      update_peer_status(view(), digest.self, digest.status, now);
  for (const ZoneMember& member : digest.known_peers) {
    const std::string& vm = member.record.vm;
    if (view().peers.contains(vm) || vm == self().vm) continue;
    PeerState& peer = view().peers[vm];
    peer.record = member.record;
    peer.ready = member.ready;
    peer.first_known_at = now;
    // Where all processes report to each other, it will report itself.
    if (uses_relays(view())) peer.reported_alive_at = now;
  }
  if (is_new) handle_new_peer(digest, now);
  accept_zone_lists(digest, now);
  for (const TableConfirmation& confirmation : digest.confirmations)
    record_confirmation(freshness_, self().vm, confirmation);
  accept_report(digest, now);
  if (digest.prompts != PromptReport())
    handlers_.on_prompt_report({digest.self.vm, digest.prompts});
  answer_digest(digest, now);
  handlers_.on_store_era(
      std::max(digest.manifest_revision.era, digest.endpoints_revision.era));
  tables_.record_peer_revision(kManifestTable, digest.manifest_revision,
                               digest.self.vm, now);
  tables_.record_peer_revision(kEndpointTable, digest.endpoints_revision,
                               digest.self.vm, now);
  tables_.request_missing(now);
}

void PeerExchange::accept_zone_lists(const PeerDigest& digest, Millis now) {
  if (digest.scope == ReportScope::kProcess) return;
  for (const ZoneList& list : digest.zones) {
    if (list.is_complete) {
      replace_zone_members(view(), self().vm, list.members, now);
      continue;
    }
    confirm_zone_members(view(), list.members.zone, list.members.hash, now);
  }
}

void PeerExchange::accept_report(const PeerDigest& digest, Millis now) {
  const std::optional<std::string> name =
      counted_name(topology(), self(), digest.self, digest.scope);
  if (!name) return;
  PeerReportReceived report = digest.report;
  report.peer = *name;
  handlers_.on_peer_report(report);
  reports_.by_name[*name] = {std::move(report), digest.scope, now};
  if (digest.scope != ReportScope::kFleet) return;
  last_relay_answer_at_ = now;
  if (freshness_.first_served_at == 0) freshness_.first_served_at = now;
  handlers_.on_store_status(
      digest.status.store_reachable ||
      is_store_in_reach(freshness_, max_confirmation_age(), now));
}

void PeerExchange::announce_endpoint_leaving(const std::string& endpoint,
                                             Millis now) {
  handle_endpoint_leaving(self().vm, endpoint, now);
}

// Passes the notice on: to all peers in a small fleet, else to the relays,
// which pass it on to their zones.
void PeerExchange::handle_endpoint_leaving(const std::string& sender,
                                           const std::string& endpoint,
                                           Millis now) {
  const bool is_own = sender == self().vm;
  if (!is_own) handlers_.on_endpoint_leaving(EndpointLeaving{endpoint});
  proto::Envelope message = link_.make_envelope();
  message.set_endpoint_leaving(endpoint);
  const auto peer = view().peers.find(sender);
  const bool from_zone = is_own || (peer != view().peers.end() &&
                                    peer->second.record.zone == self().zone);
  if (!topology().uses_relays) {
    if (!is_own) return;
    for (const auto& [vm, known] : view().peers)
      link_.send_to(vm, message, now);
    return;
  }
  if (!topology().is_first_relay) {
    if (!is_own) return;
    const std::vector<std::string> relays = relays_of(topology(), self().zone);
    if (!relays.empty()) link_.send_to(relays.front(), message, now);
    return;
  }
  for (const auto& [vm, known] : view().peers) {
    if (known.record.zone != self().zone || !is_alive(known, now)) continue;
    if (vm != sender) link_.send_to(vm, message, now);
  }
  if (!from_zone) return;
  for (const std::string& vm : relays_outside(topology(), self().zone))
    link_.send_to(vm, message, now);
}

void PeerExchange::receive(const proto::Envelope& message) {
  const Millis now = monotonic_now();
  const std::string& sender = message.vm();
  switch (message.body_case()) {
    case proto::Envelope::kDigest:
      handle_digest(decode_digest(message.digest(), now), now);
      return;
    case proto::Envelope::kTableWanted:
      tables_.handle_request(sender, message.table_wanted(), now);
      return;
    case proto::Envelope::kEndpointLeaving:
      handle_endpoint_leaving(sender, message.endpoint_leaving(), now);
      return;
    case proto::Envelope::kTurn:
      coordination_.handle_lease_message(sender, message.turn(), now);
      return;
    case proto::Envelope::kRoom:
      coordination_.handle_placement_message(sender, message.room(), now);
      return;
    case proto::Envelope::kPermits:
      coordination_.handle_permit_message(sender, message.permits(), now);
      return;
    case proto::Envelope::kChange:
      tables_.handle_change(sender, message.change(), now);
      return;
    case proto::Envelope::kTable:
      tables_.handle_table(sender, message.table());
      return;
    default:
      return;
  }
}

}  // namespace peridotreach
