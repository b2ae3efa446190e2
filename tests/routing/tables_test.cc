// Tests of tables shared between routers, views of peers, and event framing.

#include <catch2/catch.hpp>
#include <set>

#include "libperidotreach/routing/peer_view.h"
#include "libperidotreach/routing/table_lag.h"
#include "peridot-router/event_framer.h"
#include "peridot-router/shared_table.h"
#include "peridot-router/unpublished_changes.h"

namespace peridotreach {
namespace {

PeerRecord peer_record(const std::string& vm, const std::string& zone,
                       std::uint64_t incarnation = 1) {
  return {vm, zone, vm + ":1", vm + ":2", incarnation};
}

// Handlers for a table whose items are ordered by their revisions alone.
ItemHandlers handlers(ItemChangeHandler on_change) {
  return {std::move(on_change), [](const std::string&, const std::string&,
                                   const std::string*) { return false; }};
}

TEST_CASE("an older table does not replace a newer one", "[tables]") {
  SharedTableState table;
  int changes = 0;
  const ItemHandlers count_change =
      handlers([&](const std::string&, const std::string*) { changes += 1; });
  replace_table(table, {{1, 7}, {{"a", "1"}, {"b", "2"}}}, count_change);
  CHECK(changes == 2);
  replace_table(table, {{1, 5}, {{"a", "0"}}}, count_change);
  CHECK(changes == 2);
  CHECK(table.items.at("a") == "1");
  replace_table(table, {{1, 9}, {{"a", "1"}}}, count_change);
  CHECK(changes == 3);
  CHECK(table.items.size() == 1);
  CHECK(table.revision == StoreRevision{1, 9});
}

TEST_CASE("a late response of the store does not bring back an older item",
          "[tables]") {
  SharedTableState table;
  const ItemHandlers ignore =
      handlers([](const std::string&, const std::string*) {});
  replace_table(table, {{1, 20}, {{"manifest", "version 9"}}}, ignore);
  apply_changes(table, {{"manifest", "version 4", {1, 15}}}, ignore);
  CHECK(table.revision == StoreRevision{1, 20});
  CHECK(table.items.at("manifest") == "version 9");
}

// Two routers watch a table. One of them has read a change and gets a later one
// of another item from the other before it passes its own on.
TEST_CASE("a push to peers does not vouch for changes that it does not contain",
          "[tables]") {
  SharedTableState table;
  const ItemHandlers ignore =
      handlers([](const std::string&, const std::string*) {});
  replace_table(table, {{1, 10}, {{"a", "1"}, {"b", "1"}}}, ignore);
  UnpublishedChanges unpublished;
  const std::vector<ItemChange> from_store = {{"a", "2", {1, 11}}};
  add_changes(unpublished, from_store, table.revision);
  apply_changes(table, from_store, ignore);
  apply_changes(table, {{"b", "2", {1, 12}}}, ignore);
  CHECK(unpublished == UnpublishedChanges{{1, 10}, {1, 11}, {"a"}});
  CHECK(is_news(unpublished));
}

TEST_CASE("a read in several pages does not vouch for changes made meanwhile",
          "[tables]") {
  SharedTableState table;
  const ItemHandlers ignore =
      handlers([](const std::string&, const std::string*) {});
  apply_read(table, {{"a", "1", {1, 5}}, {"b", "2", {1, 12}}}, {1, 10}, ignore);
  CHECK(table.revision == StoreRevision{1, 10});
  apply_changes(table, {{"a", "2", {1, 11}}, {"b", "2", {1, 12}}}, ignore);
  CHECK(table == SharedTableState{{1, 12}, {{"a", "2"}, {"b", "2"}}});
}

TEST_CASE("changes of a restored store are not taken for old ones",
          "[tables]") {
  SharedTableState table;
  std::set<std::string> removed;
  const ItemHandlers note_removal =
      handlers([&](const std::string& key, const std::string* value) {
        if (value == nullptr) removed.insert(key);
      });
  replace_table(table, {{1, 100}, {{"a", "1"}, {"b", "1"}}}, note_removal);
  apply_read(table, {{"a", "1", {2, 40}}}, {2, 90}, note_removal);
  CHECK(table.revision == StoreRevision{2, 90});
  CHECK(removed == std::set<std::string>{"b"});
  apply_changes(table, {{"a", "2", {2, 91}}}, note_removal);
  CHECK(table.items.at("a") == "2");
  apply_changes(table, {{"a", "late", {1, 101}}}, note_removal);
  replace_table(table, {{1, 200}, {{"a", "late"}}}, note_removal);
  CHECK(table == SharedTableState{{2, 91}, {{"a", "2"}}});
}

TEST_CASE("a restored store does not bring back older contents", "[tables]") {
  SharedTableState table;
  int changes = 0;
  ItemHandlers by_content =
      handlers([&](const std::string&, const std::string*) { changes += 1; });
  by_content.stays = [](const std::string&, const std::string& held,
                        const std::string* incoming) {
    return incoming == nullptr || *incoming < held;
  };
  replace_table(table, {{1, 100}, {{"a", "7"}, {"b", "3"}}}, by_content);
  changes = 0;
  apply_read(table, {{"a", "5", {2, 40}}}, {2, 90}, by_content);
  apply_changes(table, {{"a", "6", {2, 91}}}, by_content);
  CHECK(changes == 0);
  CHECK(table == SharedTableState{{2, 91}, {{"a", "7"}, {"b", "3"}}});
  apply_changes(table, {{"a", "8", {2, 92}}}, by_content);
  CHECK(table.items.at("a") == "8");
}

TEST_CASE("a table of an earlier era of the store is requested", "[tables]") {
  TableLag lag;
  record_peer_revision(lag, {1, 100}, "b1", {2, 12}, 1000);
  CHECK(take_due_request(lag, {1, 100}, 1200) == "b1");
  record_peer_revision(lag, {2, 12}, "c1", {1, 150}, 1300);
  CHECK_FALSE(take_due_request(lag, {2, 12}, 2500));
}

TEST_CASE("pushed changes of a restored store are news to peers", "[tables]") {
  UnpublishedChanges unpublished;
  add_changes(unpublished, {{"a", "2", {2, 12}}}, {1, 100});
  CHECK(is_news(unpublished));
}

TEST_CASE("a table that is behind is requested after one report of a newer one",
          "[tables]") {
  TableLag lag;
  record_peer_revision(lag, {1, 10}, "b1", {1, 12}, 1000);
  CHECK_FALSE(take_due_request(lag, {1, 10}, 1100));
  CHECK(take_due_request(lag, {1, 10}, 1200) == "b1");
  CHECK_FALSE(take_due_request(lag, {1, 10}, 1300));
  record_peer_revision(lag, {1, 10}, "c1", {1, 12}, 1500);
  CHECK(take_due_request(lag, {1, 10}, 1900) == "c1");
  CHECK_FALSE(take_due_request(lag, {1, 12}, 2600));
  CHECK(lag == TableLag{});
}

TEST_CASE("an empty table is requested at once, a vanished peer is not asked",
          "[tables]") {
  TableLag lag;
  record_peer_revision(lag, {}, "b1", {1, 12}, 1000);
  CHECK(take_due_request(lag, {}, 1000) == "b1");
  CHECK_FALSE(take_due_request(lag, {}, 3100));
  record_peer_revision(lag, {1, 12}, "b1", {1, 12}, 3200);
  CHECK(lag == TableLag{});
}

TEST_CASE("a table that still advances is not requested", "[tables]") {
  TableLag lag;
  record_peer_revision(lag, {1, 10}, "b1", {1, 14}, 1000);
  CHECK_FALSE(take_due_request(lag, {1, 12}, 1250));
  CHECK_FALSE(take_due_request(lag, {1, 13}, 1400));
  CHECK(take_due_request(lag, {1, 13}, 1600) == "b1");
}

// A router that was served by peers becomes the one that reads the store. What
// left the store meanwhile is known only from the peers' copy.
TEST_CASE("a complete read removes items that only a peer had sent",
          "[tables]") {
  SharedTableState table;
  std::set<std::string> removed;
  const ItemHandlers note_removal =
      handlers([&](const std::string& key, const std::string* value) {
        if (value == nullptr) removed.insert(key);
      });
  replace_table(table, {{1, 7}, {{"gone", "1"}, {"stays", "2"}}}, note_removal);
  // A peer may have sent changes that are newer than the read.
  apply_read(table, {{"stays", "2", {1, 3}}}, {1, 6}, note_removal);
  CHECK(removed.empty());
  apply_read(table, {{"stays", "2", {1, 3}}}, {1, 9}, note_removal);
  CHECK(removed == std::set<std::string>{"gone"});
  CHECK(table.revision == StoreRevision{1, 9});
}

TEST_CASE("callers get the addresses of live peers in their zone", "[peers]") {
  PeerView view;
  const PeerStatus ready{true, false, true};
  update_peer_status(view, peer_record("b1", "b"), ready, 1000);
  update_peer_status(view, peer_record("b2", "b"), ready, 1000);
  update_peer_status(view, peer_record("c1", "c"), ready, 1000);
  const PeerRecord self = peer_record("a1", "a");
  CHECK(caller_addresses(view, &self, "b", 1000).size() == 2);
  CHECK(caller_addresses(view, &self, "c", 1000).size() == 4);
  update_peer_status(view, peer_record("b2", "b"), {true, true, true}, 1100);
  CHECK(caller_addresses(view, &self, "b", 1100).size() == 3);
  CHECK(caller_addresses(view, &self, "b", 9000).size() == 1);
  CHECK(caller_addresses(view, nullptr, "b", 9000).empty());
}

TEST_CASE("the store is unreachable when no live process reaches it",
          "[peers]") {
  PeerView view;
  update_peer_status(view, peer_record("b1", "b"), {true, false, true}, 1000);
  update_peer_status(view, peer_record("c1", "c"), {true, false, false}, 1000);
  CHECK_FALSE(is_store_unreachable(view, false, 1000));
  CHECK(peer_lost_store(view, 900, 1000));
  CHECK_FALSE(peer_lost_store(view, 1000, 1000));
  update_peer_status(view, peer_record("b1", "b"), {true, false, false}, 1500);
  CHECK(is_store_unreachable(view, false, 1500));
  CHECK_FALSE(is_store_unreachable(view, true, 1500));
  CHECK(peer_lost_store(view, 1000, 1500));
  update_peer_status(view, peer_record("b1", "b"), {true, false, false}, 1700);
  CHECK_FALSE(peer_lost_store(view, 1500, 1700));
  CHECK(is_store_unreachable(view, false, 9000));
}

TEST_CASE("an unlisted peer stays while it sends reports", "[peers]") {
  PeerView view;
  mark_peer_listed(view, peer_record("b1", "b"), 1000);
  update_peer_status(view, peer_record("b1", "b"), {true, false, true}, 2000);
  mark_peer_unlisted(view, "b1");
  CHECK(remove_expired_peers(view, 3000).empty());
  CHECK(remove_expired_peers(view, 60000).size() == 1);
}

TEST_CASE("reports of an earlier incarnation are ignored", "[peers]") {
  PeerView view;
  update_peer_status(view, peer_record("b1", "b", 9), {true, false, true},
                     1000);
  CHECK_FALSE(update_peer_status(view, peer_record("b1", "b", 3), {}, 1100));
  mark_peer_listed(view, peer_record("b1", "b", 3), 1200);
  CHECK(view.peers.at("b1").record.incarnation == 9);
  CHECK(view.peers.at("b1").ready);
}

TEST_CASE("one process of a zone watches the tables", "[peers]") {
  const std::vector<std::string> vms = {"a1", "a2", "a3"};
  int watchers = 0;
  for (const std::string& self : vms) {
    PeerView view;
    for (const std::string& vm : vms) {
      if (vm != self) {
        update_peer_status(view, peer_record(vm, "a"), {true, false, true},
                           1000);
      }
    }
    if (watches_tables(view, peer_record(self, "a"), true, 1000)) watchers += 1;
    CHECK(watches_tables(view, peer_record(self, "a"), true, 9000));
    CHECK(watches_tables(view, peer_record(self, "a"), false, 1000));
  }
  CHECK(watchers == 1);
}

TEST_CASE("a watcher that cannot reach the store is replaced", "[peers]") {
  PeerView view;
  update_peer_status(view, peer_record("a2", "a"), {true, false, false}, 1000);
  update_peer_status(view, peer_record("a3", "a"), {true, false, false}, 1000);
  CHECK(watches_tables(view, peer_record("a1", "a"), true, 1000));
}

TEST_CASE("all processes choose the same copy lease coordinator", "[peers]") {
  PeerView first;
  update_peer_status(first, peer_record("a2", "a"), {}, 1000);
  PeerView second;
  update_peer_status(second, peer_record("a1", "a"), {}, 1000);
  for (const char* endpoint : {"e1", "e2", "e3", "e4"}) {
    CHECK(copy_lease_coordinator(first, "a1", endpoint, 1000) ==
          copy_lease_coordinator(second, "a2", endpoint, 1000));
  }
}

TEST_CASE("streams are split at event boundaries regardless of chunk sizes",
          "[framer]") {
  const std::string bytes =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nevent: x\nid:3\n\n";
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    EventFramer framer;
    std::vector<FramedEvent> events;
    for (std::size_t at = 0; at < bytes.size(); at += size) {
      for (FramedEvent& event : framer.feed(bytes.substr(at, size))) {
        events.push_back(std::move(event));
      }
    }
    REQUIRE(events.size() == 3);
    CHECK(events[0].id == 1);
    CHECK(events[1].id == 2);
    CHECK(events[2].id == 3);
    CHECK(events[0].bytes + events[1].bytes + events[2].bytes == bytes);
    CHECK_FALSE(framer.has_partial_event());
  }
}

TEST_CASE("a partial event is not relayed", "[framer]") {
  EventFramer framer;
  CHECK(framer.feed("id: 1\ndata: a\n").empty());
  CHECK(framer.has_partial_event());
}

}  // namespace
}  // namespace peridotreach
