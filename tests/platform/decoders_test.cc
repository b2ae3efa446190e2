// Tests of the platform's decoders with valid input, missing and unknown
// fields, wrong types and truncated text.

#include <catch2/catch.hpp>
#include <random>

#include "platform/endpoint_decoder.h"
#include "platform/http_format.h"
#include "platform/manifest_decoder.h"
#include "platform/metadata_store.h"
#include "platform/platform_settings.h"
#include "platform/wire_names.h"

namespace peridotreach::platform {
namespace {

const char* const kManifest = R"({"version":12,"routes":[
  {"name":"r1","host":"a.test","path_prefix":"/reports/","type":"stream",
   "timeout_ms":39000,"slo_ms":4000,"gap_slo_ms":180,"priority":2,
   "backends":[{"service":"engines","weight":90},
               {"service":"spare","weight":10}],
   "attempts":1,"public":false,"affinity":true,"something_new":[1]},
  {"name":"r2","host":"a.test","path_prefix":"/entries/",
   "type":"non_idempotent","timeout_ms":800,"slo_ms":150,"priority":1,
   "service":"plain","attempts":1,"public":true}],
  "services":[{"name":"engines","max_conns":222,"cold_start_s":1.5,"cold_per_s":28,
    "engine":{"slots":24,"kv_capacity":34197,"kv_token_bytes":163840,
      "link_mbps":24000.0,"moves":true,"backups":true,"stride":4,
      "handle_s":5.0}},{"name":"plain","max_conns":96}],
  "limits":{"max_header_bytes":1000,"max_body_bytes":2000,
    "header_timeout_ms":3000,"idle_timeout_ms":15000},
  "tenants":[{"name":"mill","api_keys":["k1","k2"],"priority":0}]})";

const char* const kEndpointText =
    R"({"service":"engines","address":"127.0.0.5:8080","zone":"a",
  "version":"v1","slots":24,"state":"draining","cold_left_ms":700,"seq":4,
  "born":1783720206030})";

const char* const kSettings = R"({"node":"front-a-1","zone":"a","region":"r",
  "seeds":["127.0.0.2:8748","broken"],
  "listen":{"front":"127.0.0.1:1","readiness":"127.0.0.1:2",
            "control":"127.0.0.1:3","directory":"127.0.0.1:4"},
  "bounds":{"retry_ratio":0.2,"retry_slack":52,"retry_window_s":10,
            "grace_s":8},
  "provider":{"address":"127.0.0.9:5","ttl_min_ms":1000}})";

// Decodes 2000 variants of `valid`, each truncated, with bytes removed or with
// a byte replaced. Fails if a decoder crashes.
template <class Decode>
void fuzz(const std::string& valid, Decode decode) {
  std::mt19937_64 random(7);
  for (int i = 0; i < 2000; ++i) {
    std::string text = valid;
    const std::size_t position = random() % text.size();
    if (i % 3 == 0) text.resize(position);
    if (i % 3 == 1) text.erase(position, 1 + random() % 6);
    if (i % 3 == 2) text[position] = static_cast<char>(random());
    decode(text);
  }
  SUCCEED();
}

TEST_CASE("decode_manifest reads routes, services, accounts and limits",
          "[platform]") {
  const auto decoded = decode_manifest(kManifest);
  REQUIRE(ok(decoded));
  const Manifest& manifest = value(decoded);
  CHECK(manifest.version == 12);
  REQUIRE(manifest.routes.size() == 2);
  CHECK(manifest.routes[0].kind == CallKind::kStream);
  CHECK(manifest.routes[0].services.size() == 2);
  CHECK(manifest.routes[0].event_gap_slo == 180);
  CHECK(manifest.routes[1].allows_anonymous);
  CHECK(manifest.services.at("engines").engine->kv_cache_tokens == 34197);
  CHECK(manifest.services.at("engines").engine->handle_lifetime == 5000);
  CHECK(manifest.services.at("engines").cold_start == 1500);
  CHECK(manifest.services.at("engines").cold_requests_per_second == 28);
  CHECK(manifest.services.at("plain").cold_requests_per_second == 0);
  CHECK_FALSE(manifest.services.at("plain").engine.has_value());
  CHECK(find_account(manifest, "k2")->name == "mill");
  CHECK(find_account(manifest, "k3") == nullptr);
  CHECK(manifest.limits.max_header_bytes == 1000);
}

