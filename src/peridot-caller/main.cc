// peridot-caller: sends open-loop load to a fleet and checks every token.

#include <sodium.h>

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>

#include "peridot-caller/stream_client.h"
#include "peridot-caller/summary.h"
#include "runtime/clock.h"
#include "runtime/json.h"
#include "runtime/log.h"
#include "runtime/settings.h"

namespace peridotreach {
namespace {

// Runs a workload once and records every request.
class LoadRun {
 public:
  LoadRun(asio::io_context& io, Workload workload)
      : io_(io), workload_(std::move(workload)), start_(precise_now_ms()) {
    for (std::size_t i = 0; i < workload_.streams.size(); ++i) {
      const RequestStream& stream = workload_.streams[i];
      if (!address_books_.contains(stream.caller)) {
        address_books_[stream.caller] = std::make_unique<AddressBook>(
            io_, workload_.entry_urls, stream.api_key);
      }
      co_spawn(io_, send_at_arrivals(stream, workload_.seed + 1000 * (i + 1)),
               asio::detached);
    }
    co_spawn(io_, finish(), asio::detached);
  }

  std::vector<RequestRecord> records() const {
    return {records_.begin(), records_.end()};
  }
  double start() const { return start_; }

 private:
  awaitable<void> send_at_arrivals(RequestStream stream, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    if (stream.requests_per_second <= 0) co_return;
    std::exponential_distribution<double> next_interval(
        stream.requests_per_second / kSecond);
    double arrival = static_cast<double>(stream.start) + next_interval(random);
    std::uint64_t number = 0;
    while (arrival < static_cast<double>(stream.stop)) {
      const double delay = start_ + arrival - precise_now_ms();
      if (delay >= 1) {
        co_await sleep_for(static_cast<Millis>(delay));
      }
      send(stream, seed, ++number, random());
      arrival += next_interval(random);
    }
  }

  void send(const RequestStream& stream, std::uint64_t seed,
            std::uint64_t number, std::uint64_t address_index) {
    PlannedRequest work;
    work.stream = stream;
    work.address_index = address_index;
    const std::string unique_id =
        std::to_string(seed) + "-" + std::to_string(number);
    work.prompt = std::string(stream.prompt_characters, 'n') + " " +
                  stream.prompt_text +
                  (stream.repeats_prompt ? "" : " lot " + unique_id);
    work.idempotency_key = stream.caller + "-" + unique_id;
    records_.emplace_back();
    RequestRecord& record = records_.back();
    record.caller = stream.caller;
    record.rank = stream.rank;
    record.arrived_at_ms = precise_now_ms();
    open_requests_ += 1;
    co_spawn(io_, run_one(std::move(work), record), asio::detached);
  }

  awaitable<void> run_one(PlannedRequest work, RequestRecord& record) {
    constexpr int kMaxSends = 5;
    AddressBook& book = *address_books_.at(work.stream.caller);
    for (int i = 0; i < kMaxSends; ++i) {
      // Each attempt is a new request and so needs a new idempotency key.
      work.idempotency_key += "r";
      record.refusal_code.clear();
      co_await run_request(io_, book, work, record);
      if (record.completed || !work.stream.resends_failed) break;
    }
    open_requests_ -= 1;
  }

  // Ends the run once its duration is over and all requests have ended, at the
  // latest when the drain timeout is over.
  awaitable<void> finish() {
    constexpr Millis kCheckInterval = 50;
    const double load_end = start_ + static_cast<double>(workload_.duration);
    const double drain_end =
        load_end + static_cast<double>(workload_.drain_timeout);
    while (precise_now_ms() < drain_end) {
      co_await sleep_for(kCheckInterval);
      if (precise_now_ms() >= load_end && open_requests_ == 0) break;
    }
    io_.stop();
  }

  asio::io_context& io_;
  Workload workload_;
  double start_;
  std::map<std::string, std::unique_ptr<AddressBook>> address_books_;
  std::deque<RequestRecord> records_;
  std::uint64_t open_requests_ = 0;
};

std::map<std::string, double> parse_deadlines(const json::object& from) {
  std::map<std::string, double> deadlines;
  for (const auto& member : object_member(from, "deadlines_ms")) {
    deadlines[std::string(member.key())] = member.value().to_number<double>();
  }
  return deadlines;
}

int run_workload(const Settings& settings) {
  std::ifstream file(settings.text("workload"));
  std::stringstream buffer;
  buffer << file.rdbuf();
  const Result<Workload> workload = read_workload(buffer.str());
  if (!ok(workload)) {
    std::cerr << "peridot-caller: " << describe(error(workload)) << "\n";
    return 2;
  }
  const Result<json::object> document = parse_object(buffer.str());
  start_log("peridot-caller", "caller", LogLevel::kWarning);
  asio::io_context io(1);
  LoadRun load_run(io, value(workload));
  io.run();
  const json::object summary = summarize(
      load_run.records(), parse_deadlines(value(document)), load_run.start(),
      double_member(value(document), "warm_up_s") * kSecond);
  if (!settings.text("output").empty()) {
    std::ofstream(settings.text("output")) << json::serialize(summary) << "\n";
  }
  std::cout << format_summary(summary);
  return 0;
}

}  // namespace
}  // namespace peridotreach

int main(int argc, char** argv) {
  using peridotreach::SettingKind;
  if (sodium_init() < 0) return 1;
  const auto settings = peridotreach::settings_or_exit(
      "peridot-caller",
      "Sends an open-loop workload to a fleet and checks every token.",
      {{"workload", SettingKind::kText, "", true,
        "JSON file that describes the workload"},
       {"output", SettingKind::kText, "", false,
        "JSON file to write the results to; not written if empty"}},
      argc, argv);
  return peridotreach::run_workload(settings);
}
