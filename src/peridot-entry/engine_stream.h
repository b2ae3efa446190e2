#pragma once

// One connection of a request to a model endpoint: sends the request and
// converts the endpoint's server-sent events into events of the reducer.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "libperidotreach/entry_event.h"
#include "runtime/http_client.h"

namespace peridotreach {

// A request to an endpoint. Without a generation id, creates a generation with
// `body`. With one, reads the events after `starting_after`, all of them if
// that is negative.
struct EngineCall {
  std::uint64_t request = 0;
  std::uint32_t attempt = 0;
  HttpTarget target;
  std::string generation_id;
  std::int64_t starting_after = -1;
  std::string body;
};

// Receives the events for the reducer.
using EventSink = std::function<void(EntryEvent)>;

// Sends the request and posts the endpoint's events until the response ends or
// `connection` is closed.
awaitable<void> run_engine_stream(std::shared_ptr<HttpConnection> connection,
                                  EngineCall call, EventSink post);

// Parses one event of an endpoint's stream into `stream_event`. Returns false
// if it has no valid sequence number or, for a created or completed event, if
// `data` is not a JSON object.
bool parse_stream_event(std::string_view type, std::string data,
                        StreamEvent& stream_event);

}  // namespace peridotreach
