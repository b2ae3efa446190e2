#include "libperidotreach/routing/table_lag.h"

namespace peridotreach {
namespace {

// Time for which a table may be behind a peer's before it is requested from
// that peer: the change is usually still on its way from the store.
constexpr Millis kTableLagTolerance = 200;

// Minimum interval between requests for the same table. The largest manifests
// take a few hundred milliseconds over a slow link.
constexpr Millis kTableRequestInterval = 600;

// How long a report of a newer copy counts. Live peers repeat it sooner.
constexpr Millis kPeerRevisionLifetime = 2 * kSecond;

}  // namespace

void record_peer_revision(TableLag& lag, const StoreRevision& own_revision,
                          const std::string& peer,
                          const StoreRevision& peer_revision, Millis now) {
  if (peer_revision <= own_revision) return;
  if (lag.peer.empty()) {
    lag.own_revision = own_revision;
    lag.since = now;
  }
  if (peer_revision < lag.peer_revision) return;
  lag.peer = peer;
  lag.peer_revision = peer_revision;
  lag.reported_at = now;
}

std::optional<std::string> take_due_request(TableLag& lag,
                                            const StoreRevision& own_revision,
                                            Millis now) {
  if (lag.peer.empty()) return std::nullopt;
  const bool is_over = lag.peer_revision <= own_revision ||
                       now - lag.reported_at > kPeerRevisionLifetime;
  if (is_over) {
    lag = {};
    return std::nullopt;
  }
  // The table has advanced, so further changes are likely to arrive too.
  if (lag.own_revision != own_revision) {
    lag.own_revision = own_revision;
    lag.since = now;
  }
  // An empty table means that this process has just started: it requests the
  // table without delay.
  if (own_revision != StoreRevision() && now - lag.since < kTableLagTolerance)
    return std::nullopt;
  if (lag.requested_at != 0 && now - lag.requested_at < kTableRequestInterval)
    return std::nullopt;
  lag.requested_at = now;
  return lag.peer;
}

}  // namespace peridotreach
