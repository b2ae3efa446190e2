#pragma once

// How recently a process knew the shared tables to be up to date. Processes
// that watch the store confirm the tables regularly, and all pass on the newest
// confirmation. A process that no peer has confirmed them for reads the store
// itself, whatever became of the processes between it and the store.

#include <cstddef>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// Age from which a confirmation is too old. Together with the time that reading
// the store takes it is shorter than the time in which changes have to be in
// force.
inline constexpr Millis kMaxConfirmationAge = 1300;

// Number of confirmations that a process keeps and reports. With two, by
// different processes, at least one is not the receiver's own.
inline constexpr std::size_t kReportedConfirmations = 2;

// A successful call to the store by a process that watches the tables.
struct TableConfirmation {
  std::string vm;
  Millis at = 0;

  bool operator==(const TableConfirmation&) const = default;
};

// The newest confirmations that one process knows.
struct TableFreshness {
  // When this process last confirmed the tables; 0 if its last call failed.
  Millis own_at = 0;
  // Those by different other processes, the newest one in front.
  std::vector<TableConfirmation> by_peers;
  // When a relay first answered this process; 0 if none did.
  Millis first_served_at = 0;

  bool operator==(const TableFreshness&) const = default;
};

// Records whether a call of this process to the store has succeeded.
void record_own_call(TableFreshness& freshness, bool succeeded, Millis now);

// Records a confirmation that a peer reported. Those of `self` are ignored.
void record_confirmation(TableFreshness& freshness, const std::string& self,
                         const TableConfirmation& confirmation);

// Returns the newest confirmations, to report them to peers.
std::vector<TableConfirmation> newest_confirmations(
    const TableFreshness& freshness, const std::string& self);

// Returns when a peer last confirmed the tables; 0 if none did.
Millis confirmed_by_peers_at(const TableFreshness& freshness);

// Returns when this process or a peer last confirmed the tables; 0 if none did.
Millis confirmed_at(const TableFreshness& freshness);

// Returns whether a peer has confirmed the tables within `max_age`.
bool is_confirmed_by_peers(const TableFreshness& freshness, Millis max_age,
                           Millis now);

// Returns whether a process that relays serve has to read the store itself. At
// the start of a fleet, the relays get time to read it.
bool has_to_read_store(const TableFreshness& freshness, Millis max_age,
                       Millis now);

// Returns whether this process or a peer is known to reach the store.
bool is_store_in_reach(const TableFreshness& freshness, Millis max_age,
                       Millis now);

}  // namespace peridotreach
