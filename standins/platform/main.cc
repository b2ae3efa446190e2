// Stand-in for the platform: the key-value service, the VM list and the
// weight store, with faults that tests switch on.

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "runtime/base64.h"
#include "runtime/clock.h"
#include "runtime/http_server.h"
#include "runtime/json.h"
#include "runtime/log.h"
#include "runtime/settings.h"
#include "standins/platform/key_value_store.h"

namespace peridotreach::standin {
namespace {

// Faults in force.
struct Faults {
  bool down = false;
  Millis slow = 0;
  std::int64_t lose_answers = 0;
  Millis vm_list_lag = 0;
};

// A version of the VM list and when it became visible.
struct VmListVersion {
  Millis at = 0;
  std::uint64_t version = 0;
  std::map<std::string, json::object> vms;
};

// The platform.
class Platform {
 public:
  explicit Platform(std::int64_t weight_rate)
      : weight_rate_(static_cast<double>(weight_rate)) {
    versions_.push_back({});
  }

  awaitable<void> handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.path == "/faults") {
      co_await set_faults(exchange);
    } else if (request.path == "/vms") {
      co_await vms(exchange);
    } else if (request.path == "/weights") {
      co_await weights(exchange);
    } else if (request.path == "/counts") {
      co_await exchange.respond(json_response(200, counts()));
    } else if (request.path == "/v3/watch") {
      co_await watch(exchange);
    } else {
      co_await key_value(exchange);
    }
  }

  awaitable<void> expire() {
    constexpr Millis kExpiryInterval = 100;
    while (true) {
      co_await sleep_for(kExpiryInterval);
      if (!faults_.down) store_.expire_leases(monotonic_now());
    }
  }

 private:
  awaitable<void> set_faults(HttpExchange& exchange) {
    const Result<json::object> body = parse_object(exchange.request().body);
    if (!ok(body)) {
      co_await exchange.respond(text_response(400, "bad JSON"));
      co_return;
    }
    const json::object& set = value(body);
    if (set.contains("down")) faults_.down = bool_member(set, "down");
    if (set.contains("slow_ms")) faults_.slow = int_member(set, "slow_ms");
    if (set.contains("lose_answers")) {
      faults_.lose_answers = int_member(set, "lose_answers");
    }
    if (set.contains("vm_list_lag_ms")) {
      faults_.vm_list_lag = int_member(set, "vm_list_lag_ms");
    }
    co_await exchange.respond(json_response(200, "{}"));
  }

  awaitable<void> vms(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    if (request.method == "POST") {
      const Result<json::object> body = parse_object(request.body);
      if (ok(body)) change_vm(value(body));
      co_await exchange.respond(json_response(200, "{}"));
      co_return;
    }
    const VmListVersion& version = visible_version();
    const std::string number = std::to_string(version.version);
    if (request.parameter("since") == number) {
      co_await exchange.respond(json_response(304, ""));
      co_return;
    }
    json::array list;
    for (const auto& [id, vm] : version.vms) list.push_back(vm);
    json::object body;
    body["version"] = number;
    body["vms"] = std::move(list);
    co_await exchange.respond(json_response(200, json::serialize(body)));
  }

  void change_vm(const json::object& vm) {
    VmListVersion next = versions_.back();
    next.at = monotonic_now();
    next.version += 1;
    const std::string id = string_member(vm, "id");
    if (string_member(vm, "state") == "gone") {
      next.vms.erase(id);
    } else {
      for (const auto& member : vm) next.vms[id][member.key()] = member.value();
    }
    versions_.push_back(std::move(next));
  }

  const VmListVersion& visible_version() const {
    const Millis now = monotonic_now();
    for (auto it = versions_.rbegin(); it != versions_.rend(); ++it) {
      if (it->at + faults_.vm_list_lag <= now) return *it;
    }
    return versions_.front();
  }

