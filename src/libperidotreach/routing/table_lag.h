#pragma once

// When a process that has missed a change of a shared table requests the table
// from a peer. Changes are pushed, so most that a peer reports arrive by
// themselves a moment later.

#include <cstdint>
#include <optional>
#include <string>

#include "libperidotreach/routing/store_revision.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// What a process knows of a peer's newer copy of a table; empty `peer` if none
// is known.
struct TableLag {
  // The peer that last reported a newer copy, the copy's revision, and when it
  // was reported.
  std::string peer;
  StoreRevision peer_revision;
  Millis reported_at = 0;
  // The process's own revision when a newer one was first reported, and when
  // that was.
  StoreRevision own_revision;
  Millis since = 0;
  // When the table was last requested; 0 if it was not.
  Millis requested_at = 0;

  bool operator==(const TableLag&) const = default;
};

// Records that `peer` has a copy with `peer_revision`, which may not be newer.
void record_peer_revision(TableLag& lag, const StoreRevision& own_revision,
                          const std::string& peer,
                          const StoreRevision& peer_revision, Millis now);

// Returns the peer to request the table from now, and records the request; none
// if the table is up to date, or the change may still arrive by itself.
std::optional<std::string> take_due_request(TableLag& lag,
                                            const StoreRevision& own_revision,
                                            Millis now);

}  // namespace peridotreach
