#pragma once

// What the load tool sends: streams of requests with open-loop arrivals.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/error.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Requests of one caller in one rank, arriving at random at a mean rate from
// `start` to `stop` (milliseconds of the run). `text` goes into each prompt.
struct WorkStream {
  std::string caller;
  std::string key;
  std::string rank;
  std::string model;
  std::string text;
  double rate = 0;
  Millis start = 0;
  Millis stop = 0;
  std::uint32_t prompt_characters = 200;
  bool same_prompt = false;
  bool resend = false;

  bool operator==(const WorkStream&) const = default;
};

// A whole run.
struct Workload {
  std::vector<std::string> entries;
  std::vector<WorkStream> streams;
  std::uint64_t seed = 1;
  Millis duration = 10 * kSecond;
  Millis drain = 60 * kSecond;

  bool operator==(const Workload&) const = default;
};

// Reads a workload from JSON.
Result<Workload> read_workload(const std::string& text);

}  // namespace peridotreach
