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
  HttpTarget callers;
  HttpTarget readiness;
  HttpTarget directory;
  HttpTarget link;
  // Where to reach peers when the store does not answer.
  std::vector<HttpTarget> seeds;
  RetryAllowance retries;
  // Time from a stop signal until the process is killed.
  Millis stop_grace = 8 * kSecond;
  // How long a caller may keep an answer to its address question.
  Millis address_life = 2 * kSecond;

  bool operator==(const RouterSettings&) const = default;
};

}  // namespace peridotreach
