// Seeded mutation tests of the decoders, and tests of sheet validation, tokens,
// wire messages and configuration changes.

#include <sodium.h>

#include <catch2/catch.hpp>
#include <random>

#include "fleet.pb.h"
#include "libperidotreach/config_change.h"
#include "libperidotreach/sheet_check.h"
#include "libperidotreach/signed_token.h"
#include "peridot-dispatch/endpoint_watch.h"
#include "peridot-entry/engine_stream.h"
#include "runtime/json_sheet.h"
#include "runtime/sse_parser.h"
#include "runtime/vm_list.h"
#include "runtime/wire.h"
#include "tests/samples.h"

namespace peridotreach {
namespace {

constexpr int kMutations = 2000;

// Returns `text` with one to four random changes: a byte replaced, bytes
// erased or duplicated, or the end cut off.
std::string mutate(std::mt19937_64& random, std::string text) {
  const std::uint64_t changes = 1 + random() % 4;
  for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
    const std::size_t at = random() % text.size();
    switch (random() % 4) {
      case 0:
        text[at] = static_cast<char>(random());
        break;
      case 1:
        text.erase(at, 1 + random() % 5);
        break;
      case 2:
        text.insert(at, text.substr(at, random() % 20));
        break;
      default:
        text.resize(at);
        break;
    }
  }
  return text;
}

template <class Decode>
void fuzz(const std::string& valid, Decode decode) {
  const google::protobuf::LogSilencer log_silencer;
  std::mt19937_64 random(11);
  for (int i = 0; i < kMutations; ++i) decode(mutate(random, valid));
  SUCCEED();
}

const char* const kSheet = R"({"deployment":"d","serial":3,"zones":["a"],
  "ranks":[{"id":"urgent","order":0,"token_gap_target_ms":47,
            "start_deadline_ms":4000}],
  "callers":[{"id":"c","key_sha256":
    "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
    "share":1,"ranks":["urgent"]}],
  "services":[{"id":"s","kind":"KIND_MODEL","models":["m"]}],
  "places":[{"zone":"a","service":"s","model":"m","version":"v1",
             "copies":1}]})";

TEST_CASE("decoders do not crash on mutated input", "[fuzz]") {
  SECTION("sheets") {
    fuzz(kSheet, [](const std::string& text) {
      proto::Sheet sheet;
      read_sheet(text, sheet);
    });
  }
  SECTION("engine events") {
    fuzz(
        "{\"type\":\"response.created\",\"sequence_number\":0,"
        "\"response\":{\"id\":\"gen1\"}}",
        [](const std::string& text) {
          StreamEvent item;
          parse_stream_event("response.created", text, item);
        });
  }
  SECTION("load reports") {
    fuzz(
        "{\"type\":\"load\",\"incarnation\":\"7\",\"kv_used\":1.5,"
        "\"models\":[\"m\"]}",
        [](const std::string& text) {
          DispatchEvent event;
          parse_endpoint_event("e", text, event);
        });
  }
  SECTION("VM lists") {
    fuzz(
        "{\"version\":\"1\",\"vms\":[{\"id\":\"e\",\"port\":80,"
        "\"state\":\"live\"}]}",
        [](const std::string& text) { parse_vm_list(text); });
  }
  SECTION("event streams") {
    fuzz("event: a\ndata: {\"b\":1}\n\n: comment\n\ndata: x\n\n",
         [](const std::string& text) {
           SseParser parser;
           parser.feed(text);
         });
  }
  SECTION("control messages") {
    proto::Envelope envelope;
    envelope.set_version(1);
    envelope.set_vm("vm-1");
    to_wire(samples::request(1, "small", "urgent", 0), 5,
            *envelope.mutable_report()->add_enqueue());
    NameTable names;
    names.add_names(samples::config());
    names.learn(samples::view(2));
    fuzz(envelope.SerializeAsString(), [&](const std::string& bytes) {
      proto::Envelope parsed;
      bool unknown = false;
      if (parsed.ParseFromString(bytes)) {
        entry_report_from_wire(parsed, names, 7, unknown);
      }
    });
  }
}

TEST_CASE("queued request round-trips through its wire format", "[wire]") {
  NameTable names;
  names.add_names(samples::config());
  names.learn(samples::view(2));
  QueuedRequest item = samples::request(7, "small", "urgent", 95);
  item.prefix_hashes = {1, 2, 3};
  item.excluded_endpoints = {"engine-1"};
  proto::QueueItem wire;
  to_wire(item, 100, wire);
  CHECK(from_wire(wire, names, "vm-1", 1, 100) == item);
}

