// Tests of the timeline of a request that is built from logs.

#include "runtime/request_timeline.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace peridotreach {
namespace {

const char* const kLog = R"(
{"at_ms":900,"level":"info","program":"p","vm":"vm-1","message":"endpoint_leaving","endpoint":"e9","cause":"notice"}
{"at_ms":1000,"level":"info","program":"p","vm":"vm-1","message":"placed","request":"4","id":"r-1","endpoint":"e1","attempt":"1"}
no log line
   0.7 vm-2 {"at_ms":1100,"level":"info","program":"p","vm":"vm-2","message":"endpoint_leaving","endpoint":"e1","cause":"notice"}
{"at_ms":1200,"level":"info","program":"p","vm":"vm-1","message":"endpoint_leaving","endpoint":"e1","cause":"notice"}
{"at_ms":1300,"level":"info","program":"p","vm":"vm-1","message":"outcome","request":"4","id":"r-1","status":"broken_off","cause":"endpoint's stream broke off"}
{"at_ms":1050,"level":"info","program":"p","vm":"vm-1","message":"outcome","request":"5","id":"r-2","status":"503","reason":"no_manifest"}
{"at_ms":1400,"level":"info","program":"p","vm":"vm-3","message":"placed","request":"1","id":"r-3","endpoint":"e2"}
{"at_ms":1500,"level":"warning","program":"p","vm":"vm-3","message":"store_lost","detail":"registration"}
{"at_ms":1600,"level":"info","program":"p","vm":"vm-3","message":"outcome","request":"2","id":"r-4","status":"200","endpoint":"e2"}
{"at_ms":17)";

RequestLog sample() {
  RequestLog log;
  std::istringstream text(kLog);
  log.read(text);
  return log;
}

TEST_CASE("a timeline has the request's lines and context lines of its process",
          "[timeline]") {
  const RequestTimeline timeline = sample().timeline("r-1");
  REQUIRE(timeline.entries.size() == 3);
  CHECK(timeline.entries[0].message == "placed");
  CHECK(timeline.entries[0].detail == "endpoint=e1 attempt=1");
  CHECK(timeline.entries[1].is_context);
  CHECK(timeline.entries[1].vm == "vm-1");
  CHECK(timeline.summary ==
        "The stream was broken off at e1: endpoint's stream broke off.");
}

TEST_CASE("the timeline states how the request ended", "[timeline]") {
  const RequestLog log = sample();
  CHECK(log.timeline("r-2").summary ==
        "Answered 503 by the router: no_manifest.");
  CHECK(log.timeline("r-4").summary ==
        "The endpoint's answer 200 at e2 was delivered.");
  CHECK(log.timeline("r-5").entries.empty());
  CHECK(log.timeline("r-5").summary ==
        "No line in these logs mentions the request.");
}

TEST_CASE("without an outcome all later context lines are included",
          "[timeline]") {
  const RequestTimeline timeline = sample().timeline("r-3");
  REQUIRE(timeline.entries.size() == 2);
  CHECK(timeline.entries[1].message == "store_lost");
  CHECK(timeline.summary ==
        "No outcome was logged: the process ended, or the request was still "
        "in flight at e2.");
}

}  // namespace
}  // namespace peridotreach