  awaitable<void> weights(HttpExchange& exchange) {
    const Millis now = monotonic_now();
    const double elapsed = static_cast<double>(now - weights_at_) / kSecond;
    weights_at_ = now;
    weights_saved_ =
        std::min(weight_rate_, weights_saved_ + elapsed * weight_rate_);
    if (weights_saved_ < 1) {
      weights_refused_ += 1;
      co_await exchange.respond(json_response(429, "{}"));
      co_return;
    }
    weights_saved_ -= 1;
    co_await exchange.respond(json_response(200, "{}"));
  }

  std::string counts() const {
    json::object body;
    for (const auto& [path, count] : calls_) body[path] = count;
    body["waiting_watches"] = watching_;
    body["weights_refused"] = weights_refused_;
    return json::serialize(body);
  }

  // Applies the slow and down faults. Returns false if the call must fail.
  awaitable<bool> pass_faults(HttpExchange& exchange) {
    if (faults_.slow > 0) co_await sleep_for(faults_.slow);
    if (!faults_.down) co_return true;
    co_await exchange.respond(text_response(503, "down"));
    co_return false;
  }

  awaitable<void> key_value(HttpExchange& exchange) {
    const std::string path = exchange.request().path;
    if (!co_await pass_faults(exchange)) co_return;
    calls_[path] += 1;
    const Result<json::object> body = parse_object(exchange.request().body);
    if (!ok(body)) {
      co_await exchange.respond(text_response(400, "bad JSON"));
      co_return;
    }
    json::object answer = apply(path, value(body));
    json::object header;
    header["revision"] = std::to_string(store_.revision());
    answer["header"] = std::move(header);
    const bool writes = path == "/v3/kv/txn" || path == "/v3/kv/put";
    if (writes && faults_.lose_answers > 0) {
      faults_.lose_answers -= 1;
      exchange.abandon();
      co_return;
    }
    co_await exchange.respond(json_response(200, json::serialize(answer)));
  }

  json::object apply(const std::string& path, const json::object& body) {
    if (path == "/v3/kv/range") return range(body);
    if (path == "/v3/kv/txn") return txn(body);
    if (path == "/v3/kv/put") {
      put(body);
      return {};
    }
    json::object answer;
    const Millis now = monotonic_now();
    if (path == "/v3/lease/grant") {
      const std::int64_t ttl = int_member(body, "TTL");
      answer["ID"] = std::to_string(store_.grant_lease(ttl, now));
      answer["TTL"] = std::to_string(ttl);
    }
    if (path == "/v3/lease/keepalive") {
      const std::int64_t lease = int_member(body, "ID");
      json::object result;
      result["ID"] = std::to_string(lease);
      result["TTL"] = std::to_string(store_.keep_alive(lease, now));
      answer["result"] = std::move(result);
    }
    if (path == "/v3/lease/revoke") store_.revoke(int_member(body, "ID"));
    return answer;
  }

  static json::object kv_json(const KeyValue& kv) {
    json::object object;
    object["key"] = base64_encode(kv.key);
    object["value"] = base64_encode(kv.value);
    object["create_revision"] = std::to_string(kv.create_revision);
    object["mod_revision"] = std::to_string(kv.mod_revision);
    object["lease"] = std::to_string(kv.lease);
    return object;
  }

  json::object range(const json::object& body) const {
    json::array kvs;
    const auto found =
        store_.range(base64_decode(string_member(body, "key")),
                     base64_decode(string_member(body, "range_end")));
    for (const KeyValue& kv : found) kvs.push_back(kv_json(kv));
    json::object answer;
    answer["count"] = std::to_string(kvs.size());
    answer["kvs"] = std::move(kvs);
    return answer;
  }

  void put(const json::object& body) {
    store_.put(base64_decode(string_member(body, "key")),
               base64_decode(string_member(body, "value")),
               int_member(body, "lease"));
  }

  bool holds(const json::object& compare) const {
    const std::string key = base64_decode(string_member(compare, "key"));
    const std::int64_t present = store_.mod_revision(key);
    const std::int64_t wanted = int_member(compare, "mod_revision");
    const bool greater = string_member(compare, "result") == "GREATER";
    return greater ? present > wanted : present == wanted;
  }

