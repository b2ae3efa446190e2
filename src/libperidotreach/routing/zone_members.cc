#include "libperidotreach/routing/zone_members.h"

#include <xxhash.h>

namespace peridotreach {
namespace {

std::uint64_t hash_of(const std::vector<ZoneMember>& members) {
  std::string text;
  for (const ZoneMember& member : members) {
    text += member.record.vm + "/" + std::to_string(member.record.incarnation) +
            (member.ready ? "+" : "-");
  }
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

ZoneMembers list_zone_members(const PeerView& view, const LocalPeer& local,
                              const std::string& zone, Millis now) {
  ZoneMembers list;
  list.zone = zone;
  const bool includes_self = local.record.zone == zone && !local.stopping;
  bool self_added = !includes_self;
  for (const auto& [vm, peer] : view.peers) {
    if (!self_added && local.record.vm < vm) {
      list.members.push_back({local.record, local.ready});
      self_added = true;
    }
    if (peer.record.zone != zone || peer.stopping) continue;
    if (!is_alive(peer, now)) continue;
    list.members.push_back({peer.record, peer.ready});
  }
  if (!self_added) list.members.push_back({local.record, local.ready});
  list.hash = hash_of(list.members);
  return list;
}

std::uint64_t received_hash(const PeerView& view, const std::string& zone) {
  const auto found = view.received_members.find(zone);
  return found == view.received_members.end() ? 0 : found->second.hash;
}

void replace_zone_members(PeerView& view, const std::string& self,
                          const ZoneMembers& list, Millis now) {
  const auto earlier = view.received_members.find(list.zone);
  if (earlier != view.received_members.end()) {
    for (const ZoneMember& member : earlier->second.members) {
      const auto peer = view.peers.find(member.record.vm);
      if (peer != view.peers.end()) peer->second.reported_alive_at = 0;
    }
  }
  for (const ZoneMember& member : list.members) {
    if (member.record.vm == self) continue;
    PeerState& peer = view.peers[member.record.vm];
    const bool heard_lately = peer.last_heard_at != 0 &&
                              now - peer.last_heard_at <= kPeerLivenessTimeout;
    if (peer.first_known_at == 0) peer.first_known_at = now;
    peer.reported_alive_at = now;
    // What a process says of itself is newer than what a relay says of it.
    if (heard_lately) continue;
    peer.record = member.record;
    peer.ready = member.ready;
    peer.stopping = false;
  }
  view.received_members[list.zone] = list;
}

bool confirm_zone_members(PeerView& view, const std::string& zone,
                          std::uint64_t hash, Millis now) {
  const auto found = view.received_members.find(zone);
  if (found == view.received_members.end() || found->second.hash != hash)
    return false;
  for (const ZoneMember& member : found->second.members) {
    const auto peer = view.peers.find(member.record.vm);
    if (peer != view.peers.end()) peer->second.reported_alive_at = now;
  }
  return true;
}

}  // namespace peridotreach
