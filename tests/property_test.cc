// Property tests with fixed seeds: random but legal sequences of events,
// including faults, are checked against the rules of the models and the
// consistency of the reducers' state.

#include <catch2/catch.hpp>
#include <iostream>
#include <random>

#include "tests/samples.h"
#include "tests/spec_rules.h"

namespace peridotreach {
namespace {

using samples::effects_of;

// Sequences for each property, and steps in each sequence.
constexpr std::uint32_t kSequences = 150;
constexpr int kSteps = 400;

// Returns a random element of `from`.
template <class T>
const T& pick(std::mt19937_64& random, const std::vector<T>& from) {
  return from[random() % from.size()];
}

// An engine that serves the entry reducer. It identifies generations by id, and
// it repeats, delays and loses events, ends connections, and restarts.
class FaultyEngine {
 public:
  explicit FaultyEngine(std::mt19937_64& random) : random_(random) {}

  void open(const ConnectEndpoint& effect) {
    Connection connection;
    connection.effect = effect;
    connection.generation_id =
        effect.generation_id.empty()
            ? "gen-" + std::to_string(++generation_count_)
            : effect.generation_id;
    connection.next_sequence = effect.starting_after + 1;
    connections_.push_back(connection);
  }

  // Delivers one event of a random connection, which may belong to an older
  // attempt. Returns whether an event was delivered.
  bool deliver_next(samples::EntryHarness& entry,
                    std::vector<EntryEffect>& effects) {
    if (connections_.empty()) return false;
    Connection& connection = connections_[random_() % connections_.size()];
    const auto request = connection.effect.request;
    const auto attempt = connection.effect.attempt;
    switch (random_() % 12) {
      case 0:
        effects = entry.apply(EndpointDisconnected{
            request, attempt, static_cast<DisconnectReason>(random_() % 5)});
        return true;
      case 1:
        connection.next_sequence += 1;  // An event is lost.
        return false;
      case 2:
        connection.next_sequence =
            std::max<std::int64_t>(0, connection.next_sequence - 2);
        return false;
      case 3:
        effects = entry.apply(
            EndpointConnected{request, attempt, 5 + random_() % 8 / 7});
        return true;
      default:
        effects = entry.apply(
            StreamEventsReceived{request, attempt, {next_event(connection)}});
        return true;
    }
  }

 private:
  struct Connection {
    ConnectEndpoint effect;
    std::string generation_id;
    std::int64_t next_sequence = 0;
  };

  StreamEvent next_event(Connection& connection) {
    constexpr std::int64_t kLastSequence = 12;
    StreamEvent event;
    event.sequence = connection.next_sequence++;
    event.kind = StreamEventKind::kToken;
    if (event.sequence == 0) event.kind = StreamEventKind::kCreated;
    if (event.sequence == kLastSequence)
      event.kind = StreamEventKind::kCompleted;
    if (event.kind != StreamEventKind::kToken) {
      event.generation_id = connection.generation_id;
    }
    return event;
  }