  json::object txn(const json::object& body) {
    bool succeeded = true;
    for (const json::value& compare : array_member(body, "compare")) {
      if (!compare.is_object()) continue;
      succeeded = succeeded && holds(compare.as_object());
    }
    json::array responses;
    const char* branch = succeeded ? "success" : "failure";
    for (const json::value& operation : array_member(body, branch)) {
      if (!operation.is_object()) continue;
      const json::object& object = operation.as_object();
      json::object response;
      if (object.contains("requestPut")) {
        put(object_member(object, "requestPut"));
        response["response_put"] = json::object();
      }
      if (object.contains("requestRange")) {
        response["response_range"] =
            range(object_member(object, "requestRange"));
      }
      responses.push_back(std::move(response));
    }
    json::object answer;
    answer["succeeded"] = succeeded;
    answer["responses"] = std::move(responses);
    return answer;
  }

  awaitable<void> watch(HttpExchange& exchange) {
    if (!co_await pass_faults(exchange)) co_return;
    calls_["/v3/watch"] += 1;
    const Result<json::object> body = parse_object(exchange.request().body);
    if (!ok(body)) {
      co_await exchange.respond(text_response(400, "bad JSON"));
      co_return;
    }
    const json::object create = object_member(value(body), "create_request");
    const std::string key = base64_decode(string_member(create, "key"));
    const std::string end = base64_decode(string_member(create, "range_end"));
    std::int64_t seen = int_member(create, "start_revision") - 1;
    co_await exchange.start_stream("application/json");
    co_await exchange.write("{\"result\":{\"created\":true}}\n");
    watching_ += 1;
    constexpr Millis kWatchInterval = 20;
    constexpr int kProgressTurns = 100;
    for (int turn = 1; !exchange.failed() && !faults_.down; ++turn) {
      json::array events;
      for (const KeyChange& change : store_.changes_since(seen, key, end)) {
        seen = std::max(seen, change.kv.mod_revision);
        json::object event;
        if (change.deleted) event["type"] = "DELETE";
        event["kv"] = kv_json(change.kv);
        events.push_back(std::move(event));
      }
      if (!events.empty() || turn % kProgressTurns == 0) {
        json::object result;
        result["events"] = std::move(events);
        json::object line;
        line["result"] = std::move(result);
        co_await exchange.write(json::serialize(line) + "\n");
      }
      co_await sleep_for(kWatchInterval);
    }
    watching_ -= 1;
    exchange.abandon();
  }

  KeyValueStore store_;
  Faults faults_;
  std::vector<VmListVersion> versions_;
  std::map<std::string, std::uint64_t> calls_;
  std::int64_t watching_ = 0;
  double weight_rate_;
  double weights_saved_ = 1;
  Millis weights_at_ = 0;
  std::uint64_t weights_refused_ = 0;
};

int run(const Settings& settings) {
  start_log("standin-platform", "platform", LogLevel::kInfo);
  asio::io_context io(1);
  Platform platform(settings.number("weight-rate"));
  HttpLimits limits;
  limits.body_bytes = 2u << 20u;
  const auto port = start_http_server(
      io, settings.text("address"),
      static_cast<std::uint16_t>(settings.number("port")), limits,
      [&](HttpExchange& exchange) { return platform.handle(exchange); });
  if (!ok(port)) {
    std::cerr << describe(error(port)) << "\n";
    return 1;
  }
  std::cout << "listening " << value(port) << std::endl;
  co_spawn(io, platform.expire(), asio::detached);
  io.run();
  return 0;
}

}  // namespace
}  // namespace peridotreach::standin

int main(int argc, char** argv) {
  using peridotreach::SettingKind;
  const auto settings = peridotreach::settings_or_exit(
      "standin-platform", "Stand-in for the platform's services.",
      {{"address", SettingKind::kText, "127.0.0.1", false, "Address"},
       {"port", SettingKind::kNumber, "0", false, "Port, 0 for a free one"},
       {"weight-rate", SettingKind::kNumber, "2", false,
        "Weight loads a second"}},
      argc, argv);
  return peridotreach::standin::run(settings);
}
