// Tests of the entry reducer in virtual time: streams, resuming, losses,
// refusals that must be true.

#include <catch2/catch.hpp>

#include "tests/samples.h"

namespace peridotreach {
namespace {

using samples::Entry;
using samples::only;

std::size_t relayed(const std::vector<EntryEffect>& effects) {
  std::size_t count = 0;
  for (const auto& relay : only<RelayItems>(effects)) {
    count += relay.items.size();
  }
  return count;
}

TEST_CASE("a stream is relayed in order and ends once", "[entry]") {
  Entry entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointOpened{request, 1, 5});
  CHECK(relayed(entry.deliver(request, 1, 0, 4)) == 4);
  StreamItem last;
  last.kind = ItemKind::kCompleted;
  last.sequence = 4;
  last.generation = "gen-1";
  const auto effects = entry.apply(ItemsArrived{request, 1, {last}});
  REQUIRE(only<FinishRequest>(effects).size() == 1);
  CHECK(only<FinishRequest>(effects)[0].ran == Ran::kYes);
  CHECK(only<FinishRequest>(
            entry.apply(EndpointClosed{request, 1, EndKind::kClosed}))
            .empty());
}

TEST_CASE("repeated events are dropped and a gap is never skipped", "[entry]") {
  Entry entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointOpened{request, 1, 5});
  entry.deliver(request, 1, 0, 3);
  CHECK(relayed(entry.deliver(request, 1, 1, 3)) == 0);
  const auto effects = entry.deliver(request, 1, 5, 7);
  CHECK(relayed(effects) == 0);
  const auto opens = only<OpenEndpoint>(effects);
  REQUIRE(opens.size() == 1);
  CHECK(opens[0].generation == "gen-1");
  CHECK(opens[0].starting_after == 2);
}

TEST_CASE("a silent connection is replaced and resumed", "[entry]") {
  Entry entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointOpened{request, 1, 5});
  entry.deliver(request, 1, 0, 3);
  const auto effects = entry.pass(3000);
  const auto opens = only<OpenEndpoint>(effects);
  REQUIRE(opens.size() == 1);
  CHECK(opens[0].starting_after == 2);
  // What the old connection still says is of an older attempt.
  CHECK(relayed(entry.deliver(request, 1, 3, 5)) == 0);
  CHECK(relayed(entry.deliver(request, opens[0].attempt, 3, 5)) == 2);
}

TEST_CASE("an answer of another generation is not joined", "[entry]") {
  Entry entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointOpened{request, 1, 5});
  entry.deliver(request, 1, 0, 3);
  StreamItem foreign;
  foreign.kind = ItemKind::kCompleted;
  foreign.sequence = 3;
  foreign.generation = "gen-2";
  const auto effects = entry.apply(ItemsArrived{request, 1, {foreign}});
  CHECK(relayed(effects) == 0);
  CHECK(only<FinishRequest>(effects).empty());
}

TEST_CASE("an endpoint lost before the first token is replaced", "[entry]") {
  Entry entry;
  const auto request = entry.start_generation();
  const auto effects =
      entry.apply(EndpointClosed{request, 1, EndKind::kConnectFailed});
  CHECK(only<FinishRequest>(effects).empty());
  const auto later = entry.pass(2000);
  REQUIRE(only<SendEnqueue>(later).size() == 1);
  CHECK(only<SendEnqueue>(later)[0].item.excluded ==
        std::vector<std::string>{"engine-1"});
}

TEST_CASE(
    "an endpoint lost after the first token ends the stream as partly "
    "run",
    "[entry]") {
  Entry entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointOpened{request, 1, 5});
  entry.deliver(request, 1, 0, 3);
  const auto opens = only<OpenEndpoint>(
      entry.apply(EndpointClosed{request, 1, EndKind::kClosed}));
  REQUIRE(opens.size() == 1);
  constexpr std::uint64_t kOtherIncarnation = 6;
  const auto effects =
      entry.apply(EndpointOpened{request, opens[0].attempt, kOtherIncarnation});
  REQUIRE(only<FinishRequest>(effects).size() == 1);
  CHECK(only<FinishRequest>(effects)[0].ran == Ran::kPartly);
}

