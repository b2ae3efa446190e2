#include "libperidotreach/entry_streams.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libperidotreach/cell_credits.h"
#include "libperidotreach/cells.h"
#include "libperidotreach/entry_dispatchers.h"

namespace peridotreach {
namespace {

// Reconnects without progress after which an endpoint counts as lost.
constexpr std::uint32_t kMostReconnects = 4;

// Retries of one request.
constexpr std::uint32_t kMostRetries = 6;

// Time after its deadline that a dispatcher's refusal may still take.
constexpr Millis kDeadlineSlack = 0;

// Time for an endpoint to answer a connection.
constexpr Millis kOpenTimeout = 4 * kSecond;

// Gap between tokens beyond which the excess counts as stall.
constexpr Millis kStallGap = 500;

// Progress is reported when the produced tokens have doubled, from here on.
constexpr std::uint32_t kFirstProgressTokens = 128;

// Delay before a reconnect that follows a failed one.
constexpr Millis kReconnectDelay = 250;

Generation* find_generation(EntryState& state, std::uint64_t request) {
  const auto found = state.generations.find(request);
  return found == state.generations.end() ? nullptr : &found->second;
}

const RankPolicy& rank_of(const EntryState& state, const std::string& id) {
  static const RankPolicy kUnknown;
  const RankPolicy* rank = find_rank(state.config, id);
  return rank == nullptr ? kUnknown : *rank;
}

// Chooses the untried cell that the request's prefix hashes to, so that equal
// prefixes meet one cache.
std::string choose_cell(const EntryState& state, const Generation& generation) {
  const std::uint64_t seed = generation.item.prefixes.empty()
                                 ? generation.item.fingerprint
                                 : generation.item.prefixes.front();
  std::string best;
  std::uint64_t best_score = 0;
  bool best_near = false;
  for (const Cell& cell : state.cells) {
    if (cell.service != generation.service) continue;
    if (generation.tried_cells.contains(cell.id)) continue;
    const bool near = cell.region == state.self.region;
    if (!best.empty() && best_near && !near) continue;
    const std::uint64_t score = stable_hash(cell.id, seed);
    if (!best.empty() && score <= best_score) continue;
    best = cell.id;
    best_score = score;
    best_near = near;
  }
  return best;
}

void report(const EntryContext& context, const Generation& generation,
            RunState run) {
  if (generation.dispatcher.empty()) return;
  note_asked(context.state, generation.dispatcher);
  if (run == RunState::kLost) {
    context.state.lost_fingerprints[generation.item.fingerprint] =
        context.state.now;
  }
  context.effects.emplace_back(SendProgress{
      generation.dispatcher,
      {generation.item, generation.endpoint, generation.produced, run},
      false});
}

// Drops the connection of the present attempt; what it still says is of an
// older attempt from here on.
void close_attempt(const EntryContext& context, Generation& generation) {
  context.effects.emplace_back(
      CloseEndpoint{generation.item.key.request, generation.attempt});
  generation.attempt += 1;
}

void observe(const EntryContext& context, const Generation& generation,
             Measure measure, double value) {
  context.effects.emplace_back(
      Observe{measure, generation.item.rank, generation.item.caller, value});
}

// Removes the generation and answers its caller. "Not run" is only said if no
// attempt can have run.
void finish(const EntryContext& context, std::uint64_t request,
            FinishRequest outcome) {
  EntryState& state = context.state;
  const auto found = state.generations.find(request);
  if (found == state.generations.end()) return;
  const Generation& generation = found->second;
  if (outcome.ran == Ran::kNo) outcome.ran = generation.exposure;
  const bool refused = outcome.kind != RefusalKind::kNone &&
                       outcome.kind != RefusalKind::kCancelled;
  if (refused) {
    count_refusal(context, {generation.item.caller, generation.item.rank,
                            generation.service, outcome.kind});
  }
  explain(context, request, "finished", refusal_name(outcome.kind));
  context.effects.emplace_back(outcome);
  if (!generation.idempotency_key.empty()) {
    const auto key =
        std::make_pair(generation.item.caller, generation.idempotency_key);
    const auto keyed = state.by_key.find(key);
    if (keyed != state.by_key.end() && keyed->second == request) {
      state.by_key.erase(keyed);
    }
  }
  state.generations.erase(found);
}

void drop_queued(const EntryContext& context, const Generation& generation) {
  if (generation.stage != Stage::kQueued) return;
  if (generation.dispatcher.empty()) return;
  context.effects.emplace_back(
      SendDropped{generation.dispatcher, generation.item.key.request});
}

// Queues the generation at the dispatcher of its cell; refuses it if the
// service has no endpoint.
void queue_generation(const EntryContext& context, std::uint64_t request) {
  EntryState& state = context.state;
  Generation& generation = state.generations.at(request);
  if (generation.item.cell.empty()) {
    generation.item.cell = choose_cell(state, generation);
  }
  if (generation.item.cell.empty()) {
    finish(context, request,
           {request, RefusalKind::kNoEndpoint, Ran::kNo, 5 * kSecond});
    return;
  }
  generation.stage = Stage::kQueued;
  generation.stage_at = state.now;
  generation.endpoint.clear();
  generation.generation.clear();
  generation.dispatcher = choose_dispatcher(state, generation.item.cell);
  if (generation.dispatcher.empty()) {
    finish(context, request,
           {request, RefusalKind::kNoDispatcher, Ran::kNo, kSecond});
    return;
  }
  explain(context, request, "queued",
          generation.item.cell + " at " + generation.dispatcher);
  note_asked(state, generation.dispatcher);
  context.effects.emplace_back(
      SendEnqueue{generation.dispatcher, generation.item});
}

void open_endpoint(const EntryContext& context, std::uint64_t request) {
  EntryState& state = context.state;
  Generation& generation = state.generations.at(request);
  generation.attempt += 1;
  generation.exposure_before = generation.exposure;
  if (generation.exposure == Ran::kNo) generation.exposure = Ran::kUnknown;
  generation.stage_at = state.now;
  generation.activity_at = state.now;
  const RankPolicy& rank = rank_of(state, generation.item.rank);
  context.effects.emplace_back(OpenEndpoint{
      request, generation.attempt, generation.endpoint, generation.generation,
      generation.next_sequence - 1, rank.order});
}

// Takes one credit for the request: at the endpoint that its prefix hashes to,
// so that equal prefixes meet one cache. Returns the endpoint, or nothing.
std::string take_credit(EntryState& state, HeldCredits& held,
                        const QueuedRequest& item) {
  const std::uint64_t seed =
      item.prefixes.empty() ? item.fingerprint : item.prefixes.front();
  Credit* best = nullptr;
  std::uint64_t best_score = 0;
  for (Credit& credit : held.credits) {
    if (credit.count == 0 || credit.model != item.model) continue;
    const EndpointInfo* endpoint = find_endpoint(state.view, credit.endpoint);
    if (endpoint == nullptr || endpoint->leaving) continue;
    if (is_drained(state.config, credit.endpoint)) continue;
    const std::uint64_t score = stable_hash(credit.endpoint, seed);
    if (best != nullptr && score <= best_score) continue;
    best = &credit;
    best_score = score;
  }
  if (best == nullptr) return {};
  best->count -= 1;
  return best->endpoint;
}

// Starts the generation on a credit if there is one. Returns whether it did.
bool start_on_credit(const EntryContext& context, std::uint64_t request) {
  EntryState& state = context.state;
  Generation& generation = state.generations.at(request);
  generation.item.cell = choose_cell(state, generation);
  const auto held = state.credits.find(generation.item.cell);
  if (held == state.credits.end()) return false;
  if (state.now >= held->second.valid_until) return false;
  if (state.lost_fingerprints.contains(generation.item.fingerprint)) {
    return false;
  }
  const std::string endpoint =
      take_credit(state, held->second, generation.item);
  if (endpoint.empty()) return false;
  generation.endpoint = endpoint;
  generation.dispatcher = held->second.dispatcher;
  generation.stage = Stage::kConnecting;
  note_asked(state, generation.dispatcher);
  context.effects.emplace_back(
      SendProgress{generation.dispatcher,
                   {generation.item, endpoint, 0, RunState::kGranted},
                   true});
  explain(context, request, "granted", endpoint + " credit");
  observe(context, generation, Measure::kQueueTime, 0);
  open_endpoint(context, request);
  return true;
}

// Runs the generation again elsewhere. Only called while no token of it has
// reached the caller.
void retry_elsewhere(const EntryContext& context, std::uint64_t request,
                     RunState run, const std::string& cause) {
  EntryState& state = context.state;
  Generation& generation = state.generations.at(request);
  report(context, generation, run);
  explain(context, request, "retry", cause + " at " + generation.endpoint);
  close_attempt(context, generation);
  const bool late = state.now >= generation.start_by;
  const bool spent =
      generation.retries >= kMostRetries || !take_retry(state.retries);
  if (late || spent) {
    finish(context, request,
           {request, RefusalKind::kEndpointLost, Ran::kNo, kSecond});
    return;
  }
  generation.retries += 1;
  generation.next_sequence = 0;
  generation.produced = 0;
  generation.reported = 0;
  generation.reconnects = 0;
  generation.item.excluded.push_back(generation.endpoint);
  generation.stage = Stage::kWaiting;
  generation.endpoint.clear();
  generation.generation.clear();
  generation.retry_at =
      state.now + retry_delay(generation.retries, draw(state));
}

// Replaces a connection by one that goes on at the next event.
void reconnect(const EntryContext& context, std::uint64_t request,
               const std::string& cause) {
  Generation& generation = context.state.generations.at(request);
  if (generation.reconnects >= kMostReconnects) {
    if (!generation.delivered) {
      retry_elsewhere(context, request, RunState::kLost, "no_progress");
      return;
    }
    report(context, generation, RunState::kLost);
    finish(context, request,
           {request, RefusalKind::kEndpointLost, Ran::kPartly, 0});
    return;
  }
  generation.reconnects += 1;
  explain(context, request, "resume", cause + " at " + generation.endpoint);
  close_attempt(context, generation);
  if (generation.reconnects == 1) {
    open_endpoint(context, request);
    return;
  }
  generation.retry_at = context.state.now + kReconnectDelay;
}

void lose_endpoint(const EntryContext& context, std::uint64_t request,
                   const std::string& cause) {
  const Generation& generation = context.state.generations.at(request);
  if (!generation.delivered && !generation.resumed) {
    retry_elsewhere(context, request, RunState::kLost, cause);
    return;
  }
  explain(context, request, "endpoint_lost", cause + " " + generation.endpoint);
  report(context, generation, RunState::kLost);
  finish(context, request,
         {request, RefusalKind::kEndpointLost, Ran::kPartly, 0});
}

void note_token(const EntryContext& context, Generation& generation) {
  const Millis now = context.state.now;
  if (generation.produced == 0 && !generation.resumed) {
    observe(context, generation, Measure::kFirstToken,
            static_cast<double>(now - generation.arrived_at));
  }
  if (generation.token_at > 0) {
    const Millis gap = now - generation.token_at;
    observe(context, generation, Measure::kTokenGap, static_cast<double>(gap));
    if (gap > kStallGap) {
      observe(context, generation, Measure::kStall,
              static_cast<double>(gap - kStallGap));
    }
  }
  generation.token_at = now;
  generation.produced += 1;
  const std::uint32_t due =
      std::max(kFirstProgressTokens, 2 * generation.reported);
  if (generation.produced < due) return;
  generation.reported = generation.produced;
  report(context, generation, RunState::kStarted);
}

// How one item was taken.
enum class Taken : std::uint8_t { kRelay, kDrop, kGap };

Taken take_item(Generation& generation, const StreamItem& item) {
  if (item.kind == ItemKind::kHeartbeat) return Taken::kDrop;
  if (item.sequence < generation.next_sequence) return Taken::kDrop;
  if (item.sequence > generation.next_sequence) return Taken::kGap;
  generation.next_sequence += 1;
  generation.reconnects = 0;
  return Taken::kRelay;
}

// The id named in a stream must be that of the generation this request runs.
bool is_foreign(const Generation& generation, const StreamItem& item) {
  if (item.generation.empty()) return false;
  return !generation.generation.empty() &&
         generation.generation != item.generation;
}

// Outcome of reading a batch of items.
struct BatchResult {
  bool ended = false;
  bool failed = false;
  bool broken = false;
};

BatchResult read_items(const EntryContext& context, Generation& generation,
                       const std::vector<StreamItem>& items,
                       RelayItems& relay) {
  BatchResult result;
  for (const StreamItem& item : items) {
    if (is_foreign(generation, item)) {
      result.broken = true;
      return result;
    }
    if (!item.generation.empty()) generation.generation = item.generation;
    const Taken taken = take_item(generation, item);
    if (taken == Taken::kDrop) continue;
    if (taken == Taken::kGap) {
      result.broken = true;
      return result;
    }
    if (item.kind == ItemKind::kToken) {
      note_token(context, generation);
      generation.delivered = true;
    }
    result.ended = item.kind == ItemKind::kCompleted;
    result.failed = item.kind == ItemKind::kFailed;
    relay.items.push_back(item);
    if (result.ended || result.failed) return result;
  }
  return result;
}

void complete(const EntryContext& context, std::uint64_t request) {
  const Generation& generation = context.state.generations.at(request);
  observe(context, generation, Measure::kOutputLength, generation.produced);
  report(context, generation, RunState::kFinished);
  finish(context, request, {request, RefusalKind::kNone, Ran::kYes, 0});
}

void tend_queued(const EntryContext& context, std::uint64_t request,
                 const Generation& generation) {
  if (context.state.now < generation.start_by + kDeadlineSlack) return;
  drop_queued(context, generation);
  finish(context, request,
         {request, RefusalKind::kDeadlineUnreachable, Ran::kNo, kSecond});
}

void tend_running(const EntryContext& context, std::uint64_t request,
                  Generation& generation) {
  const Millis now = context.state.now;
  if (generation.retry_at > 0) {
    if (now < generation.retry_at) return;
    generation.retry_at = 0;
    open_endpoint(context, request);
    return;
  }
  const bool connecting = generation.stage == Stage::kConnecting;
  const Millis bound = connecting ? kOpenTimeout : kConnectionSilence;
  if (now - generation.activity_at < bound) return;
  if (connecting && generation.generation.empty()) {
    retry_elsewhere(context, request, RunState::kLost, "no_answer");
    return;
  }
  reconnect(context, request, "silent_connection");
}

void cancel_running(const EntryContext& context, Generation& generation,
                    bool only_unwatched) {
  close_attempt(context, generation);
  if (generation.generation.empty()) return;
  context.effects.emplace_back(CancelGeneration{
      generation.endpoint, generation.generation, only_unwatched});
}

// A resent request takes the place of the one that its key names.
void replace_keyed(const EntryContext& context,
                   const GenerationRequested& event) {
  if (event.idempotency_key.empty()) return;
  const auto key = std::make_pair(event.caller, event.idempotency_key);
  const auto found = context.state.by_key.find(key);
  if (found == context.state.by_key.end()) return;
  const std::uint64_t earlier = found->second;
  Generation* generation = find_generation(context.state, earlier);
  if (generation == nullptr) return;
  drop_queued(context, *generation);
  finish(context, earlier, {earlier, RefusalKind::kCancelled, Ran::kNo, 0});
}

// Returns whether `event` joins a generation that its key names and that has
// started.
bool join_keyed(const EntryContext& context, const GenerationRequested& event) {
  if (event.idempotency_key.empty()) return false;
  const auto key = std::make_pair(event.caller, event.idempotency_key);
  const auto found = context.state.by_key.find(key);
  if (found == context.state.by_key.end()) return false;
  const Generation* running = find_generation(context.state, found->second);
  if (running == nullptr || running->generation.empty()) return false;
  const ResumeRequested resume{
      event.request,       event.caller,
      event.rank,          event.service,
      running->endpoint,   running->endpoint_incarnation,
      running->generation, -1};
  on_resume(context, resume);
  return true;
}

}  // namespace

void on_generation(const EntryContext& context,
                   const GenerationRequested& event) {
  EntryState& state = context.state;
  if (join_keyed(context, event)) return;
  replace_keyed(context, event);
  Generation generation;
  generation.item.key = {state.self.vm, state.self.incarnation, event.request};
  generation.item.model = event.model;
  generation.item.caller = event.caller;
  generation.item.rank = event.rank;
  generation.item.prompt_tokens = event.prompt_tokens;
  generation.item.queued_at = state.now;
  generation.item.fingerprint = event.fingerprint;
  generation.item.prefixes = event.prefixes;
  generation.service = event.service;
  generation.idempotency_key = event.idempotency_key;
  generation.arrived_at = state.now;
  generation.start_by = state.now + rank_of(state, event.rank).start_deadline;
  state.generations.emplace(event.request, std::move(generation));
  if (!event.idempotency_key.empty()) {
    state.by_key[{event.caller, event.idempotency_key}] = event.request;
  }
  note_first_attempt(state.retries);
  if (start_on_credit(context, event.request)) return;
  queue_generation(context, event.request);
}

void on_resume(const EntryContext& context, const ResumeRequested& event) {
  EntryState& state = context.state;
  Generation generation;
  generation.item.key = {state.self.vm, state.self.incarnation, event.request};
  generation.item.caller = event.caller;
  generation.item.rank = event.rank;
  generation.service = event.service;
  generation.endpoint = event.endpoint;
  generation.endpoint_incarnation = event.endpoint_incarnation;
  generation.generation = event.generation;
  generation.next_sequence = event.starting_after + 1;
  generation.stage = Stage::kStreaming;
  generation.arrived_at = state.now;
  generation.resumed = true;
  generation.delivered = true;
  generation.exposure = Ran::kPartly;
  state.generations.emplace(event.request, std::move(generation));
  if (find_endpoint(state.view, event.endpoint) == nullptr) {
    finish(context, event.request,
           {event.request, RefusalKind::kEndpointLost, Ran::kPartly, 0});
    return;
  }
  explain(context, event.request, "resumed_by_caller", event.endpoint);
  open_endpoint(context, event.request);
}

void on_grant(const EntryContext& context, const GrantArrived& event) {
  EntryState& state = context.state;
  Generation* generation = find_generation(state, event.request);
  if (generation == nullptr) return;
  // Two dispatchers may grant the same request; the first grant counts.
  if (generation->stage != Stage::kQueued) return;
  const EndpointInfo* endpoint = find_endpoint(state.view, event.endpoint);
  generation->dispatcher = event.dispatcher;
  generation->endpoint = event.endpoint;
  const bool leaving = endpoint == nullptr || endpoint->leaving ||
                       is_drained(state.config, event.endpoint);
  if (leaving) {
    retry_elsewhere(context, event.request, RunState::kCancelled, "leaving");
    return;
  }
  explain(context, event.request, "granted",
          event.endpoint + " " + event.reason);
  observe(context, *generation, Measure::kQueueTime,
          static_cast<double>(state.now - generation->arrived_at));
  generation->stage = Stage::kConnecting;
  open_endpoint(context, event.request);
}

void on_credits(const EntryContext& context, const CreditsArrived& event) {
  EntryState& state = context.state;
  state.credits[event.cell] = {event.dispatcher, state.now + kCreditLife,
                               event.credits};
}

void on_refusal(const EntryContext& context, const RefusalArrived& event) {
  EntryState& state = context.state;
  Generation* generation = find_generation(state, event.request);
  if (generation == nullptr || generation->stage != Stage::kQueued) return;
  if (generation->dispatcher != event.dispatcher) return;
  const bool may_move = event.kind == RefusalKind::kQueueFull ||
                        event.kind == RefusalKind::kDeadlineUnreachable ||
                        event.kind == RefusalKind::kNoEndpoint;
  generation->tried_cells.insert(generation->item.cell);
  const std::string other =
      may_move ? choose_cell(state, *generation) : std::string();
  if (!other.empty() && state.now < generation->start_by) {
    generation->item.cell = other;
    explain(context, event.request, "moved_cell", refusal_name(event.kind));
    queue_generation(context, event.request);
    return;
  }
  finish(context, event.request,
         {event.request, event.kind, Ran::kNo, event.retry_after});
}

void on_withdrawal(const EntryContext& context,
                   const WithdrawalArrived& event) {
  Generation* generation = find_generation(context.state, event.request);
  if (generation == nullptr || generation->delivered) return;
  if (generation->stage != Stage::kConnecting &&
      generation->stage != Stage::kStreaming) {
    return;
  }
  explain(context, event.request, "withdrawn", generation->endpoint);
  cancel_running(context, *generation, false);
  report(context, *generation, RunState::kCancelled);
  generation->next_sequence = 0;
  generation->produced = 0;
  generation->reported = 0;
  generation->retry_at = 0;
  queue_generation(context, event.request);
}

void on_opened(const EntryContext& context, const EndpointOpened& event) {
  Generation* generation = find_generation(context.state, event.request);
  if (generation == nullptr || generation->attempt != event.attempt) return;
  generation->activity_at = context.state.now;
  const bool known =
      generation->endpoint_incarnation != 0 && !generation->generation.empty();
  if (known && generation->endpoint_incarnation != event.incarnation) {
    lose_endpoint(context, event.request, "restarted");
    return;
  }
  generation->endpoint_incarnation = event.incarnation;
  generation->exposure = Ran::kPartly;
  if (generation->stage == Stage::kConnecting) {
    generation->stage = Stage::kStreaming;
  }
}

void on_items(const EntryContext& context, const ItemsArrived& event) {
  Generation* generation = find_generation(context.state, event.request);
  if (generation == nullptr || generation->attempt != event.attempt) return;
  generation->activity_at = context.state.now;
  const bool first = generation->produced == 0;
  RelayItems relay;
  relay.request = event.request;
  relay.endpoint = generation->endpoint;
  relay.endpoint_incarnation = generation->endpoint_incarnation;
  const BatchResult result =
      read_items(context, *generation, event.items, relay);
  relay.generation = generation->generation;
  if (first && generation->produced > 0) {
    report(context, *generation, RunState::kStarted);
  }
  if (!relay.items.empty()) context.effects.emplace_back(std::move(relay));
  if (result.broken) {
    reconnect(context, event.request, "gap_or_foreign_answer");
    return;
  }
  if (result.failed) {
    close_attempt(context, *generation);
    report(context, *generation, RunState::kLost);
    finish(context, event.request,
           {event.request, RefusalKind::kEndpointLost, Ran::kPartly, 0});
    return;
  }
  if (result.ended) complete(context, event.request);
}

void on_closed(const EntryContext& context, const EndpointClosed& event) {
  Generation* generation = find_generation(context.state, event.request);
  if (generation == nullptr || generation->attempt != event.attempt) return;
  const bool not_started =
      event.kind == EndKind::kDeclined || event.kind == EndKind::kConnectFailed;
  if (not_started) generation->exposure = generation->exposure_before;
  switch (event.kind) {
    case EndKind::kDeclined:
      if (!generation->resumed && !generation->delivered) {
        retry_elsewhere(context, event.request, RunState::kCancelled,
                        "declined");
        return;
      }
      reconnect(context, event.request, "declined");
      return;
    case EndKind::kGone:
      lose_endpoint(context, event.request, "gone");
      return;
    case EndKind::kBadAnswer:
      lose_endpoint(context, event.request, "bad_answer");
      return;
    case EndKind::kConnectFailed:
      if (generation->generation.empty()) {
        retry_elsewhere(context, event.request, RunState::kLost,
                        "connect_failed");
        return;
      }
      reconnect(context, event.request, "connect_failed");
      return;
    case EndKind::kClosed:
      if (generation->generation.empty()) {
        lose_endpoint(context, event.request, "closed");
        return;
      }
      reconnect(context, event.request, "closed");
      return;
  }
}

void on_caller_left(const EntryContext& context, const CallerLeft& event) {
  Generation* generation = find_generation(context.state, event.request);
  if (generation == nullptr) return;
  if (!event.cancelled && generation->stage != Stage::kQueued) {
    if (generation->resumed) {
      close_attempt(context, *generation);
      finish(context, event.request,
             {event.request, RefusalKind::kCancelled, Ran::kPartly, 0});
      return;
    }
    generation->caller_left_at = context.state.now;
    explain(context, event.request, "caller_left");
    return;
  }
  drop_queued(context, *generation);
  if (generation->stage != Stage::kQueued) {
    cancel_running(context, *generation, false);
    report(context, *generation, RunState::kCancelled);
  }
  const Ran ran = generation->delivered ? Ran::kPartly : Ran::kNo;
  finish(context, event.request,
         {event.request, RefusalKind::kCancelled, ran, 0});
}

void tend_generations(const EntryContext& context) {
  EntryState& state = context.state;
  std::vector<std::uint64_t> requests;
  requests.reserve(state.generations.size());
  for (const auto& [request, generation] : state.generations) {
    requests.push_back(request);
  }
  for (const std::uint64_t request : requests) {
    Generation* generation = find_generation(state, request);
    if (generation == nullptr) continue;
    if (generation->caller_left_at > 0 &&
        state.now - generation->caller_left_at > kCallerAbsence) {
      cancel_running(context, *generation, true);
      report(context, *generation, RunState::kCancelled);
      finish(context, request,
             {request, RefusalKind::kCancelled, Ran::kPartly, 0});
      continue;
    }
    switch (generation->stage) {
      case Stage::kQueued:
        tend_queued(context, request, *generation);
        break;
      case Stage::kWaiting:
        if (state.now < generation->retry_at) break;
        state.generations.at(request).retry_at = 0;
        queue_generation(context, request);
        break;
      case Stage::kConnecting:
      case Stage::kStreaming:
        tend_running(context, request, *generation);
        break;
    }
  }
}

}  // namespace peridotreach
