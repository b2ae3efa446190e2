#include "peridot-router/table_exchange.h"

#include <utility>

#include "fleet.pb.h"
#include "libperidotreach/routing/relays.h"
#include "peridot-router/peer_link.h"
#include "runtime/deflate.h"
#include "runtime/log.h"

namespace peridotreach {
namespace {

// Values from this size on are compressed. The manifest of a large deployment
// would otherwise fill a relay's link for seconds.
constexpr std::size_t kMinCompressedBytes = 8U << 10U;

// Largest value accepted: the largest that the store holds, with a margin.
constexpr std::size_t kMaxValueBytes = 8U << 20U;

// Adds an item to `items`. Returns false if its value cannot be inflated; the
// table stays behind then and is requested again.
bool decode_item(const proto::SharedItem& item,
                 std::map<std::string, std::string>& items) {
  if (!item.is_compressed()) {
    items[item.key()] = item.value();
    return true;
  }
  const Result<std::string> value = inflate_bytes(item.value(), kMaxValueBytes);
  if (!ok(value)) {
    log(LogLevel::kError, "table_item_unreadable",
        {{"key", item.key()}, {"cause", describe(error(value))}});
    return false;
  }
  items[item.key()] = peridotreach::value(value);
  return true;
}

}  // namespace

void TableExchange::encode_item(const std::string& key,
                                const std::string& value,
                                proto::SharedItem& item) {
  item.set_key(key);
  if (value.size() < kMinCompressedBytes) {
    item.set_value(value);
    return;
  }
  CompressedValue& cached = compressed_[key];
  if (cached.original != value) cached = {value, deflate_bytes(value)};
  item.set_value(cached.compressed);
  item.set_is_compressed(true);
}

TableExchange::TableExchange(PeerLink& link, TableHandlers handlers)
    : link_(link), handlers_(std::move(handlers)) {}

const StoreRevision& TableExchange::revision(const std::string& table) const {
  return handlers_.table(table).revision;
}

void TableExchange::record_changes(const std::string& table,
                                   const std::vector<ItemChange>& changes,
                                   const StoreRevision& table_revision) {
  add_changes(unpublished_[table], changes, table_revision);
}

bool TableExchange::publishes(const std::string& table, bool store_reachable,
                              Millis now) const {
  const RelayTopology& topology = link_.topology();
  if (!topology.uses_relays)
    return watches_tables(link_.view(), link_.self(), store_reachable, now);
  if (!topology.is_relay) return false;
  if (table != kManifestTable || topology.is_first_relay) return true;
  // Both relays of a zone watch the manifest; one of them sends it on.
  const auto first =
      link_.view().peers.find(relays_of(topology, link_.self().zone).front());
  return first == link_.view().peers.end() || !first->second.store_reachable;
}

void TableExchange::send_to_zone(const proto::Envelope& message, Millis now) {
  for (const auto& [vm, peer] : link_.view().peers) {
    if (peer.record.zone != link_.self().zone) continue;
    if (link_.topology().uses_relays && !is_alive(peer, now)) continue;
    link_.send_to(vm, message, now);
  }
}

void TableExchange::publish_changes(bool store_reachable, Millis now) {
  for (auto& [name, recorded] : unpublished_) {
    const UnpublishedChanges unpublished = std::exchange(recorded, {});
    if (!is_news(unpublished)) continue;
    if (!publishes(name, store_reachable, now)) continue;
    const SharedTableState& table = handlers_.table(name);
    proto::Envelope message = link_.make_envelope();
    proto::TableChange& change = *message.mutable_change();
    change.set_name(name);
    change.set_from_revision(unpublished.from_revision.number);
    change.set_from_era(unpublished.from_revision.era);
    change.set_revision(unpublished.revision.number);
    change.set_era(unpublished.revision.era);
    for (const std::string& key : unpublished.keys) {
      const auto item = table.items.find(key);
      if (item == table.items.end()) {
        change.add_removed(key);
        continue;
      }
      encode_item(key, item->second, *change.add_items());
    }
    send_to_zone(message, now);
    // The relays of each zone watch the manifest themselves.
    if (!link_.topology().uses_relays || name == kManifestTable) continue;
    for (const std::string& vm :
         relays_outside(link_.topology(), link_.self().zone)) {
      link_.send_to(vm, message, now);
    }
  }
}

void TableExchange::handle_change(const std::string& sender,
                                  const proto::TableChange& change,
                                  Millis now) {
  const StoreRevision own_revision = revision(change.name());
  const StoreRevision from_revision{change.from_era(), change.from_revision()};
  const StoreRevision new_revision{change.era(), change.revision()};
  if (new_revision <= own_revision) return;
  const auto peer = link_.view().peers.find(sender);
  const bool forwards = link_.topology().is_first_relay &&
                        peer != link_.view().peers.end() &&
                        peer->second.record.zone != link_.self().zone;
  if (forwards) {
    proto::Envelope message = link_.make_envelope();
    *message.mutable_change() = change;
    send_to_zone(message, now);
  }
  if (from_revision > own_revision) {
    record_peer_revision(change.name(), new_revision, sender, now);
    return;
  }
  std::map<std::string, std::string> items;
  for (const proto::SharedItem& item : change.items()) {
    if (!decode_item(item, items)) return;
  }
  std::vector<ItemChange> changes;
  changes.reserve(items.size());
  for (auto& [key, value] : items)
    changes.push_back({key, std::move(value), new_revision});
  for (const std::string& key : change.removed())
    changes.push_back({key, std::nullopt, new_revision});
  handlers_.on_changes(change.name(), changes, sender);
}

void TableExchange::record_peer_revision(const std::string& table,
                                         const StoreRevision& peer_revision,
                                         const std::string& vm, Millis now) {
  peridotreach::record_peer_revision(lags_[table], revision(table), vm,
                                     peer_revision, now);
}

void TableExchange::request_missing(Millis now) {
  for (auto& [table, lag] : lags_) {
    const auto peer = take_due_request(lag, revision(table), now);
    if (!peer) continue;
    proto::Envelope request = link_.make_envelope();
    request.set_table_wanted(table);
    link_.send_to(*peer, request, now);
  }
}

void TableExchange::handle_request(const std::string& sender,
                                   const std::string& name, Millis now) {
  const SharedTableState& table = handlers_.table(name);
  proto::Envelope reply = link_.make_envelope();
  proto::SharedTable& shared = *reply.mutable_table();
  shared.set_name(name);
  shared.set_revision(table.revision.number);
  shared.set_era(table.revision.era);
  for (const auto& [key, value] : table.items)
    encode_item(key, value, *shared.add_items());
  link_.send_to(sender, reply, now);
}

void TableExchange::handle_table(const std::string& sender,
                                 const proto::SharedTable& message) {
  SharedTableState table;
  table.revision = {message.era(), message.revision()};
  for (const proto::SharedItem& item : message.items()) {
    if (!decode_item(item, table.items)) return;
  }
  log(LogLevel::kInfo, "table_from_peer",
      {{"table", message.name()},
       {"peer", sender},
       {"revision", format_revision(table.revision)}});
  handlers_.on_snapshot(message.name(), table, sender);
}

}  // namespace peridotreach
