#include "libperidotreach/generation_steps.h"

#include <utility>

#include "libperidotreach/cells.h"
#include "libperidotreach/entry_dispatchers.h"

namespace peridotreach {
namespace {

// Reconnects without progress after which an endpoint counts as lost.
constexpr std::uint32_t kMostReconnects = 4;

// Retries of one request.
constexpr std::uint32_t kMostRetries = 6;

// Delay before a reconnect that follows a failed one.
constexpr Millis kReconnectDelay = 250;

}  // namespace

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

void cancel_running(const EntryContext& context, Generation& generation,
                    bool only_unwatched) {
  close_attempt(context, generation);
  if (generation.generation.empty()) return;
  context.effects.emplace_back(CancelGeneration{
      generation.endpoint, generation.generation, only_unwatched});
}

}  // namespace peridotreach
