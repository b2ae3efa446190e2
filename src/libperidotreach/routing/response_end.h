#pragma once

// Decides whether an endpoint's response is complete, from its framing and from
// what the router sent and ordered.

namespace peridotreach {

// What is known of the end of a response.
struct ResponseEnd {
  // It has neither a length nor chunks, so that it ends with the connection.
  bool ends_with_connection = false;
  // Its body has reached the end that its framing gives.
  bool is_framed_end = true;
  // The whole request was sent. If not, the endpoint may have closed the
  // connection for that reason, or crashed.
  bool is_request_sent = true;
  // It is a stream of events.
  bool is_stream = false;
  bool has_event = false;
  // The stream ended inside an event.
  bool has_partial_event = false;

  bool operator==(const ResponseEnd&) const = default;
};

// Returns whether the response is complete. `stop_ordered`: the endpoint may
// have been ordered to stop the generation, which ends its stream as well.
bool is_complete(const ResponseEnd& end, bool stop_ordered);

}  // namespace peridotreach
