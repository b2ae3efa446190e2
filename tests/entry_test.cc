// Tests of the entry reducer in virtual time: streams, resuming, losses,
// refusals that must be true.

#include <catch2/catch.hpp>

#include "tests/samples.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::EntryHarness;

std::size_t relayed(const std::vector<EntryEffect>& effects) {
  std::size_t count = 0;
  for (const auto& relay : effects_of<RelayEvents>(effects)) {
    count += relay.events.size();
  }
  return count;
}

TEST_CASE("a stream is relayed in order and ends once", "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointConnected{request, 1, 5});
  CHECK(relayed(entry.deliver(request, 1, 0, 4)) == 4);
  StreamEvent last;
  last.kind = StreamEventKind::kCompleted;
  last.sequence = 4;
  last.generation_id = "gen-1";
  const auto effects = entry.apply(StreamEventsReceived{request, 1, {last}});
  REQUIRE(effects_of<FinishRequest>(effects).size() == 1);
  CHECK(effects_of<FinishRequest>(effects)[0].ran ==
        ExecutionStatus::kExecuted);
  CHECK(effects_of<FinishRequest>(entry.apply(EndpointDisconnected{
                                      request, 1, DisconnectReason::kClosed}))
            .empty());
}

TEST_CASE("repeated events are dropped and a gap is never skipped", "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointConnected{request, 1, 5});
  entry.deliver(request, 1, 0, 3);
  CHECK(relayed(entry.deliver(request, 1, 1, 3)) == 0);
  const auto effects = entry.deliver(request, 1, 5, 7);
  CHECK(relayed(effects) == 0);
  const auto opens = effects_of<ConnectEndpoint>(effects);
  REQUIRE(opens.size() == 1);
  CHECK(opens[0].generation_id == "gen-1");
  CHECK(opens[0].starting_after == 2);
}

TEST_CASE("a silent connection is replaced and resumed", "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointConnected{request, 1, 5});
  entry.deliver(request, 1, 0, 3);
  const auto effects = entry.advance(3000);
  const auto opens = effects_of<ConnectEndpoint>(effects);
  REQUIRE(opens.size() == 1);
  CHECK(opens[0].starting_after == 2);
  // What the old connection still says is of an older attempt.
  CHECK(relayed(entry.deliver(request, 1, 3, 5)) == 0);
  CHECK(relayed(entry.deliver(request, opens[0].attempt, 3, 5)) == 2);
}

TEST_CASE("an answer of another generation is not joined", "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointConnected{request, 1, 5});
  entry.deliver(request, 1, 0, 3);
  StreamEvent foreign;
  foreign.kind = StreamEventKind::kCompleted;
  foreign.sequence = 3;
  foreign.generation_id = "gen-2";
  const auto effects = entry.apply(StreamEventsReceived{request, 1, {foreign}});
  CHECK(relayed(effects) == 0);
  CHECK(effects_of<FinishRequest>(effects).empty());
}

TEST_CASE("an endpoint lost before the first token is replaced", "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  const auto effects = entry.apply(
      EndpointDisconnected{request, 1, DisconnectReason::kConnectFailed});
  CHECK(effects_of<FinishRequest>(effects).empty());
  const auto later = entry.advance(2000);
  REQUIRE(effects_of<SendEnqueue>(later).size() == 1);
  CHECK(effects_of<SendEnqueue>(later)[0].request.excluded_endpoints ==
        std::vector<std::string>{"engine-1"});
}

TEST_CASE(
    "an endpoint lost after the first token ends the stream as partly "
    "run",
    "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointConnected{request, 1, 5});
  entry.deliver(request, 1, 0, 3);
  const auto opens = effects_of<ConnectEndpoint>(
      entry.apply(EndpointDisconnected{request, 1, DisconnectReason::kClosed}));
  REQUIRE(opens.size() == 1);
  constexpr std::uint64_t kOtherIncarnation = 6;
  const auto effects = entry.apply(
      EndpointConnected{request, opens[0].attempt, kOtherIncarnation});
  REQUIRE(effects_of<FinishRequest>(effects).size() == 1);
  CHECK(effects_of<FinishRequest>(effects)[0].ran ==
        ExecutionStatus::kPartlyExecuted);
}

