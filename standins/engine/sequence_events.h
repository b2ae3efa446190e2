#pragma once

// A generation as the engine stand-in's callers see it: its JSON and the events
// of its stream.

#include <cstdint>
#include <string>

#include "runtime/json.h"
#include "standins/engine/batch_engine.h"

namespace peridotreach::standin {

// Returns the generation as the published API answers it.
json::object response_json(const Sequence& sequence);

// Returns event `number` of the generation's stream.
std::string event_text(const Sequence& sequence, std::int64_t number);

// Returns how many events the stream has so far.
std::int64_t event_count(const Sequence& sequence);

}  // namespace peridotreach::standin