TEST_CASE("not run is only said when no byte left", "[entry]") {
  Entry entry;
  const auto request = entry.start_generation();
  SECTION("the connection was never made") {
    entry.apply(EndpointClosed{request, 1, EndKind::kConnectFailed});
    const auto effects = entry.pass(6000);
    REQUIRE(only<FinishRequest>(effects).size() == 1);
    CHECK(only<FinishRequest>(effects)[0].ran == Ran::kNo);
  }
  SECTION("the endpoint declined it") {
    entry.apply(EndpointClosed{request, 1, EndKind::kDeclined});
    const auto effects = entry.pass(6000);
    REQUIRE(only<FinishRequest>(effects).size() == 1);
    CHECK(only<FinishRequest>(effects)[0].ran == Ran::kNo);
  }
  SECTION("it closed after bytes had left") {
    entry.apply(EndpointClosed{request, 1, EndKind::kClosed});
    const auto effects = entry.pass(6000);
    REQUIRE(only<FinishRequest>(effects).size() == 1);
    CHECK(only<FinishRequest>(effects)[0].ran == Ran::kUnknown);
  }
  SECTION("it was withdrawn after it had started") {
    entry.apply(EndpointOpened{request, 1, 5});
    const std::string dispatcher =
        entry.state.generations.at(request).dispatcher;
    entry.apply(WithdrawalArrived{dispatcher, request});
    const auto effects = entry.apply(RefusalArrived{
        dispatcher, request, RefusalKind::kDeadlineUnreachable, 1000});
    REQUIRE(only<FinishRequest>(effects).size() == 1);
    CHECK(only<FinishRequest>(effects)[0].ran == Ran::kPartly);
  }
}

TEST_CASE("a request is refused by its deadline without a dispatcher",
          "[entry]") {
  Entry entry;
  GenerationRequested event;
  event.request = 77;
  event.caller = "small";
  event.rank = "urgent";
  event.service = "model";
  event.model = "writer";
  entry.apply(event);
  const auto effects = entry.pass(4100);
  REQUIRE(only<FinishRequest>(effects).size() == 1);
  CHECK(only<FinishRequest>(effects)[0].ran == Ran::kNo);
}

TEST_CASE("a silent dispatcher is replaced by the next within two seconds",
          "[entry]") {
  Entry entry;
  GenerationRequested event;
  event.request = 5;
  event.caller = "small";
  event.rank = "bulk";
  event.service = "model";
  event.model = "writer";
  entry.apply(event);
  const std::string first = entry.state.generations.at(5).dispatcher;
  const auto effects = entry.pass(2000);
  const std::string second = entry.state.generations.at(5).dispatcher;
  CHECK(first != second);
  bool reported = false;
  for (const auto& report : only<SendReport>(effects)) {
    reported = reported || (report.dispatcher == second && report.full &&
                            report.enqueue.size() == 1);
  }
  CHECK(reported);
}

TEST_CASE("the connection of a request that is run anew says nothing more",
          "[entry]") {
  Entry entry;
  const auto request = entry.start_generation();
  const auto effects =
      entry.apply(EndpointClosed{request, 1, EndKind::kBadAnswer});
  CHECK(only<CloseEndpoint>(effects).size() == 1);
  CHECK(relayed(entry.deliver(request, 1, 0, 3)) == 0);
}

TEST_CASE("two dispatchers that grant the same request do no harm", "[entry]") {
  Entry entry;
  const auto request = entry.start_generation();
  const auto effects =
      entry.apply(GrantArrived{"vm-2", request, "engine-2", "rank_order"});
  CHECK(only<OpenEndpoint>(effects).empty());
}

TEST_CASE("a grant for a leaving endpoint is not used", "[entry]") {
  Entry entry;
  FleetView view = samples::view(3);
  for (auto& endpoint : view.endpoints) {
    if (endpoint.id == "engine-1") endpoint.leaving = true;
  }
  entry.apply(EntryViewChanged{view});
  const auto request = entry.start_generation();
  CHECK(entry.state.generations.at(request).stage == Stage::kWaiting);
}

TEST_CASE("a resent request joins its running generation", "[entry]") {
  Entry entry;
  const auto first = entry.start_generation("key");
  entry.apply(EndpointOpened{first, 1, 5});
  entry.deliver(first, 1, 0, 3);
  GenerationRequested again;
  again.request = 500;
  again.caller = "small";
  again.rank = "urgent";
  again.service = "model";
  again.model = "writer";
  again.idempotency_key = "key";
  const auto opens = only<OpenEndpoint>(entry.apply(again));
  REQUIRE(opens.size() == 1);
  CHECK(opens[0].generation == "gen-1");
  CHECK(opens[0].starting_after == -1);
}

