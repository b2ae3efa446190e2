#include "libperidotreach/routing/response_end.h"

namespace peridotreach {

bool is_complete(const ResponseEnd& end, bool stop_ordered) {
  if (!end.is_framed_end || end.has_partial_event) return false;
  if (!end.ends_with_connection) return true;
  // The end of the connection is the only sign of the end, so everything else
  // that closes a connection has to be ruled out.
  if (stop_ordered || !end.is_request_sent) return false;
  return !end.is_stream || end.has_event;
}

}  // namespace peridotreach
