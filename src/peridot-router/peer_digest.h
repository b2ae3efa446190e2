#pragma once

// What a router process reports to its peers.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/routing/fleet_reports.h"
#include "libperidotreach/routing/peer_view.h"
#include "libperidotreach/routing/routing_event.h"
#include "libperidotreach/routing/store_revision.h"
#include "libperidotreach/routing/table_freshness.h"

namespace peridotreach {

// The answer that the sender of a digest waits for.
enum class DigestAnswer {
  kNone,
  // Any digest, which shows that the receiver is alive.
  kAcknowledgement,
  // The state of the fleet, from a relay.
  kState,
};

// The members of a zone, or only their hash if the receiver holds the list.
struct ZoneList {
  ZoneMembers members;
  bool is_complete = false;

  bool operator==(const ZoneList&) const = default;
};

// One digest; replaces what the sender reported before.
struct PeerDigest {
  PeerRecord self;
  PeerStatus status;
  StoreRevision manifest_revision;
  StoreRevision endpoints_revision;
  ReportScope scope = ReportScope::kProcess;
  DigestAnswer answer = DigestAnswer::kNone;
  // The figures; `peer` is not sent.
  PeerReportReceived report;
  PromptReport prompts;
  std::vector<TableConfirmation> confirmations;
  // Live peers, for a process that does not know the fleet yet.
  std::vector<ZoneMember> known_peers;
  std::vector<ZoneList> zones;

  bool operator==(const PeerDigest&) const = default;
};

}  // namespace peridotreach
