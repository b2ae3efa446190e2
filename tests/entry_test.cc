// Tests of the entry reducer in virtual time: streams, resumption, lost
// endpoints, and refusals that state correctly whether a request ran.

#include <catch2/catch.hpp>

#include "tests/samples.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::EntryHarness;

std::size_t relayed_event_count(const std::vector<EntryEffect>& effects) {
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
  CHECK(relayed_event_count(entry.deliver(request, 1, 0, 4)) == 4);
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
  CHECK(relayed_event_count(entry.deliver(request, 1, 1, 3)) == 0);
  const auto effects = entry.deliver(request, 1, 5, 7);
  CHECK(relayed_event_count(effects) == 0);
  const auto connects = effects_of<ConnectEndpoint>(effects);
  REQUIRE(connects.size() == 1);
  CHECK(connects[0].generation_id == "gen-1");
  CHECK(connects[0].starting_after == 2);
}

TEST_CASE("a silent connection is replaced and resumed", "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointConnected{request, 1, 5});
  entry.deliver(request, 1, 0, 3);
  const auto effects = entry.advance(3000);
  const auto connects = effects_of<ConnectEndpoint>(effects);
  REQUIRE(connects.size() == 1);
  CHECK(connects[0].starting_after == 2);
  // Events that still arrive on the old connection belong to an older attempt.
  CHECK(relayed_event_count(entry.deliver(request, 1, 3, 5)) == 0);
  CHECK(relayed_event_count(
            entry.deliver(request, connects[0].attempt, 3, 5)) == 2);
}

TEST_CASE("events of another generation are not relayed", "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointConnected{request, 1, 5});
  entry.deliver(request, 1, 0, 3);
  StreamEvent other_event;
  other_event.kind = StreamEventKind::kCompleted;
  other_event.sequence = 3;
  other_event.generation_id = "gen-2";
  const auto effects =
      entry.apply(StreamEventsReceived{request, 1, {other_event}});
  CHECK(relayed_event_count(effects) == 0);
  CHECK(effects_of<FinishRequest>(effects).empty());
}

TEST_CASE("a request whose endpoint is lost before the first token is retried",
          "[entry]") {
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
    "executed",
    "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  entry.apply(EndpointConnected{request, 1, 5});
  entry.deliver(request, 1, 0, 3);
  const auto connects = effects_of<ConnectEndpoint>(
      entry.apply(EndpointDisconnected{request, 1, DisconnectReason::kClosed}));
  REQUIRE(connects.size() == 1);
  constexpr std::uint64_t kOtherIncarnation = 6;
  const auto effects = entry.apply(
      EndpointConnected{request, connects[0].attempt, kOtherIncarnation});
  REQUIRE(effects_of<FinishRequest>(effects).size() == 1);
  CHECK(effects_of<FinishRequest>(effects)[0].ran ==
        ExecutionStatus::kPartlyExecuted);
}

TEST_CASE("a request is reported as not executed only if no byte was sent",
          "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  SECTION("connecting failed") {
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
  SECTION("the connection ended after bytes were sent") {
    entry.apply(EndpointDisconnected{request, 1, DisconnectReason::kClosed});
    const auto effects = entry.advance(6000);
    REQUIRE(effects_of<FinishRequest>(effects).size() == 1);
    CHECK(effects_of<FinishRequest>(effects)[0].ran ==
          ExecutionStatus::kUnknown);
  }
  SECTION("the grant was withdrawn after the request started") {
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

TEST_CASE(
    "a request without an answer from a dispatcher is refused at its deadline",
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

TEST_CASE("events on the old connection of a retried request are ignored",
          "[entry]") {
  EntryHarness entry;
  const auto request = entry.start_generation();
  const auto effects = entry.apply(
      EndpointDisconnected{request, 1, DisconnectReason::kProtocolError});
  CHECK(effects_of<DisconnectEndpoint>(effects).size() == 1);
  CHECK(relayed_event_count(entry.deliver(request, 1, 0, 3)) == 0);
}

TEST_CASE("a second grant of the same request is ignored", "[entry]") {
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
  GenerationRequested resent;
  resent.request = 500;
  resent.caller = "small";
  resent.rank = "urgent";
  resent.service = "model";
  resent.model = "writer";
  resent.idempotency_key = "key";
  const auto connects = effects_of<ConnectEndpoint>(entry.apply(resent));
  REQUIRE(connects.size() == 1);
  CHECK(connects[0].generation_id == "gen-1");
  CHECK(connects[0].starting_after == -1);
}

TEST_CASE("the generation of a caller that stays disconnected is cancelled",
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

TEST_CASE("a lower configuration revision is never applied", "[entry]") {
  EntryHarness entry;
  FleetConfig newer = samples::config();
  newer.revision = 9;
  entry.apply(EntryConfigChanged{newer});
  entry.apply(EntryConfigChanged{samples::config()});
  CHECK(entry.state.config.revision == 9);
}

TEST_CASE(
    "the end of a withdrawn request's old connection reports no lost endpoint",
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

// Receives credits for `count` requests, advances the time by `delay`, and
// requests a generation.
std::vector<EntryEffect> request_with_credits(EntryHarness& entry,
                                              std::uint32_t count,
                                              Millis delay) {
  entry.apply(
      CreditsReceived{"vm-2", "model/r/0", {{"engine-2", "writer", count}}});
  entry.advance(delay);
  GenerationRequested event;
  event.request = 700 + count;
  event.caller = "small";
  event.rank = "urgent";
  event.service = "model";
  event.model = "writer";
  event.fingerprint = 9;
  return entry.apply(event);
}

TEST_CASE("a request that starts on a credit is reported to the dispatcher",
          "[credits]") {
  EntryHarness entry;
  const auto effects = request_with_credits(entry, 1, 0);
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

TEST_CASE("expired, revoked and unsuitable credits are not used", "[credits]") {
  EntryHarness entry;
  SECTION("expired") {
    CHECK(
        effects_of<SendEnqueue>(request_with_credits(entry, 1, 2000)).size() ==
        1);
  }
  SECTION("revoked") {
    CHECK(effects_of<SendEnqueue>(request_with_credits(entry, 0, 0)).size() ==
          1);
  }
  SECTION("the endpoint is leaving") {
    FleetView view = samples::view(3);
    for (auto& endpoint : view.endpoints) endpoint.leaving = true;
    entry.apply(EntryViewChanged{view});
    CHECK(effects_of<SendEnqueue>(request_with_credits(entry, 1, 0)).size() ==
          1);
  }
  SECTION("an endpoint was lost while it ran the same request") {
    entry.state.lost_fingerprints[9] = entry.now;
    CHECK(effects_of<SendEnqueue>(request_with_credits(entry, 1, 0)).size() ==
          1);
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
