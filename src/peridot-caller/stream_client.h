#pragma once

// Sends one request as a careful caller does: streams, checks each token,
// resumes on another address after a lost or silent connection.

#include <string>

#include "peridot-caller/address_book.h"
#include "peridot-caller/request_record.h"
#include "peridot-caller/workload.h"

namespace peridotreach {

// One request to send.
struct ClientWork {
  WorkStream stream;
  std::string prompt;
  std::string idempotency_key;
  std::uint64_t turn = 0;
};

// Milliseconds of the monotonic clock with fractions.
double precise_now();

// Runs the request to its end and fills `record`.
awaitable<void> run_request(asio::io_context& io, AddressBook& book,
                            ClientWork work, RequestRecord& record);

}  // namespace peridotreach
