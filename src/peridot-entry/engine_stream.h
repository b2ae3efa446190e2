#pragma once

// One connection of a request to a model endpoint: sends the request and
// turns the endpoint's events into the reducer's.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "libperidotreach/entry_event.h"
#include "runtime/http_client.h"

namespace peridotreach {

// Where and what to ask. An empty `generation` creates one with `body`.
struct EngineCall {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  HttpTarget target;
  std::string generation;
  std::int64_t starting_after = -1;
  std::string body;
};

// Receives the reducer's events.
using EventSink = std::function<void(EntryEvent)>;

// Reads the endpoint's answer until it ends or `connection` is closed.
awaitable<void> run_engine_stream(std::shared_ptr<HttpConnection> connection,
                                  EngineCall call, EventSink post);

// Classifies one event of an endpoint's stream. Returns false if it has no
// usable sequence number.
bool stream_item_from(std::string_view type, std::string data,
                      StreamEvent& item);

}  // namespace peridotreach