  std::mt19937_64& random_;
  std::vector<Connection> connections_;
  std::uint64_t generation_count_ = 0;
};

TEST_CASE("streams comply with their model under faults", "[property]") {
  std::uint64_t relayed = 0;
  for (std::uint32_t seed = 1; seed <= kSequences; ++seed) {
    std::mt19937_64 random(seed);
    samples::EntryHarness entry;
    FaultyEngine engine(random);
    spec::StreamRules rules;
    std::uint64_t number = 0;
    for (int i = 0; i < kSteps; ++i) {
      std::vector<EntryEffect> effects;
      switch (random() % 10) {
        case 0: {
          GenerationRequested event;
          event.request = ++number;
          event.caller = "small";
          event.rank = random() % 2 == 0 ? "urgent" : "bulk";
          event.service = "model";
          event.model = "writer";
          event.fingerprint = number;
          if (random() % 4 == 0) event.idempotency_key = "key";
          effects = entry.apply(event);
          break;
        }
        case 1:
          effects = entry.apply(GrantReceived{
              pick<std::string>(random, {"vm-1", "vm-2", "vm-3"}),
              1 + random() % (number + 1),
              pick<std::string>(random, {"engine-1", "engine-2", "gone"}), ""});
          break;
        case 2:
          effects = entry.apply(
              WithdrawalReceived{"vm-1", 1 + random() % (number + 1)});
          break;
        case 3:
          effects = entry.advance(50 + static_cast<Millis>(random() % 1500));
          break;
        case 4:
          effects = entry.apply(CallerConnectionEnded{
              1 + random() % (number + 1), random() % 2 == 0});
          break;
        default:
          if (!engine.deliver_next(entry, effects)) continue;
          break;
      }
      for (const auto& open : effects_of<ConnectEndpoint>(effects))
        engine.open(open);
      relayed += effects_of<RelayEvents>(effects).size();
      for (const std::string& violation : rules.check(effects)) {
        FAIL("seed " << seed << " step " << i << ": " << violation);
      }
    }
  }
  std::cout << "streams: " << kSequences << " sequences, " << relayed
            << " relays, 0 violations\n";
  CHECK(relayed > 1000);
}

TEST_CASE("calls comply with their model under faults", "[property]") {
  std::uint64_t forwarded = 0;
  for (std::uint32_t seed = 1; seed <= kSequences; ++seed) {
    std::mt19937_64 random(seed);
    samples::EntryHarness entry;
    spec::SessionRules rules;
    const auto opened = entry.apply(SessionRequested{100000, "small"});
    const std::uint64_t session =
        effects_of<ReturnSession>(opened).at(0).session;
    std::vector<std::uint64_t> running;
    std::uint64_t number = 0;
    bool stopped = false;
    for (int i = 0; i < kSteps; ++i) {
      std::vector<EntryEffect> effects;
      switch (random() % 8) {
        case 0:
        case 1:
        case 2: {
          CallRequested event;
          event.request = ++number;
          event.caller = "small";
          event.rank = "urgent";
          event.service = "records";
          event.home = "vm-1";
          event.home_incarnation = random() % 9 == 0 ? 3 : 10;
          event.session = session;
          event.call_number = 1 + random() % 12;
          rules.record_call(event);
          effects = entry.apply(event);
          break;
        }
        case 3:
        case 4:
        case 5: {
          if (running.empty()) continue;
          const std::size_t index = random() % running.size();
          CallEnded ended;
          ended.request = running[index];
          ended.sent = random() % 3 != 0;
          ended.answered = ended.sent && random() % 2 == 0;
          ended.outcome = {ExecutionStatus::kExecuted, RefusalKind::kNone, 200,
                           "", "done"};
          running.erase(running.begin() + static_cast<std::ptrdiff_t>(index));
          rules.record_end(ended);
          effects = entry.apply(ended);
          break;
        }
        case 6:
          effects = entry.advance(100);
          break;
        default:
          if (random() % 40 != 0 || stopped) continue;
          stopped = true;
          effects = entry.apply(StopRequested{});
          entry.apply(SuccessorRecorded{random() % 2 == 0, "vm-2"});
          break;
      }
      for (const auto& forward : effects_of<ForwardCall>(effects)) {
        running.push_back(forward.request);
        forwarded += 1;
      }
      for (const std::string& violation : rules.check(effects)) {
        FAIL("seed " << seed << " step " << i << ": " << violation);
      }
    }
  }
  std::cout << "calls: " << kSequences << " sequences, " << forwarded
            << " forwarded, 0 violations\n";
  CHECK(forwarded > 1000);
}

// Returns the first inconsistency in the state of a dispatcher, or an empty
// string.
std::string find_inconsistency(const DispatchState& state) {
  for (const auto& [id, cell] : state.cells) {
    std::map<std::string, double> running;
    for (const auto& [key, request] : cell.running) {
      running[request.item.rank] += 1;
    }
    std::set<RequestKey> waiting;
    for (const auto& [rank, queue] : cell.ranks) {
      std::size_t count = 0;
      for (const auto& [caller, requests] : queue.by_caller) {
        count += requests.size();
        for (const auto& queued : requests) {
          if (!waiting.insert(queued.key).second)
            return "a request is queued twice";
          if (cell.running.contains(queued.key))
            return "a request is both queued and running";
        }
      }
      if (count != queue.waiting)
        return "the count of waiting requests is wrong";
      if (queue.running != running[rank])
        return "the count of running requests is wrong";
    }
    for (const auto& [name, endpoint] : cell.endpoints) {
      for (const RequestKey& key : endpoint.running) {
        if (!cell.running.contains(key))
          return "an unknown request runs on " + name;
      }
    }
  }
  return {};
}

TEST_CASE("the state of dispatchers stays consistent under faults",
          "[property]") {
  std::uint64_t granted = 0;
  for (std::uint32_t seed = 1; seed <= kSequences; ++seed) {
    std::mt19937_64 random(seed);
    samples::DispatcherHarness dispatcher;
    dispatcher.start(4, samples::config(), 4000);
    std::uint64_t number = 0;
    std::map<std::uint64_t, std::string> grants;
    for (int i = 0; i < kSteps; ++i) {
      std::vector<DispatchEffect> effects;
      const std::string engine = "engine-" + std::to_string(1 + random() % 4);
      const std::uint64_t any = 1 + random() % (number + 1);
      const auto queued =
          samples::request(any, any % 3 == 0 ? "small" : "large",
                           any % 2 == 0 ? "urgent" : "bulk", dispatcher.now);
      switch (random() % 9) {
        case 0:
        case 1:
        case 2:
          number += 1;
          effects = dispatcher.enqueue(samples::request(
              number, number % 3 == 0 ? "small" : "large",
              number % 2 == 0 ? "urgent" : "bulk", dispatcher.now));
          break;
        case 3:
          effects = dispatcher.progress(
              queued, engine, static_cast<std::uint32_t>(random() % 300),
              static_cast<RunState>(random() % 5));
          break;
        case 4: {
          EndpointLoad load = samples::idle_load(4000);
          load.incarnation = 5 + random() % 10 / 9;
          load.running = static_cast<double>(random() % 20);
          load.preemptions = random() % 3;
          load.leaving = random() % 8 == 0;
          effects = dispatcher.apply(LoadReported{engine, load});
          break;
        }
        case 5:
          effects = dispatcher.apply(EndpointDown{engine, random() % 2 == 0});
          break;
        case 6:
          effects = dispatcher.apply(
              EntryReported{"vm-1", 1, random() % 5 == 0, {queued}, {}, {any}});
          break;
        case 7:
          dispatcher.apply(DispatchViewChanged{
              samples::view(3 + static_cast<int>(random() % 2))});
          break;
        default:
          effects = dispatcher.advance(
              100 + static_cast<Millis>(random() % 3000) / 100 * 100);
          break;
      }
      granted += effects_of<IssueGrant>(effects).size();
      for (const auto& grant : effects_of<IssueGrant>(effects)) {
        const auto& endpoints =
            dispatcher.state.cells.begin()->second.endpoints;
        const auto found = endpoints.find(grant.endpoint);
        if (found == endpoints.end()) continue;
        if (found->second.info.leaving) {
          FAIL("seed " << seed << " step " << i << ": granted on a leaving "
                       << "endpoint");
        }
      }
      const std::string violation = find_inconsistency(dispatcher.state);
      if (!violation.empty())
        FAIL("seed " << seed << " step " << i << ": " << violation);
    }
  }
  std::cout << "dispatch: " << kSequences << " sequences, " << granted
            << " grants, 0 violations\n";
  CHECK(granted > 1000);
}

}  // namespace
}  // namespace peridotreach
