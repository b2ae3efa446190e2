// peridot-caller: open-loop load on a fleet, checked token by token.

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

// One run of a workload.
class Run {
 public:
  Run(asio::io_context& io, Workload workload)
      : io_(io), workload_(std::move(workload)), start_(precise_now()) {
    for (std::size_t i = 0; i < workload_.streams.size(); ++i) {
      const WorkStream& stream = workload_.streams[i];
      if (!books_.contains(stream.caller)) {
        books_[stream.caller] =
            std::make_unique<AddressBook>(io_, workload_.entries, stream.key);
      }
      co_spawn(io_, send_stream(stream, workload_.seed + 1000 * (i + 1)),
               asio::detached);
    }
    co_spawn(io_, finish(), asio::detached);
  }

  std::vector<RequestRecord> records() const {
    return {records_.begin(), records_.end()};
  }
  double start() const { return start_; }

 private:
  awaitable<void> send_stream(WorkStream stream, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    if (stream.rate <= 0) co_return;
    std::exponential_distribution<double> gap(stream.rate / kSecond);
    double at = static_cast<double>(stream.start) + gap(random);
    std::uint64_t number = 0;
    while (at < static_cast<double>(stream.stop)) {
      const double wait = start_ + at - precise_now();
      if (wait >= 1) {
        co_await sleep_for(static_cast<Millis>(wait));
      }
      send(stream, seed, ++number, random());
      at += gap(random);
    }
  }

  void send(const WorkStream& stream, std::uint64_t seed, std::uint64_t number,
            std::uint64_t turn) {
    ClientWork work;
    work.stream = stream;
    work.turn = turn;
    const std::string unique =
        std::to_string(seed) + "-" + std::to_string(number);
    work.prompt = std::string(stream.prompt_characters, 'n') + " " +
                  stream.text + (stream.same_prompt ? "" : " lot " + unique);
    work.idempotency_key = stream.caller + "-" + unique;
    records_.emplace_back();
    RequestRecord& record = records_.back();
    record.caller = stream.caller;
    record.rank = stream.rank;
    record.arrived = precise_now();
    open_ += 1;
    co_spawn(io_, run_one(std::move(work), record), asio::detached);
  }

  awaitable<void> run_one(ClientWork work, RequestRecord& record) {
    constexpr int kMostResends = 5;
    AddressBook& book = *books_.at(work.stream.caller);
    for (int i = 0; i < kMostResends; ++i) {
      work.idempotency_key += "r";
      record.refusal.clear();
      co_await run_request(io_, book, work, record);
      if (record.completed || !work.stream.resend) break;
    }
    open_ -= 1;
  }

  // Ends the run when all requests have ended or draining takes too long.
  awaitable<void> finish() {
    constexpr Millis kCheck = 50;
    const double end = start_ + static_cast<double>(workload_.duration);
    const double last = end + static_cast<double>(workload_.drain);
    while (precise_now() < last) {
      co_await sleep_for(kCheck);
      if (precise_now() >= end && open_ == 0) break;
    }
    io_.stop();
  }

  asio::io_context& io_;
  Workload workload_;
  double start_;
  std::map<std::string, std::unique_ptr<AddressBook>> books_;
  std::deque<RequestRecord> records_;
  std::uint64_t open_ = 0;
};

std::map<std::string, double> deadlines_from(const json::object& from) {
  std::map<std::string, double> deadlines;
  for (const auto& member : object_member(from, "deadlines_ms")) {
    deadlines[std::string(member.key())] = member.value().to_number<double>();
  }
  return deadlines;
}

int run(const Settings& settings) {
  std::ifstream file(settings.text("workload"));
  std::stringstream buffer;
  buffer << file.rdbuf();
  const Result<Workload> workload = read_workload(buffer.str());
  if (!ok(workload)) {
    std::cerr << "peridot-caller: " << describe(error(workload)) << "\n";
    return 2;
  }
  const Result<json::object> raw = parse_object(buffer.str());
  start_log("peridot-caller", "caller", LogLevel::kWarning);
  asio::io_context io(1);
  Run run(io, value(workload));
  io.run();
  const json::object summary =
      summarize(run.records(), deadlines_from(value(raw)), run.start(),
                double_member(value(raw), "warm_up_s") * kSecond);
  if (!settings.text("output").empty()) {
    std::ofstream(settings.text("output")) << json::serialize(summary) << "\n";
  }
  std::cout << print_summary(summary);
  return 0;
}

}  // namespace
}  // namespace peridotreach

int main(int argc, char** argv) {
  using peridotreach::SettingKind;
  if (sodium_init() < 0) return 1;
  const auto settings = peridotreach::settings_or_exit(
      "peridot-caller", "Sends a workload to a fleet and checks the answers.",
      {{"workload", SettingKind::kText, "", true, "JSON file of the workload"},
       {"output", SettingKind::kText, "", false, "JSON file for the figures"}},
      argc, argv);
  return peridotreach::run(settings);
}
