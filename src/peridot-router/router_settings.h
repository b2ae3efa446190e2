#pragma once

// Settings of a router process, checked by whoever read them.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/routing/shared_retry_budget.h"
#include "libperidotreach/time.h"
#include "runtime/http_client.h"

namespace peridotreach {

struct RouterSettings {
  std::string vm;
  std::string zone;
  // Where callers, readiness checks, address questions and peers connect.
  HttpTarget caller_listen;
  HttpTarget readiness_listen;
  HttpTarget directory_listen;
  HttpTarget link_listen;
  // Where to reach peers when the store does not answer.
  std::vector<HttpTarget> seeds;
  RetryBudgetLimits retries;
  // Time from a stop signal until the process is killed.
  Millis stop_grace = 8 * kSecond;
  // How long a caller may keep an answer to its address question.
  Millis address_ttl = 2 * kSecond;

  bool operator==(const RouterSettings&) const = default;
};

}  // namespace peridotreach
