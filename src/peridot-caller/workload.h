#pragma once

// Description of the load: streams of requests with open-loop arrivals.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/error.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// Requests of one caller in one rank, which arrive at random times. A prompt
// consists of filler characters, a text and a part unique to the request.
struct RequestStream {
  std::string caller;
  std::string api_key;
  std::string rank;
  std::string model;

  // Text in each prompt, after the filler characters.
  std::string prompt_text;

  // Mean arrivals per second.
  double requests_per_second = 0;

  // Bounds of the arrival times, counted from the start of the run.
  Millis start = 0;
  Millis stop = 0;

  // Number of filler characters in each prompt.
  std::uint32_t prompt_characters = 200;

  // Leaves out the unique part, so that all prompts are the same.
  bool repeats_prompt = false;

  // Sends a request that failed again, as a new request.
  bool resends_failed = false;

  bool operator==(const RequestStream&) const = default;
};

// The load of a whole run.
struct Workload {
  // URLs of entry VMs.
  std::vector<std::string> entry_urls;
  std::vector<RequestStream> streams;
  std::uint64_t seed = 1;
  Millis duration = 10 * kSecond;

  // Longest wait for open requests after the duration is over.
  Millis drain_timeout = 60 * kSecond;

  bool operator==(const Workload&) const = default;
};

// Parses a workload from JSON.
Result<Workload> read_workload(const std::string& text);

}  // namespace peridotreach
