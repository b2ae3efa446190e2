#pragma once

// Availability zones that operators have closed: their endpoints get no new
// requests until the zone is opened again. A closing is an item of the
// manifest's table, so it reaches processes in the ways that the manifest does.

#include <map>
#include <optional>
#include <string>

#include "libperidotreach/routing/store_revision.h"
#include "libperidotreach/time.h"

namespace peridotreach {

// One closed availability zone.
struct ZoneClosing {
  // Revision of the table with which this process learned of it, and when.
  StoreRevision revision;
  Millis closed_at = 0;
  // Since when a restored store lacks the closing, while the operator may still
  // write it again; 0 if it does not.
  Millis missing_since = 0;

  bool operator==(const ZoneClosing&) const = default;
};

// The closed availability zones by name.
using ClosedZones = std::map<std::string, ZoneClosing>;

// Time for the operator to write a closing again that a restored store lacks;
// as long as for the entries of endpoints.
inline constexpr Millis kClosingReturnTimeout = 1800;

// Time after a closing becomes known in which a generation that an endpoint of
// the zone has stopped for a move may go on there. The fleet learns of a
// closing within three seconds and has five to obey it.
inline constexpr Millis kClosedZoneGrace = 1500;

// Closes `zone`, or confirms its closing. Returns whether it was open.
bool close_zone(ClosedZones& closed, const std::string& zone,
                const StoreRevision& revision, Millis now);

// Opens `zone`, unless its closing may only have been lost with a restoration
// of the store. Returns the closing that has ended, none if it goes on or the
// zone was open.
std::optional<ZoneClosing> open_zone(ClosedZones& closed,
                                     const std::string& zone,
                                     const StoreRevision& revision, Millis now);

// Opens the zones whose closings have not been written again after a
// restoration of the store. Returns these closings.
ClosedZones open_missing_zones(ClosedZones& closed, Millis now);

}  // namespace peridotreach
