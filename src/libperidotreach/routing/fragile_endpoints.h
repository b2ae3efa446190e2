#pragma once

// Endpoints that fail if they have to reject too many requests a second. One
// process coordinates the slots of such an endpoint: calls are sent only into
// slots that it has handed out, so that hardly any wait there or are rejected.
// Load: demand beyond the capacity of a service, or endpoints that slow down.
// A bound that each process kept by itself would not do: all of them would fill
// the slots that they see free.

#include <cstdint>
#include <map>
#include <string>

#include "libperidotreach/time.h"

namespace peridotreach {

// How long the calls of one endpoint take, as one process measures it.
struct CallTime {
  double average_ms = 0;
  // When a call last ended; 0 if none did.
  Millis measured_at = 0;

  bool operator==(const CallTime&) const = default;
};

void record_call_time(CallTime& time, Millis duration, Millis now);

// Returns whether the measurement still describes the endpoint.
bool is_current(const CallTime& time, Millis now);

// Slots that a process holds, as it last reported: those that its calls use and
// those that it was handed out since.
struct HeldSlots {
  std::uint32_t slots = 0;
  Millis updated_at = 0;

  bool operator==(const HeldSlots&) const = default;
};

// The slots of one endpoint at their coordinator.
struct SlotLedger {
  std::map<std::string, HeldSlots> held_by_process;
  // Slots by which the endpoint seems to take less than it names. Rises with
  // rejections and falls slowly again. Negative if more are handed out, as
  // those of calls that have ended stay held until that is reported.
  double withheld = 0;
  Millis started_at = 0;
  Millis updated_at = 0;
  Millis reduced_at = 0;
  // When the process that was last denied a slot may ask again.
  Millis last_retry_at = 0;

  bool operator==(const SlotLedger&) const = default;
};

// What a process says of its calls to the endpoint when it asks for slots.
struct SlotReport {
  std::string process;
  std::uint32_t held = 0;
  // Calls that the endpoint has rejected since its last report.
  std::uint32_t rejections = 0;

  bool operator==(const SlotReport&) const = default;
};

// Updates the ledger of an endpoint that has `slots` and may reject
// `rejection_limit` calls a second with a report. Slots of processes that do
// not report them again within two seconds are free.
void update_slots(SlotLedger& ledger, const SlotReport& report, double slots,
                  double rejection_limit, Millis now);

// Returns how many of the endpoint's `slots` a coordinator that is in contact
// with `live_share` of the fleet can hand out now.
std::uint32_t free_slots(const SlotLedger& ledger, double slots,
                         double live_share, Millis now);

// Records slots that are handed out.
void hand_out_slots(SlotLedger& ledger, const std::string& process,
                    std::uint32_t slots, Millis now);

// Returns after which time a process that got no slot asks again. Processes get
// different times, as slots become free one after another: each call takes
// `call_ms`.
Millis wait_for_slot(SlotLedger& ledger, double slots, double call_ms,
                     Millis now);

}  // namespace peridotreach