TEST_CASE("tokens of another kind or key and forged tokens are rejected",
          "[tokens]") {
  REQUIRE(sodium_init() >= 0);
  const FleetKey key = derive_fleet_key("secret");
  const std::string token = sign_token(key, "resp_", "payload");
  REQUIRE(ok(verify_token(key, "resp_", token)));
  CHECK(value(verify_token(key, "resp_", token)) == "payload");
  CHECK_FALSE(ok(verify_token(key, "sess_", token)));
  CHECK_FALSE(ok(verify_token(derive_fleet_key("other"), "resp_", token)));
  std::mt19937_64 random(5);
  for (int i = 0; i < kMutations; ++i) {
    const std::string forged = mutate(random, token);
    const auto opened = verify_token(key, "resp_", forged);
    CHECK((!ok(opened) || value(opened) == "payload"));
  }
}

std::size_t count_faults(const std::string& text) {
  proto::Sheet sheet;
  return read_sheet(text, sheet).size();
}

// Returns kSheet with the first occurrence of `original` replaced by
// `replacement`.
std::string sheet_with(const std::string& original,
                       const std::string& replacement) {
  std::string text = kSheet;
  return text.replace(text.find(original), original.size(), replacement);
}

TEST_CASE("sheet validation reports every fault", "[sheet]") {
  CHECK(count_faults(kSheet) == 0);
  CHECK(count_faults(sheet_with("\"serial\":3", "\"serial\":0")) == 1);
  CHECK(count_faults(sheet_with("\"share\":1", "\"shar\":1")) == 1);
  CHECK(count_faults(sheet_with("\"share\":1", "\"share\":\"x\"")) == 1);
  CHECK(count_faults(sheet_with("[\"urgent\"]", "[\"none\"]")) == 1);
  CHECK(count_faults(sheet_with("\"model\":\"m\"", "\"model\":\"n\"")) == 1);
  CHECK(count_faults(sheet_with("\"zone\":\"a\"", "\"zone\":\"b\"")) == 1);
  CHECK(count_faults("[1]") == 1);
  // Several faults in one sheet are all reported.
  proto::Sheet sheet;
  const auto faults = read_sheet(
      R"({"serial":1,"ranks":[{"id":"a","floor":2},{"id":"a","order":1}]})",
      sheet);
  CHECK(faults.size() >= 6);
}

TEST_CASE("configuration changes", "[config]") {
  proto::Sheet sheet;
  REQUIRE(read_sheet(kSheet, sheet).empty());
  const proto::Config empty;
  const auto first = apply_sheet(empty, sheet, {"one", "op", "", 1});
  REQUIRE(ok(first));
  CHECK(value(first).revision() == 1);
  CHECK(contains_change(value(first), "one"));
  SECTION("a sheet without a higher serial is rejected") {
    const auto again = apply_sheet(value(first), sheet, {"two", "op", "", 2});
    REQUIRE_FALSE(ok(again));
    CHECK(error(again).kind == ErrorKind::kStale);
  }
  SECTION("a correction changes one field") {
    const auto next = apply_correction(
        value(first), {"callers/c/share", "2.5", "1"}, {"two", "op", "", 2});
    REQUIRE(ok(next));
    CHECK(value(next).sheet().callers(0).share() == 2.5);
  }
  SECTION(
      "a correction with an outdated expected value reports the current "
      "value") {
    const auto next = apply_correction(
        value(first), {"callers/c/share", "2", "9"}, {"two", "op", "", 2});
    REQUIRE_FALSE(ok(next));
    CHECK(error(next).kind == ErrorKind::kConflict);
    CHECK(error(next).message.find("is now 1") != std::string::npos);
  }
  SECTION("unknown paths and values that are not numbers are rejected") {
    CHECK_FALSE(ok(apply_correction(value(first), {"callers/x/share", "2", ""},
                                    {"two", "op", "", 2})));
    CHECK_FALSE(ok(apply_correction(value(first), {"callers/c/none", "2", ""},
                                    {"two", "op", "", 2})));
    CHECK_FALSE(ok(apply_correction(value(first), {"callers/c/share", "x", ""},
                                    {"two", "op", "", 2})));
  }
  SECTION("a new sheet keeps drained endpoints") {
    const auto drained = apply_correction(
        value(first), {"drained/engine-1", "yes", ""}, {"two", "op", "", 2});
    REQUIRE(ok(drained));
    sheet.set_serial(4);
    const auto next =
        apply_sheet(value(drained), sheet, {"three", "op", "", 3});
    REQUIRE(ok(next));
    CHECK(value(next).sheet().drained(0) == "engine-1");
  }
  SECTION("the change history is limited") {
    proto::Config config = value(first);
    for (int i = 0; i < 100; ++i) {
      const auto next =
          apply_correction(config, {"callers/c/share", "2", ""},
                           {"c" + std::to_string(i), "op", "", 2});
      REQUIRE(ok(next));
      config = value(next);
    }
    CHECK(config.changes_size() == static_cast<int>(kChangeHistoryLimit));
    CHECK(config.revision() == 101);
  }
}

}  // namespace
}  // namespace peridotreach
