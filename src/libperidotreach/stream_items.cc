#include <algorithm>
#include <utility>
#include <vector>

#include "libperidotreach/entry_streams.h"
#include "libperidotreach/generation_steps.h"

namespace peridotreach {
namespace {

// Gap between tokens beyond which the excess counts as stall.
constexpr Millis kStallGap = 500;

// Progress is reported when the produced tokens have doubled, from here on.
constexpr std::uint32_t kFirstProgressTokens = 128;

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

}  // namespace

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

}  // namespace peridotreach
