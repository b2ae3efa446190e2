// Stand-in for a model engine: the published Responses API over a model of
// continuous batching, with late load reports, cache events with gaps,
// orders, and faults that tests switch on.

#include <xxhash.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "runtime/clock.h"
#include "runtime/http_server.h"
#include "runtime/json.h"
#include "runtime/log.h"
#include "runtime/settings.h"
#include "runtime/signal.h"
#include "runtime/sse_parser.h"
#include "standins/engine/batch_engine.h"
#include "standins/engine/sequence_events.h"
#include "standins/registration.h"

namespace peridotreach::standin {
namespace {

// How long a generation without a reader goes on, and how long a finished
// one is kept.
constexpr Millis kOrphanLife = 30 * kSecond;
constexpr Millis kFinishedLife = 120 * kSecond;

// Characters of a prompt that make one token.
constexpr std::size_t kCharactersPerToken = 4;

// Characters that one prefix hash covers.
constexpr std::size_t kPrefixCharacters = 256;

// Faults in force.
struct Faults {
  double slow = 1;
  Millis stall_until = 0;
  Millis report_lag = 0;
  double gap_share = 0;
  double length_scale = 1;
  bool leaving = false;
  std::string crash_word;
};

// A generation with its readers.
struct Job {
  std::shared_ptr<Sequence> sequence;
  std::vector<std::shared_ptr<Signal>> readers;
  Millis unread_since = 0;
  Millis finished_at = 0;
};

std::uint64_t hash_of(const std::string& text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

// Draws the output length from the prompt alone; callers of the engine cannot
// know it.
std::uint32_t draw_length(const std::string& prompt, double scale) {
  std::mt19937_64 random(hash_of(prompt));
  double median = 80;
  double spread = 1.0;
  if (prompt.find("kind=verdict") != std::string::npos) {
    median = 24;
    spread = 0.6;
  }
  if (prompt.find("kind=long") != std::string::npos) {
    median = 300;
    spread = 1.2;
  }
  std::lognormal_distribution<double> draw(std::log(median), spread);
  constexpr double kLongest = 40000;
  return static_cast<std::uint32_t>(
      std::clamp(draw(random) * scale, 2.0, kLongest));
}

std::vector<std::uint64_t> prefixes_of(const std::string& prompt) {
  std::vector<std::uint64_t> prefixes;
  for (std::size_t end = kPrefixCharacters; end <= prompt.size();
       end += kPrefixCharacters) {
    prefixes.push_back(hash_of(prompt.substr(0, end)));
  }
  return prefixes;
}

// The engine process.
class Engine {
 public:
  Engine(asio::io_context& io, const Settings& settings, EngineShape shape)
      : io_(io),
        id_(settings.text("id")),
        batch_(shape),
        wake_(io),
        checks_fencing_(settings.is_on("check-fencing")),
        report_interval_(settings.number("report-interval-ms")),
        incarnation_(random_number() >> 1u),
        random_(hash_of(id_)) {
    faults_.report_lag = settings.number("report-lag-ms");
    faults_.gap_share =
        static_cast<double>(settings.number("gap-percent")) / 100;
    std::string models = settings.text("models");
    while (!models.empty()) {
      const std::size_t comma = std::min(models.find(','), models.size());
      runs_.insert(models.substr(0, comma));
      models.erase(0, comma + 1);
    }
    take_models();
  }

  awaitable<void> handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    const std::string responses = "/v1/responses";
    if (request.path == "/load/events") {
      co_await report_load(exchange);
    } else if (request.path == "/faults") {
      co_await set_faults(exchange);
    } else if (request.path == "/orders") {
      co_await order(exchange);
    } else if (request.path == "/stats") {
      co_await exchange.respond(json_response(200, stats()));
    } else if (request.path == responses && request.method == "POST") {
      co_await create(exchange);
    } else if (request.path.compare(0, responses.size() + 1, responses + "/") ==
               0) {
      co_await existing(exchange, request.path.substr(responses.size() + 1));
    } else {
      co_await exchange.respond(
          error_response(404, "not_found", "no such path", "see the API"));
    }
  }

  awaitable<void> run_steps() {
    constexpr Millis kIdleWait = 1000;
    while (true) {
      const double duration = batch_.begin_step() * faults_.slow;
      if (duration <= 0) {
        co_await wake_.wait(kIdleWait);
        continue;
      }
      step_ms_ = duration;
      // Whole milliseconds; the rest carries over to the next step.
      carried_ms_ += duration;
      const double whole = std::floor(carried_ms_);
      carried_ms_ -= whole;
      co_await sleep_for(static_cast<Millis>(whole));
      while (monotonic_now() < faults_.stall_until) co_await sleep_for(20);
      for (const auto& sequence : batch_.end_step()) {
        notify(jobs_[sequence->id]);
      }
    }
  }

  awaitable<void> tend() {
    while (true) {
      co_await sleep_for(kSecond);
      const Millis now = monotonic_now();
      std::vector<std::string> gone;
      for (auto& [id, job] : jobs_) {
        Sequence& sequence = *job.sequence;
        if (sequence.finished && job.finished_at == 0) job.finished_at = now;
        const bool orphan = job.readers.empty() && !sequence.finished &&
                            now - job.unread_since > kOrphanLife;
        if (orphan) batch_.cancel(sequence);
        if (sequence.finished && now - job.finished_at > kFinishedLife) {
          gone.push_back(id);
        }
      }
      for (const std::string& id : gone) {
        jobs_.erase(id);
        batch_.forget(id);
      }
    }
  }

  // Keeps reports for their lag.
  awaitable<void> sample_load() {
    while (true) {
      samples_.push_back({monotonic_now(), load_json()});
      const Millis keep = faults_.report_lag + 4 * report_interval_;
      while (samples_.front().first < monotonic_now() - keep) {
        samples_.pop_front();
      }
      const CacheChange change = batch_.take_cache_changes();
      if (!change.added.empty() || !change.removed.empty()) {
        add_cache_event(change);
      }
      co_await sleep_for(report_interval_);
    }
  }

 private:
  using Sample = std::pair<Millis, json::object>;

  // Requests name models; orders name versions and adapters too.
  void take_models() {
    models_.clear();
    for (const std::string& run : runs_) {
      models_.insert(run.substr(0, run.find('@')));
    }
  }

  // Loads what an order names; nothing is served meanwhile.
  awaitable<void> load(std::set<std::string> runs) {
    constexpr Millis kLoadTime = 500;
    runs_.clear();
    take_models();
    loads_ += 1;
    co_await sleep_for(kLoadTime);
    runs_ = std::move(runs);
    take_models();
  }

  void notify(Job& job) {
    for (const auto& reader : job.readers) reader->notify();
  }

  std::string stats() const {
    json::object body = load_json();
    body["jobs"] = jobs_.size();
    body["incarnation"] = std::to_string(incarnation_);
    return json::serialize(body);
  }

  json::object load_json() const {
    json::object load;
    load["type"] = "load";
    load["incarnation"] = std::to_string(incarnation_);
    load["kv_used"] = batch_.kv_used();
    load["kv_capacity"] = batch_.kv_capacity();
    load["running"] = batch_.running();
    load["waiting"] = batch_.waiting();
    load["step_ms"] = step_ms_;
    load["preemptions"] = batch_.preemptions();
    load["leaving"] = faults_.leaving;
    json::array models;
    for (const std::string& model : models_) models.push_back(model.c_str());
    load["models"] = std::move(models);
    return load;
  }

  void add_cache_event(const CacheChange& change) {
    cache_sequence_ += 1;
    std::uniform_real_distribution<double> draw(0, 1);
    if (draw(random_) < faults_.gap_share) return;
    json::object event;
    event["type"] = "cache";
    event["sequence"] = cache_sequence_;
    json::array added;
    json::array removed;
    for (const std::uint64_t p : change.added) added.push_back(p);
    for (const std::uint64_t p : change.removed) removed.push_back(p);
    event["added"] = std::move(added);
    event["removed"] = std::move(removed);
    cache_events_.push_back({monotonic_now(), std::move(event)});
    constexpr std::size_t kMostEvents = 256;
    if (cache_events_.size() > kMostEvents) cache_events_.pop_front();
  }

  awaitable<void> report_load(HttpExchange& exchange) {
    co_await exchange.start_stream("text/event-stream");
    Millis cache_seen = monotonic_now() - kMinute;
    while (!exchange.failed()) {
      const Millis now = monotonic_now();
      const Millis upto = now - faults_.report_lag;
      std::string out;
      for (const auto& [at, event] : cache_events_) {
        if (at <= cache_seen || at > upto) continue;
        cache_seen = at;
        out += format_sse("cache", json::serialize(event));
      }
      for (auto it = samples_.rbegin(); it != samples_.rend(); ++it) {
        if (it->first > upto) continue;
        json::object load = it->second;
        load["age_ms"] = now - it->first;
        out += format_sse("load", json::serialize(load));
        break;
      }
      co_await exchange.write(out);
      co_await sleep_for(report_interval_);
    }
  }

  awaitable<void> set_faults(HttpExchange& exchange) {
    const Result<json::object> body = parse_object(exchange.request().body);
    if (ok(body)) {
      const json::object& set = value(body);
      if (set.contains("slow")) faults_.slow = double_member(set, "slow");
      if (set.contains("stall_ms")) {
        faults_.stall_until = monotonic_now() + int_member(set, "stall_ms");
      }
      if (set.contains("report_lag_ms")) {
        faults_.report_lag = int_member(set, "report_lag_ms");
      }
      if (set.contains("gap_share")) {
        faults_.gap_share = double_member(set, "gap_share");
      }
      if (set.contains("length_scale")) {
        faults_.length_scale = double_member(set, "length_scale");
      }
      if (set.contains("leaving")) {
        faults_.leaving = bool_member(set, "leaving");
      }
      if (set.contains("crash_word")) {
        faults_.crash_word = string_member(set, "crash_word");
      }
      if (set.contains("silence_share")) {
        silence(double_member(set, "silence_share"));
      }
    }
    co_await exchange.respond(json_response(200, "{}"));
  }

  // Makes a share of the open streams silent for good.
  void silence(double share) {
    std::uniform_real_distribution<double> draw(0, 1);
    for (auto& [id, job] : jobs_) {
      for (const auto& reader : job.readers) {
        if (draw(random_) < share) silent_.insert(reader.get());
      }
    }
  }

  awaitable<void> order(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    const Result<json::object> body = parse_object(request.body);
    if (request.method == "POST" && ok(body)) {
      const std::int64_t fencing = int_member(value(body), "fencing");
      if (checks_fencing_ && fencing < fencing_) {
        co_await exchange.respond(error_response(
            409, "old_fencing_number", "the order is from an old holder",
            "stop; a newer holder gives orders now"));
        co_return;
      }
      fencing_ = std::max(fencing_, fencing);
      std::set<std::string> wanted;
      for (const json::value& run : array_member(value(body), "runs")) {
        if (run.is_string()) wanted.insert(run.as_string().c_str());
      }
      // The same order again changes nothing.
      if (wanted != runs_) {
        co_spawn(io_, load(std::move(wanted)), asio::detached);
      }
    }
    json::object state = load_json();
    state["fencing"] = std::to_string(fencing_);
    state["loads"] = loads_;
    json::array runs;
    for (const std::string& run : runs_) runs.push_back(run.c_str());
    state["runs"] = std::move(runs);
    co_await exchange.respond(json_response(200, json::serialize(state)));
  }

  awaitable<void> create(HttpExchange& exchange) {
    const Result<json::object> body = parse_object(exchange.request().body);
    if (!ok(body)) {
      co_await exchange.respond(error_response(
          400, "malformed", error(body).message, error(body).remedy));
      co_return;
    }
    const std::string model = string_member(value(body), "model");
    if (faults_.leaving || !models_.contains(model)) {
      HttpResponse refusal =
          error_response(503, "not_started", "the engine takes no such work",
                         "choose another engine");
      refusal.headers.push_back({"x-ran", "no"});
      co_await exchange.respond(std::move(refusal));
      co_return;
    }
    const json::value* input = value(body).if_contains("input");
    const std::string prompt = input == nullptr ? std::string()
                               : input->is_string()
                                   ? std::string(input->as_string())
                                   : json::serialize(*input);
    const bool deadly = !faults_.crash_word.empty() &&
                        prompt.find(faults_.crash_word) != std::string::npos;
    auto sequence = std::make_shared<Sequence>();
    sequence->id = "gen" + std::to_string(random_number() % 1000000000000ull +
                                          1000000000000ull);
    sequence->model = model;
    sequence->prefixes = prefixes_of(prompt);
    sequence->prompt_tokens =
        static_cast<std::uint32_t>(prompt.size() / kCharactersPerToken + 1);
    sequence->priority =
        static_cast<std::uint32_t>(int_member(value(body), "priority"));
    sequence->length = draw_length(prompt, faults_.length_scale);
    batch_.submit(sequence);
    jobs_[sequence->id].sequence = sequence;
    jobs_[sequence->id].unread_since = monotonic_now();
    wake_.notify();
    if (deadly) co_spawn(io_, crash_soon(), asio::detached);
    co_await stream(exchange, sequence->id, -1);
  }

  static awaitable<void> crash_soon() {
    constexpr Millis kCrashDelay = 50;
    co_await sleep_for(kCrashDelay);
    std::_Exit(3);
  }

  awaitable<void> existing(HttpExchange& exchange, std::string rest) {
    const bool cancels = rest.size() > 7 && rest.ends_with("/cancel");
    if (cancels) rest.resize(rest.size() - 7);
    const auto found = jobs_.find(rest);
    if (found == jobs_.end()) {
      co_await exchange.respond(error_response(
          404, "not_found", "no such generation", "it ended or never was"));
      co_return;
    }
    const HttpRequest& request = exchange.request();
    if (cancels) {
      const bool only_unwatched = request.parameter("only_unwatched") == "true";
      if (!only_unwatched || found->second.readers.empty()) {
        batch_.cancel(*found->second.sequence);
        notify(found->second);
      }
    } else if (request.parameter("stream") == "true") {
      const std::string after = request.parameter("starting_after");
      const std::int64_t last =
          after.empty() ? -1 : std::strtoll(after.c_str(), nullptr, 10);
      co_await stream(exchange, rest, last);
      co_return;
    }
    co_await exchange.respond(json_response(
        200, json::serialize(response_json(*found->second.sequence))));
  }

  awaitable<void> stream(HttpExchange& exchange, std::string id,
                         std::int64_t last) {
    std::vector<HttpHeader> headers;
    headers.push_back({"x-endpoint-incarnation", std::to_string(incarnation_)});
    co_await exchange.start_stream("text/event-stream", headers);
    auto reader = std::make_shared<Signal>(io_);
    jobs_[id].readers.push_back(reader);
    const auto sequence = jobs_[id].sequence;
    std::int64_t next = last + 1;
    while (!exchange.failed()) {
      std::string out;
      const std::int64_t count = event_count(*sequence);
      while (next < count) out += event_text(*sequence, next++);
      if (silent_.contains(reader.get())) {
        // The connection stays open and says nothing more.
        co_await sleep_for(kMinute);
        break;
      }
      if (!out.empty()) co_await exchange.write(out);
      if (sequence->finished) break;
      const bool notified = co_await reader->wait(kSecond);
      if (!notified) co_await exchange.write(": heartbeat\n\n");
    }
    silent_.erase(reader.get());
    Job& job = jobs_[id];
    std::erase(job.readers, reader);
    job.unread_since = monotonic_now();
    co_await exchange.finish_stream();
  }

  asio::io_context& io_;
  std::string id_;
  BatchEngine batch_;
  Signal wake_;
  bool checks_fencing_;
  Millis report_interval_;
  std::uint64_t incarnation_;
  std::mt19937_64 random_;
  Faults faults_;
  std::set<std::string> runs_;
  std::set<std::string> models_;
  std::map<std::string, Job> jobs_;
  std::set<Signal*> silent_;
  std::deque<Sample> samples_;
  std::deque<Sample> cache_events_;
  std::uint64_t cache_sequence_ = 0;
  std::int64_t fencing_ = 0;
  std::int64_t loads_ = 0;
  double step_ms_ = 0;
  double carried_ms_ = 0;
};

int run(const Settings& settings) {
  start_log("standin-engine", settings.text("id"), LogLevel::kInfo);
  asio::io_context io(1);
  EngineShape shape;
  shape.kv_capacity = static_cast<double>(settings.number("kv-capacity"));
  shape.most_batch = static_cast<std::size_t>(settings.number("most-batch"));
  Engine engine(io, settings, shape);
  const auto port = start_http_server(
      io, settings.text("address"),
      static_cast<std::uint16_t>(settings.number("port")), {},
      [&](HttpExchange& exchange) { return engine.handle(exchange); });
  if (!ok(port)) {
    std::cerr << describe(error(port)) << "\n";
    return 1;
  }
  std::cout << "listening " << value(port) << std::endl;
  register_endpoint(io, settings, value(port));
  co_spawn(io, engine.run_steps(), asio::detached);
  co_spawn(io, engine.tend(), asio::detached);
  co_spawn(io, engine.sample_load(), asio::detached);
  io.run();
  return 0;
}

}  // namespace
}  // namespace peridotreach::standin

int main(int argc, char** argv) {
  using peridotreach::SettingKind;
  auto known = peridotreach::standin::endpoint_settings();
  const std::vector<peridotreach::Setting> own = {
      {"models", SettingKind::kText, "", true, "Models, with commas"},
      {"kv-capacity", SettingKind::kNumber, "9000", false, "Memory for tokens"},
      {"most-batch", SettingKind::kNumber, "64", false, "Largest batch"},
      {"report-interval-ms", SettingKind::kNumber, "200", false,
       "Time between load reports"},
      {"report-lag-ms", SettingKind::kNumber, "100", false,
       "Age of load reports"},
      {"gap-percent", SettingKind::kNumber, "2", false,
       "Cache events lost, of 100"},
      {"check-fencing", SettingKind::kSwitch, "off", false,
       "Refuse orders with an old fencing number"}};
  known.insert(known.end(), own.begin(), own.end());
  const auto settings = peridotreach::settings_or_exit(
      "standin-engine", "Stand-in for a model engine.", known, argc, argv);
  return peridotreach::standin::run(settings);
}