TEST_CASE("not run is only said when no byte left", "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  SECTION("the connection was never made") {
    entry.apply(
        EndpointDisconnected{request, 1, DisconnectReason::kConnectFailed});
    const auto effects = entry.advance(6000);
    REQUIRE(effects_of<FinishRequest>(effects).size() == 1);
    CHECK(effects_of<FinishRequest>(effects)[0].ran ==
          ExecutionStatus::kNotExecuted);
  }
  SECTION("the endpoint declined it") {
    entry.apply(EndpointDisconnected{request, 1, DisconnectReason::kDeclined});
    const auto effects = entry.advance(6000);
    REQUIRE(effects_of<FinishRequest>(effects).size() == 1);
    CHECK(effects_of<FinishRequest>(effects)[0].ran ==
          ExecutionStatus::kNotExecuted);
  }
  SECTION("it closed after bytes had left") {
    entry.apply(EndpointDisconnected{request, 1, DisconnectReason::kClosed});
    const auto effects = entry.advance(6000);
    REQUIRE(effects_of<FinishRequest>(effects).size() == 1);
    CHECK(effects_of<FinishRequest>(effects)[0].ran ==
          ExecutionStatus::kUnknown);
  }
  SECTION("it was withdrawn after it had started") {
    entry.apply(EndpointConnected{request, 1, 5});
    const std::string dispatcher =
        entry.state.generations.at(request).dispatcher;
    entry.apply(WithdrawalReceived{dispatcher, request});
    const auto effects = entry.apply(RefusalReceived{
        dispatcher, request, RefusalKind::kDeadlineUnreachable, 1000});
    REQUIRE(effects_of<FinishRequest>(effects).size() == 1);
    CHECK(effects_of<FinishRequest>(effects)[0].ran ==
          ExecutionStatus::kPartlyExecuted);
  }
}

TEST_CASE("a request is refused by its deadline without a dispatcher",
          "[entry]") {
  EntryHarness entry;
  GenerationRequested event;
  event.request = 77;
  event.caller = "small";
  event.rank = "urgent";
  event.service = "model";
  event.model = "writer";
  entry.apply(event);
  const auto effects = entry.advance(4100);
  REQUIRE(effects_of<FinishRequest>(effects).size() == 1);
  CHECK(effects_of<FinishRequest>(effects)[0].ran ==
        ExecutionStatus::kNotExecuted);
}

TEST_CASE("a silent dispatcher is replaced by the next within two seconds",
          "[entry]") {
  EntryHarness entry;
  GenerationRequested event;
  event.request = 5;
  event.caller = "small";
  event.rank = "bulk";
  event.service = "model";
  event.model = "writer";
  entry.apply(event);
  const std::string first = entry.state.generations.at(5).dispatcher;
  const auto effects = entry.advance(2000);
  const std::string second = entry.state.generations.at(5).dispatcher;
  CHECK(first != second);
  bool reported = false;
  for (const auto& report : effects_of<SendReport>(effects)) {
    reported = reported || (report.dispatcher == second && report.full &&
                            report.enqueue.size() == 1);
  }
  CHECK(reported);
}

TEST_CASE("the connection of a request that is run anew says nothing more",
          "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  const auto effects = entry.apply(
      EndpointDisconnected{request, 1, DisconnectReason::kProtocolError});
  CHECK(effects_of<DisconnectEndpoint>(effects).size() == 1);
  CHECK(relayed(entry.deliver(request, 1, 0, 3)) == 0);
}

TEST_CASE("two dispatchers that grant the same request do no harm", "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  const auto effects =
      entry.apply(GrantReceived{"vm-2", request, "engine-2", "rank_order"});
  CHECK(effects_of<ConnectEndpoint>(effects).empty());
}

TEST_CASE("a grant for a leaving endpoint is not used", "[entry]") {
  EntryHarness entry;
  FleetView view = samples::view(3);
  for (auto& endpoint : view.endpoints) {
    if (endpoint.id == "engine-1") endpoint.leaving = true;
  }
  entry.apply(EntryViewChanged{view});
  const auto request = entry.start_generation();
  CHECK(entry.state.generations.at(request).stage ==
        GenerationStage::kAwaitingRetry);
}

TEST_CASE("a resent request joins its running generation", "[entry]") {
  EntryHarness entry;
  const auto first = entry.start_generation("key");
  entry.apply(EndpointConnected{first, 1, 5});
  entry.deliver(first, 1, 0, 3);
  GenerationRequested again;
  again.request = 500;
  again.caller = "small";
  again.rank = "urgent";
  again.service = "model";
  again.model = "writer";
  again.idempotency_key = "key";
  const auto opens = effects_of<ConnectEndpoint>(entry.apply(again));
  REQUIRE(opens.size() == 1);
  CHECK(opens[0].generation_id == "gen-1");
  CHECK(opens[0].starting_after == -1);
}