TEST_CASE("decode_manifest rejects an invalid manifest", "[platform]") {
  CHECK_FALSE(ok(decode_manifest("")));
  CHECK_FALSE(ok(decode_manifest("[]")));
  CHECK_FALSE(ok(decode_manifest(R"({"routes":[]})")));
  CHECK_FALSE(ok(decode_manifest(
      R"({"version":1,"routes":[{"name":"r","type":"other"}]})")));
  fuzz(kManifest, [](const std::string& text) { decode_manifest(text); });
}

TEST_CASE("decode_endpoint reads a discovery entry", "[platform]") {
  const auto decoded = decode_endpoint("i-1", kEndpointText);
  REQUIRE(ok(decoded));
  CHECK(value(decoded).id == "i-1");
  CHECK(value(decoded).address == "127.0.0.5");
  CHECK(value(decoded).port == 8080);
  CHECK(value(decoded).leaving);
  CHECK(value(decoded).remaining_warm_up == 700);
  CHECK(value(decoded).started_at_ms == 1783720206030);
}

TEST_CASE("decode_endpoint rejects missing and invalid fields", "[platform]") {
  const std::string valid = kEndpointText;
  const auto with = [&](const std::string& from, const std::string& to) {
    std::string text = valid;
    text.replace(text.find(from), from.size(), to);
    return ok(decode_endpoint("i-1", text));
  };
  CHECK_FALSE(with("\"draining\"", "\"dancing\""));
  CHECK_FALSE(with("\"draining\"", "7"));
  CHECK_FALSE(with("24", "\"24\""));
  CHECK_FALSE(with("24", "2.5"));
  CHECK_FALSE(with("127.0.0.5:8080", "nowhere"));
  for (const char* address :
       {"nowhere:80", "127.0.0.5:0", "127.0.0.5:99999", "127.0.0.5:-1"})
    CHECK_FALSE(with("127.0.0.5:8080", address));
  for (const char* number : {"-1", "5000000000", "1e300", "1e400",
                             "18446744073709551616", "99999999999999999999"})
    CHECK_FALSE(with("24", number));
  for (const char* number : {"-5", "1e300", "\"x\"", "1.5"}) {
    CHECK_FALSE(with("1783720206030", number));
    CHECK_FALSE(with("\"seq\":4", "\"seq\":" + std::string(number)));
  }
  CHECK_FALSE(with("\"engines\"", "null"));
  // Without its place in the order of entries, it could undo a newer one.
  CHECK_FALSE(with("\"seq\":4", "\"other\":4"));
  CHECK_FALSE(with("1783720206030", "\"x\""));
  fuzz(valid, [](const std::string& text) { decode_endpoint("i", text); });
}

TEST_CASE("decode_settings reads settings and reports all errors at once",
          "[platform]") {
  const auto decoded = decode_settings(kSettings);
  REQUIRE(ok(decoded));
  CHECK(value(decoded).router.vm == "front-a-1");
  CHECK(value(decoded).router.link_listen.port == 3);
  CHECK(value(decoded).router.tunnel_port == 0);
  const auto with_ports = [](const std::string& range) {
    std::string text = kSettings;
    text.insert(text.find('{') + 1, "\"port_range\":" + range + ",");
    return value(decode_settings(text)).router.tunnel_port;
  };
  CHECK(with_ports("[7200,7215]") == 7200);
  CHECK(with_ports("[70000]") == 0);
  CHECK(with_ports("[\"7200\"]") == 0);
  CHECK(value(decoded).router.seeds.size() == 1);
  CHECK(value(decoded).router.stop_grace == 8000);
  CHECK(value(decoded).router.retry_limits.slack == 52);
  const auto invalid = decode_settings(R"({"node":"n","listen":{}})");
  REQUIRE_FALSE(ok(invalid));
  const std::string message = error(invalid).message;
  CHECK(message.find("zone") != std::string::npos);
  CHECK(message.find("retry_ratio") != std::string::npos);
  CHECK_FALSE(error(invalid).remedy.empty());
  fuzz(kSettings, [](const std::string& text) { decode_settings(text); });
}

TEST_CASE("decode_report recognizes an engine that is leaving", "[platform]") {
  const WireFormat format = make_wire_format();
  CHECK(format.decode_report(R"({"state":"draining"})").leaving);
  CHECK(format.decode_report(R"({"state":"ready","leaves_ms":1800})").leaving);
  CHECK_FALSE(
      format.decode_report(R"({"state":"ready","leaves_ms":600000})").leaving);
  CHECK_FALSE(format.decode_report(R"({"state":"ready"})").leaving);
  CHECK_FALSE(format.decode_report(R"({"state":7,"leaves_ms":"x"})").leaving);
  CHECK_FALSE(format.decode_report("{").leaving);
}

