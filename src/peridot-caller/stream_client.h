#pragma once

// Sends one streaming request, checks each token and resumes the stream on
// another address when a connection is lost or idle for too long.

#include <string>

#include "peridot-caller/address_book.h"
#include "peridot-caller/request_record.h"
#include "peridot-caller/workload.h"

namespace peridotreach {

// One request to send.
struct PlannedRequest {
  RequestStream stream;
  std::string prompt;
  std::string idempotency_key;

  // Selects the address of the first connection; each reconnect uses the next
  // one.
  std::uint64_t address_index = 0;
};

// Returns the monotonic time in milliseconds, with fractions.
double precise_now_ms();

// Runs the request to its end and fills `record`.
awaitable<void> run_request(asio::io_context& io, AddressBook& book,
                            PlannedRequest work, RequestRecord& record);

}  // namespace peridotreach