TEST_CASE("an absent caller's generation is cancelled after a while",
          "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointConnected{request, 1, 5});
  entry.deliver(request, 1, 0, 3);
  entry.apply(CallerConnectionEnded{request, false});
  bool cancelled = false;
  for (int i = 0; i < 25 && !cancelled; ++i) {
    const auto attempt = entry.state.generations.at(request).attempt;
    entry.deliver(request, attempt, 3 + i, 4 + i);
    for (const auto& cancel :
         effects_of<CancelGeneration>(entry.advance(1000))) {
      cancelled = cancel.only_unwatched;
    }
  }
  CHECK(cancelled);
}

TEST_CASE("a lower configuration revision is never taken", "[entry]") {
  EntryHarness entry;
  FleetConfig newer = samples::config();
  newer.revision = 9;
  entry.apply(EntryConfigChanged{newer});
  entry.apply(EntryConfigChanged{samples::config()});
  CHECK(entry.state.config.revision == 9);
}

TEST_CASE("the old connection of a withdrawn request loses no endpoint",
          "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointConnected{request, 1, 5});
  const std::string dispatcher = entry.state.generations.at(request).dispatcher;
  entry.apply(WithdrawalReceived{dispatcher, request});
  const auto effects =
      entry.apply(EndpointDisconnected{request, 1, DisconnectReason::kClosed});
  CHECK(effects_of<SendProgress>(effects).empty());
  CHECK(entry.state.generations.at(request).stage == GenerationStage::kQueued);
}

// Asks for a generation after credits for `count` requests have come.
std::vector<EntryEffect> ask_with_credits(EntryHarness& entry,
                                          std::uint32_t count, Millis later) {
  entry.apply(
      CreditsReceived{"vm-2", "model/r/0", {{"engine-2", "writer", count}}});
  entry.advance(later);
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
  EntryHarness entry;
  const auto effects = ask_with_credits(entry, 1, 0);
  REQUIRE(effects_of<ConnectEndpoint>(effects).size() == 1);
  CHECK(effects_of<ConnectEndpoint>(effects)[0].endpoint == "engine-2");
  REQUIRE(effects_of<SendProgress>(effects).size() == 1);
  CHECK(effects_of<SendProgress>(effects)[0].include_request);
  GenerationRequested next;
  next.request = 900;
  next.caller = "small";
  next.rank = "urgent";
  next.service = "model";
  next.model = "writer";
  CHECK(effects_of<SendEnqueue>(entry.apply(next)).size() == 1);
}

TEST_CASE("old, revoked and foreign credits are not spent", "[credits]") {
  EntryHarness entry;
  SECTION("old") {
    CHECK(effects_of<SendEnqueue>(ask_with_credits(entry, 1, 2000)).size() ==
          1);
  }
  SECTION("revoked") {
    CHECK(effects_of<SendEnqueue>(ask_with_credits(entry, 0, 0)).size() == 1);
  }
  SECTION("the endpoint leaves") {
    FleetView view = samples::view(3);
    for (auto& endpoint : view.endpoints) endpoint.leaving = true;
    entry.apply(EntryViewChanged{view});
    CHECK(effects_of<SendEnqueue>(ask_with_credits(entry, 1, 0)).size() == 1);
  }
  SECTION("its endpoint was lost before") {
    entry.state.lost_fingerprints[9] = entry.now;
    CHECK(effects_of<SendEnqueue>(ask_with_credits(entry, 1, 0)).size() == 1);
  }
}

TEST_CASE("each refusal is counted under its minute", "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  const std::string dispatcher = entry.state.generations.at(request).dispatcher;
  entry.apply(EndpointDisconnected{request, 1, DisconnectReason::kDeclined});
  entry.advance(500);
  const auto effects = entry.apply(
      RefusalReceived{dispatcher, request, RefusalKind::kQuarantined, 1000});
  const auto counts = effects_of<CountRefusal>(effects);
  REQUIRE(counts.size() == 1);
  CHECK(counts[0].bucket.minute == 7);
  CHECK(counts[0].count == 1);
  CHECK(total_refusals(entry.state.ledger, 7, 8).size() == 1);
}

}  // namespace
}  // namespace peridotreach
