#include "libperidotreach/routing/closed_zones.h"

namespace peridotreach {

bool close_zone(ClosedZones& closed, const std::string& zone,
                const StoreRevision& revision, Millis now) {
  const auto [entry, is_new] = closed.try_emplace(zone);
  ZoneClosing& closing = entry->second;
  closing.revision = revision;
  closing.missing_since = 0;
  if (is_new) closing.closed_at = now;
  return is_new;
}

std::optional<ZoneClosing> open_zone(ClosedZones& closed,
                                     const std::string& zone,
                                     const StoreRevision& revision,
                                     Millis now) {
  const auto found = closed.find(zone);
  if (found == closed.end()) return std::nullopt;
  ZoneClosing& closing = found->second;
  if (revision.era > closing.revision.era) {
    if (closing.missing_since == 0) closing.missing_since = now;
    return std::nullopt;
  }
  return closed.extract(found).mapped();
}

ClosedZones open_missing_zones(ClosedZones& closed, Millis now) {
  ClosedZones opened;
  for (const auto& [zone, closing] : closed) {
    if (closing.missing_since == 0) continue;
    if (now - closing.missing_since < kClosingReturnTimeout) continue;
    opened.emplace(zone, closing);
  }
  for (const auto& [zone, closing] : opened) closed.erase(zone);
  return opened;
}

}  // namespace peridotreach