TEST_CASE("revert_restart_only_settings returns the names of reset settings",
          "[platform]") {
  const auto read = decode_settings(kSettings);
  REQUIRE(ok(read));
  PlatformSettings next = value(read);
  next.router.retry_limits.slack = 9;
  next.router.stop_grace = 1;
  next.router.seeds.clear();
  next.store_target.port = 7;
  CHECK(revert_restart_only_settings(value(read), next).empty());
  next.router.zone = "b";
  next.router.link_listen.port = 9;
  CHECK(revert_restart_only_settings(value(read), next) ==
        std::vector<std::string>{"zone", "listen.control"});
}

TEST_CASE("decode_items reads store items and removals", "[platform]") {
  const auto response = parse_object(
      R"({"events":[{"key":"a","value":"bm9kZS0x","rev":4},
                    {"key":"b","rev":5,"removed":true}],"store_revision":9})");
  REQUIRE(ok(response));
  const auto items = decode_items(value(response), "events");
  REQUIRE(ok(items));
  CHECK(value(items).revision.number == 9);
  REQUIRE(value(items).items.size() == 2);
  CHECK(value(items).items[0].value == "node-1");
  CHECK(value(items).items[1].removed);
  const auto invalid_item =
      parse_object(R"({"events":[{"key":"a","value":"%%%","rev":4}]})");
  CHECK_FALSE(ok(decode_items(value(invalid_item), "events")));
}

RawRequest raw_request() {
  RawRequest raw;
  raw.method = "POST";
  raw.target = "/reports/7?x=1";
  raw.headers = {{"Host", "a.test:80"},
                 {"Connection", "keep-alive, X-Hop"},
                 {"X-Hop", "1"},
                 {"X-Other", "kept"},
                 {"X-Other", "twice"},
                 {std::string(kRequestIdHeader), "id-1"},
                 {std::string(kDeadlineHeader), "39000"},
                 {std::string(kTokenUsageHeader), "1460,80"},
                 {std::string(kApiKeyHeader), "secret"},
                 {std::string(kAccountHeader), "forged"},
                 {std::string(kKvCacheSourceHeader), "forged"},
                 {std::string(kKvCacheReservationHeader), "forged"},
                 {std::string(kPinDurationHeader), "forged"},
                 {std::string(kKvCacheBackupHeader), "forged"},
                 {std::string(kTargetEndpointHeader), "forged"}};
  raw.body = "body";
  return raw;
}

std::vector<std::string> values_of(const ClientRequest& request,
                                   std::string_view name) {
  std::vector<std::string> values;
  for (const HttpHeader& header : request.headers) {
    if (header.name == name) values.push_back(header.value);
  }
  return values;
}

TEST_CASE("decode_request reads a caller's request", "[platform]") {
  const CallerRequest request =
      make_wire_format().decode_request(raw_request());
  CHECK(request.id == "id-1");
  CHECK(request.host == "a.test");
  CHECK(request.path == "/reports/7");
  CHECK(request.timeout == 39000);
  CHECK(request.prompt_tokens == 1460);
  CHECK(request.max_output_tokens == 80);
  RawRequest other = raw_request();
  other.body = "another";
  CHECK(make_wire_format().decode_request(other).fingerprint !=
        request.fingerprint);
}

TEST_CASE("decode_request reads the parts of a prompt that others may share",
          "[platform]") {
  const auto parts_of = [](const std::string& list) {
    RawRequest raw = raw_request();
    raw.headers.push_back({std::string(kPromptPartsHeader), list});
    return make_wire_format().decode_request(raw).prompt_parts;
  };
  using Parts = std::vector<std::uint64_t>;
  CHECK(parts_of("5c1e07a2:800, 91bd3f06:410,e4402b7d:250") ==
        Parts{0x5c1e07a2, 0x91bd3f06});
  CHECK(parts_of("5c1e07a2:800").empty());
  CHECK(parts_of("").empty());
  const Parts long_id = parts_of("0123456789abcdef0123456789abcdef:8,1:1");
  REQUIRE(long_id.size() == 1);
  CHECK(long_id != parts_of("0123456789abcdef0123456789abcdee:8,1:1"));
}

