#pragma once

// Settings of a router process. The code that reads them validates them.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/routing/shared_retry_budget.h"
#include "libperidotreach/time.h"
#include "runtime/http_client.h"

namespace peridotreach {

// Settings of one router process.
struct RouterSettings {
  std::string vm;
  std::string zone;
  // Addresses to listen on for callers, readiness and metrics requests, address
  // look-ups by callers, and peers.
  HttpTarget caller_listen;
  HttpTarget readiness_listen;
  HttpTarget directory_listen;
  HttpTarget link_listen;
  // Port, at the address for callers, on which tunnels to endpoints are opened
  // for peers; 0 if none are.
  std::uint16_t tunnel_port = 0;
  // Addresses of peers for use while the store is unreachable.
  std::vector<HttpTarget> seeds;
  RetryBudgetLimits retry_limits;
  // Thousandths of a core that the process may use.
  std::uint32_t processor_share = 0;
  // Bytes of memory that the process may use; 0 if unknown.
  std::size_t memory_limit = 0;
  // Sockets and pipes that the process may open; 0 if unknown.
  std::size_t socket_limit = 0;
  // Time from the stop signal until the platform kills the process.
  Millis stop_grace = 8 * kSecond;
  // Time for which callers may cache a response to an address look-up.
  Millis address_ttl = 2 * kSecond;

  bool operator==(const RouterSettings&) const = default;
};

}  // namespace peridotreach
