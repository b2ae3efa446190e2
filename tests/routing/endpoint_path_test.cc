// Tests of a process that cannot connect to endpoints which its peers reach.

#include <catch2/catch.hpp>
#include <set>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/tunnels.h"
#include "tests/routing/router_harness.h"

namespace peridotreach {
namespace {

using samples::effects_of;
using samples::RouterHarness;

// The time in which a connection fails, and that in which a router has to know
// that its own links are lost.
constexpr Millis kConnectTime = 400;
constexpr Millis kDetectionTime = 3 * kSecond;

// Lets all attempts among `effects`, and those that follow from them, fail
// without being sent unless they go through a peer, which are served. Returns
// how many callers get a 503.
std::size_t fail_connections(RouterHarness& router,
                             std::vector<RoutingEffect> effects) {
  std::size_t rejected = 0;
  while (true) {
    for (const auto& response : effects_of<SendLocalResponse>(effects)) {
      if (response.status == 503) rejected += 1;
    }
    const auto attempts = effects_of<StartAttempt>(effects);
    if (attempts.empty()) return rejected;
    effects.clear();
    router.now += kConnectTime;
    for (const StartAttempt& attempt : attempts) {
      AttemptEnded ended{attempt.request, attempt.attempt,
                         AttemptOutcome::kNotSent};
      if (attempt.through_peer) {
        ended.outcome = AttemptOutcome::kCompleteResponse;
        ended.status = 200;
      }
      const auto next = router.apply(ended);
      effects.insert(effects.end(), next.begin(), next.end());
    }
  }
}

TEST_CASE(
    "a VM that is cut off from all endpoints rejects what peers can serve",
    "[routing]") {
  RouterHarness router;
  PeerReportReceived peer;
  peer.peer = "vm-2";
  router.apply(peer);
  const Millis cut_at = router.now;
  std::size_t rejected = 0;
  while (router.now < cut_at + 3 * kDetectionTime) {
    const std::size_t before = router.effects.size();
    router.send_request("/entry/1");
    const std::size_t rejected_now = fail_connections(
        router, {router.effects.begin() + static_cast<std::ptrdiff_t>(before),
                 router.effects.end()});
    if (router.now >= cut_at + kDetectionTime) rejected += rejected_now;
    router.advance(100);
  }
  CHECK(rejected == 0);
}

// A router with a peer, which has lost its links to endpoints.
RouterHarness cut_off_router() {
  RouterHarness router;
  PeerReportReceived peer;
  peer.peer = "vm-2";
  router.apply(peer);
  router.apply(EndpointUnreachable{"p1"});
  router.apply(EndpointUnreachable{"e1"});
  REQUIRE(sends_through_peers(router.state));
  return router;
}

AttemptEnded not_sent(const StartAttempt& attempt, ConnectFailure failure) {
  AttemptEnded ended{attempt.request, attempt.attempt,
                     AttemptOutcome::kNotSent};
  ended.connect_failure = failure;
  return ended;
}

TEST_CASE("the loss of a VM's own links does not count against endpoints",
          "[routing]") {
  RouterHarness router = cut_off_router();
  for (const char* id : {"p1", "e1"}) {
    const EndpointState& endpoint = router.state.endpoints.at(id);
    CHECK(accepts_new_requests(endpoint, router.now));
    CHECK(transport_failures_at(endpoint, router.now) == 0);
  }
}

TEST_CASE("a stream that a VM's loss of links cut off is not held to crash",
          "[routing]") {
  RouterHarness router;
  PeerReportReceived peer;
  peer.peer = "vm-2";
  router.apply(peer);
  const auto request = router.send_request("/stream/1");
  const StartAttempt attempt = router.last_attempt(request);
  router.now += 100;
  router.apply(EndpointUnreachable{"p1"});
  router.apply(EndpointUnreachable{"p2"});
  router.now += 4 * kSecond;
  const bool is_back = GENERATE(false, true);
  if (is_back) router.apply(EndpointPathProbed{});
  router.apply(AttemptEnded{request, attempt.attempt, AttemptOutcome::kBroken});
  CHECK(router.state.quarantine.suspects.empty());
  CHECK(router.state.prompt_quarantine == PromptQuarantine());
}

TEST_CASE("one endpoint that fails does not look like a loss of the links",
          "[routing]") {
  EndpointPath path;
  CHECK_FALSE(observe_unreached(path, "p1", 5, 1000));
  CHECK_FALSE(observe_unreached(path, "p1", 5, 1400));
  SECTION("another connection is made meanwhile") {
    observe_connected(path, 1500, 1510);
    CHECK_FALSE(observe_unreached(path, "p2", 5, 1600));
  }
  SECTION("the next failure comes much later") {
    CHECK_FALSE(observe_unreached(path, "p2", 5, 4000));
  }
  SECTION("a second endpoint fails at the same time") {
    CHECK(observe_unreached(path, "p2", 5, 1600));
    CHECK(path.lost_since == 1000);
    CHECK_FALSE(observe_connected(path, 1200, 1700));
    CHECK(observe_connected(path, 1700, 1701));
    CHECK(path.lost_since == 0);
  }
  SECTION("it is the only one") {
    EndpointPath single;
    CHECK(observe_unreached(single, "p1", 1, 1000));
  }
}

TEST_CASE("a lost path is probed at once and then at intervals", "[routing]") {
  RouterHarness router = cut_off_router();
  CHECK(effects_of<ProbeEndpointPath>(router.advance(40)).size() == 3);
  CHECK(effects_of<ProbeEndpointPath>(router.advance(40)).empty());
  // Endpoints that have failed are left out while there are others.
  router.apply(EndpointUnreachable{"e2"});
  router.apply(EndpointUnreachable{"e3"});
  CHECK(effects_of<ProbeEndpointPath>(router.advance(500)).size() == 1);
  router.apply(EndpointUnreachable{"p2"});
  CHECK(effects_of<ProbeEndpointPath>(router.advance(500)).size() == 3);
  router.apply(EndpointPathProbed{});
  const auto request = router.send_request("/entry/1");
  CHECK_FALSE(router.last_attempt(request).through_peer);
  CHECK(effects_of<ProbeEndpointPath>(router.advance(500)).empty());
}

TEST_CASE("an attempt for which no peer opens a tunnel is repeated in bounds",
          "[routing]") {
  RouterHarness router = cut_off_router();
  const auto request = router.send_request("/entry/1");
  const StartAttempt first = router.last_attempt(request);
  REQUIRE(first.through_peer);
  std::size_t attempts = 1;
  while (router.state.requests.contains(request)) {
    const StartAttempt attempt = router.last_attempt(request);
    CHECK(attempt.endpoint == first.endpoint);
    router.apply(not_sent(attempt, ConnectFailure::kNoTunnel));
    attempts += 1;
    REQUIRE(attempts < 10);
  }
  const auto responses = effects_of<SendLocalResponse>(router.effects);
  REQUIRE(responses.size() == 1);
  CHECK(responses[0].status == 503);
  CHECK(responses[0].retry_after > 0);
  CHECK(accepts_new_requests(router.state.endpoints.at(first.endpoint),
                             router.now));
}

TEST_CASE("an endpoint that peers decline or do not reach is left for another",
          "[routing]") {
  RouterHarness router = cut_off_router();
  const auto failure = GENERATE(ConnectFailure::kDeclinedByPeer,
                                ConnectFailure::kEndpointUnreachable);
  const auto request = router.send_request("/entry/1");
  const StartAttempt first = router.last_attempt(request);
  AttemptEnded ended = not_sent(first, failure);
  ended.declined_for = 700;
  router.apply(ended);
  const StartAttempt second = router.last_attempt(request);
  CHECK(second.attempt == 2);
  CHECK(second.endpoint != first.endpoint);
  CHECK_FALSE(accepts_new_requests(router.state.endpoints.at(first.endpoint),
                                   router.now + 600));
}

PeerView view_of(const std::vector<PeerRecord>& records) {
  PeerView view;
  for (const PeerRecord& record : records)
    update_peer_status(view, record, {true, false, true}, 1000);
  return view;
}

TEST_CASE("tunnels are asked for in the own zone unless it seems cut off",
          "[routing]") {
  const auto record = [](const std::string& vm, const std::string& zone) {
    return PeerRecord{vm, zone, "", "127.0.0.1:1", 1, 100, 7200};
  };
  const PeerRecord self = record("vm-0", "a");
  PeerView view = view_of({record("vm-1", "a"), record("vm-2", "a"),
                           record("vm-3", "a"), record("vm-4", "b")});
  UnavailableTunnelPeers unavailable;
  const auto chosen = [&](std::uint64_t draw) {
    const auto peer = choose_tunnel_peer(view, self, unavailable, 1100, draw);
    return peer ? peer->vm : "";
  };
  for (std::uint64_t draw = 0; draw < 400; draw += 7)
    CHECK(chosen(draw) != "vm-4");
  mark_unavailable(unavailable, "vm-1", 1100);
  for (std::uint64_t draw = 0; draw < 400; draw += 7) {
    CHECK(chosen(draw) != "vm-1");
    CHECK(chosen(draw) != "vm-4");
  }
  mark_unavailable(unavailable, "vm-2", 1100);
  std::set<std::string> found;
  for (std::uint64_t draw = 0; draw < 400; draw += 7)
    found.insert(chosen(draw));
  CHECK(found == std::set<std::string>{"vm-3", "vm-4"});
  view.peers.at("vm-3").stopping = true;
  view.peers.at("vm-4").record.tunnel_port = 0;
  CHECK(chosen(0).empty());
  CHECK_FALSE(choose_tunnel_peer(view, self, {}, 9000, 0));
}

TEST_CASE("what binds a router's own requests binds those that it passes on",
          "[routing]") {
  RouterHarness router;
  const auto verdict = [&](const std::string& id, bool is_resumed = false) {
    return answer_tunnel_request(router.state, {id, is_resumed}, 0, 8).verdict;
  };
  CHECK(verdict("p1") == TunnelVerdict::kOpen);
  CHECK(verdict("unknown") == TunnelVerdict::kDeclined);
  CHECK(answer_tunnel_request(router.state, {"p1", false}, 8, 8).verdict ==
        TunnelVerdict::kUnavailable);
  SECTION("an endpoint said that it leaves") {
    router.apply(EndpointAnswered{"p1", {std::nullopt, true}});
    CHECK(verdict("p1") == TunnelVerdict::kDeclined);
    CHECK(verdict("p1", true) == TunnelVerdict::kOpen);
  }
  SECTION("an endpoint asked for a pause") {
    router.apply(EndpointAnswered{"p1", {std::nullopt, false, 900}});
    const TunnelAnswer answer =
        answer_tunnel_request(router.state, {"p1", false}, 0, 8);
    CHECK(answer == TunnelAnswer{TunnelVerdict::kDeclined, 900});
  }
  SECTION("the router reaches no endpoint itself") {
    router.apply(EndpointUnreachable{"p1"});
    router.apply(EndpointUnreachable{"p2"});
    CHECK(verdict("p1") == TunnelVerdict::kUnavailable);
  }
  SECTION("the router stops") {
    router.apply(StopRequested{8 * kSecond});
    CHECK(verdict("p1") == TunnelVerdict::kUnavailable);
  }
}

TEST_CASE("tunnels take a small part of memory and sockets", "[routing]") {
  CHECK(max_tunnels(0, 0) == 256);
  CHECK(max_tunnels(88U << 20U, 3900) < 88);
  CHECK(max_tunnels(1U << 30U, 320) == 10);
}

}  // namespace
}  // namespace peridotreach