TEST_CASE("an absent caller's generation is cancelled after a while",
          "[entry]") {
  Entry entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointOpened{request, 1, 5});
  entry.deliver(request, 1, 0, 3);
  entry.apply(CallerLeft{request, false});
  bool cancelled = false;
  for (int i = 0; i < 25 && !cancelled; ++i) {
    const auto attempt = entry.state.generations.at(request).attempt;
    entry.deliver(request, attempt, 3 + i, 4 + i);
    for (const auto& cancel : only<CancelGeneration>(entry.pass(1000))) {
      cancelled = cancel.only_unwatched;
    }
  }
  CHECK(cancelled);
}

TEST_CASE("a lower configuration revision is never taken", "[entry]") {
  Entry entry;
  FleetConfig newer = samples::config();
  newer.revision = 9;
  entry.apply(EntryConfigChanged{newer});
  entry.apply(EntryConfigChanged{samples::config()});
  CHECK(entry.state.config.revision == 9);
}

TEST_CASE("the old connection of a withdrawn request loses no endpoint",
          "[entry]") {
  Entry entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointOpened{request, 1, 5});
  const std::string dispatcher = entry.state.generations.at(request).dispatcher;
  entry.apply(WithdrawalArrived{dispatcher, request});
  const auto effects =
      entry.apply(EndpointClosed{request, 1, EndKind::kClosed});
  CHECK(only<SendProgress>(effects).empty());
  CHECK(entry.state.generations.at(request).stage == Stage::kQueued);
}

// Asks for a generation after credits for `count` requests have come.
std::vector<EntryEffect> ask_with_credits(Entry& entry, std::uint32_t count,
                                          Millis later) {
  entry.apply(
      CreditsArrived{"vm-2", "model/r/0", {{"engine-2", "writer", count}}});
  entry.pass(later);
  GenerationRequested event;
  event.request = 700 + count;
  event.caller = "small";
  event.rank = "urgent";
  event.service = "model";
  event.model = "writer";
  event.fingerprint = 9;
  return entry.apply(event);
}

TEST_CASE("a credit is spent without asking and reported", "[credits]") {
  Entry entry;
  const auto effects = ask_with_credits(entry, 1, 0);
  REQUIRE(only<OpenEndpoint>(effects).size() == 1);
  CHECK(only<OpenEndpoint>(effects)[0].endpoint == "engine-2");
  REQUIRE(only<SendProgress>(effects).size() == 1);
  CHECK(only<SendProgress>(effects)[0].with_item);
  GenerationRequested next;
  next.request = 900;
  next.caller = "small";
  next.rank = "urgent";
  next.service = "model";
  next.model = "writer";
  CHECK(only<SendEnqueue>(entry.apply(next)).size() == 1);
}

TEST_CASE("old, revoked and foreign credits are not spent", "[credits]") {
  Entry entry;
  SECTION("old") {
    CHECK(only<SendEnqueue>(ask_with_credits(entry, 1, 2000)).size() == 1);
  }
  SECTION("revoked") {
    CHECK(only<SendEnqueue>(ask_with_credits(entry, 0, 0)).size() == 1);
  }
  SECTION("the endpoint leaves") {
    FleetView view = samples::view(3);
    for (auto& endpoint : view.endpoints) endpoint.leaving = true;
    entry.apply(EntryViewChanged{view});
    CHECK(only<SendEnqueue>(ask_with_credits(entry, 1, 0)).size() == 1);
  }
  SECTION("its endpoint was lost before") {
    entry.state.lost_fingerprints[9] = entry.now;
    CHECK(only<SendEnqueue>(ask_with_credits(entry, 1, 0)).size() == 1);
  }
}

TEST_CASE("each refusal is counted under its minute", "[entry]") {
  Entry entry;
  const auto request = entry.start_generation();
  const std::string dispatcher = entry.state.generations.at(request).dispatcher;
  entry.apply(EndpointClosed{request, 1, EndKind::kDeclined});
  entry.pass(500);
  const auto effects = entry.apply(
      RefusalArrived{dispatcher, request, RefusalKind::kQuarantined, 1000});
  const auto counts = only<CountRefusal>(effects);
  REQUIRE(counts.size() == 1);
  CHECK(counts[0].page.minute == 7);
  CHECK(counts[0].count == 1);
  CHECK(account_refusals(entry.state.ledger, 7, 8).size() == 1);
}

}  // namespace
}  // namespace peridotreach
