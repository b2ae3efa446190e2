#pragma once

// How fast an endpoint generates, as the times of its answers show.

#include <cstdint>

namespace peridotreach {

// Events of a generation whose times are measured together, so that a late read
// of one event does not count.
inline constexpr std::uint32_t kEventsPerSpeedSample = 4;

// The speed of one endpoint. Lower quartiles, which neither the prompts that it
// prefills beside a generation nor its slow moments change much.
struct EndpointSpeed {
  // Milliseconds for `kEventsPerSpeedSample` events of one generation; 0 if
  // not known.
  std::uint32_t event_group_ms = 0;
  // Milliseconds for the prefill of 1000 prompt tokens; 0 if not known.
  std::uint32_t prefill_ms = 0;

  bool operator==(const EndpointSpeed&) const = default;
};

// Returns whether anything is known.
bool is_known(const EndpointSpeed& speed);

// Returns what two processes know of the same endpoint together. The lower time
// holds, as other work only makes an endpoint seem slower.
EndpointSpeed merge_speeds(const EndpointSpeed& left,
                           const EndpointSpeed& right);

}  // namespace peridotreach
