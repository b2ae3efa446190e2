#pragma once

// An endpoint as listed by service discovery.

#include <cstdint>
#include <string>

#include "libperidotreach/time.h"

namespace peridotreach {

// One listed endpoint. A restart under the same id has another `started_at_ms`.
struct EndpointEntry {
  std::string id;
  std::string service;
  std::string address;
  std::uint16_t port = 0;
  std::string zone;
  std::uint32_t slots = 0;
  bool leaving = false;
  // How much longer the endpoint stays slow after its start.
  Millis remaining_warm_up = 0;
  // Wall-clock start time in milliseconds; 0 if unknown.
  std::uint64_t started_at_ms = 0;
  // Rises with each report since the start; 0 if unknown.
  std::uint64_t sequence = 0;

  bool operator==(const EndpointEntry&) const = default;
};

}  // namespace peridotreach