TEST_CASE("endpoint_request replaces reserved headers that a caller sends",
          "[platform]") {
  StartAttempt attempt;
  attempt.endpoint = "i-1";
  attempt.account = "mill";
  attempt.time_left = 1234;
  const ClientRequest request =
      make_wire_format().endpoint_request(raw_request(), attempt);
  CHECK(request.host == "a.test:80");
  CHECK(request.target == "/reports/7?x=1");
  CHECK(values_of(request, kAccountHeader) == std::vector<std::string>{"mill"});
  CHECK(values_of(request, kTargetEndpointHeader) ==
        std::vector<std::string>{"i-1"});
  CHECK(values_of(request, kDeadlineHeader) ==
        std::vector<std::string>{"1234"});
  CHECK(values_of(request, "X-Other").size() == 2);
  CHECK(values_of(request, "X-Hop").empty());
  for (const std::string_view name :
       {kApiKeyHeader, kKvCacheSourceHeader, kKvCacheReservationHeader,
        kPinDurationHeader, kKvCacheBackupHeader}) {
    CHECK(values_of(request, name).empty());
  }
}

TEST_CASE("endpoint_request names the KV cache of a moved generation",
          "[platform]") {
  StartAttempt attempt;
  attempt.source = {"127.0.0.5", 80, "h-1", 17};
  const ClientRequest request =
      make_wire_format().endpoint_request(raw_request(), attempt);
  CHECK(values_of(request, kKvCacheSourceHeader) ==
        std::vector<std::string>{"127.0.0.5:80/h-1"});
  CHECK(values_of(request, kLastEventIdHeader) ==
        std::vector<std::string>{"17"});
}

TEST_CASE("decode_response_head reads id, stamp, encoding and content type",
          "[platform]") {
  const WireFormat format = make_wire_format();
  const ResponseInfo info = format.decode_response_head(
      {{std::string(kRequestIdHeader), "id-1"},
       {std::string(kResponseStampHeader), "s"},
       {"Content-Type", "text/event-stream; charset=utf-8"}});
  CHECK(info.request_id == "id-1");
  CHECK(info.has_stamp);
  CHECK(info.is_event_stream);
  CHECK_FALSE(info.not_run);
  CHECK(
      format.decode_response_head({{std::string(kNotRunHeader), "1"}}).not_run);
  CHECK(format.decode_response_head({{"Content-Encoding", "gzip"}})
            .has_content_encoding);
}

TEST_CASE("decode_response_head reads whether an endpoint leaves",
          "[platform]") {
  const WireFormat format = make_wire_format();
  const auto is_leaving = [&](const std::vector<HttpHeader>& headers) {
    return format.decode_response_head(headers).notice.is_leaving;
  };
  CHECK(is_leaving({{"Server-Leaving", "1"}}));
  CHECK_FALSE(is_leaving({{"Server-Leaving", "0"}}));
  CHECK_FALSE(is_leaving({}));
}

TEST_CASE("decode_response_head reads for how long an endpoint declines",
          "[platform]") {
  const WireFormat format = make_wire_format();
  const auto retry_after = [&](const std::string& text) {
    return format.decode_response_head({{"Retry-After", text}})
        .notice.retry_after;
  };
  const auto rejection_limit = [&](const std::string& text) {
    return format.decode_response_head({{"Server-Brittle", text}})
        .notice.rejection_limit;
  };
  CHECK(rejection_limit("3") == 3.0);
  CHECK(rejection_limit("0") == 0.0);
  for (const char* invalid : {"", "-1", "x", "nan", "3,4"})
    CHECK_FALSE(rejection_limit(invalid));
  CHECK(retry_after("2") == 2000);
  CHECK(retry_after("0.25") == 250);
  CHECK(retry_after("1e6") == 60000);
  for (const char* invalid :
       {"", "-1", "soon", "Wed, 21 Oct 2015 07:28:00 GMT"})
    CHECK(retry_after(invalid) == 0);
}

TEST_CASE("decode_response_head reads the limit that an endpoint names",
          "[platform]") {
  const auto limit_of = [](const std::string& text) {
    return make_wire_format()
        .decode_response_head({{"server-limit", text}})
        .notice.requests_per_second;
  };
  CHECK(limit_of("2.6") == 2.6);
  CHECK(limit_of("0") == 0.0);
  CHECK(limit_of("40") == 40.0);
  for (const char* invalid : {"", "-1", "nan", "inf", "2,6", "3 a", "1e999"})
    CHECK_FALSE(limit_of(invalid).has_value());
}

TEST_CASE("local_response_headers include the request id and Retry-After",
          "[platform]") {
  const auto headers =
      make_wire_format().local_response_headers(raw_request(), 250);
  bool has_request_id = false;
  bool has_retry_after = false;
  for (const HttpHeader& header : headers) {
    has_request_id = has_request_id || (header.name == kRequestIdHeader &&
                                        header.value == "id-1");
    has_retry_after = has_retry_after || (header.name == kRetryAfterHeader &&
                                          header.value == "0.250");
  }
  CHECK(has_request_id);
  CHECK(has_retry_after);
}

}  // namespace
}  // namespace peridotreach::platform
