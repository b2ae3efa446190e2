#pragma once

// Conversions between the reducers' types and protobuf messages.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/dispatch_event.h"
#include "libperidotreach/entry_effect.h"
#include "libperidotreach/fleet_view.h"
#include "libperidotreach/queued_request.h"
#include "libperidotreach/refusal_ledger.h"
#include "runtime/name_table.h"

namespace peridotreach {

namespace proto {
class EntryReport;
class Envelope;
class Progress;
class QueueItem;
class RefusalMinute;
class SessionHandOver;
class VmRecord;
}  // namespace proto

// Converts a queued request. Clocks of VMs differ, so the message carries how
// long the request has waited at `now` instead of its time of arrival.
void to_wire(const QueuedRequest& item, Millis now, proto::QueueItem& wire);

// Converts a queued request of the entry `vm` and `incarnation`, received at
// `now`. Names that are not known here are left empty.
QueuedRequest from_wire(const proto::QueueItem& wire, const NameTable& names,
                        const std::string& vm, std::uint64_t incarnation,
                        Millis now);

void to_wire(const RunProgress& progress, Millis now, proto::Progress& wire);

// Converts an entry's report into an event of the dispatch reducer. Leaves out
// items with names that are not known here and sets `unknown` if there are any.
EntryReported entry_report_from_wire(const proto::Envelope& envelope,
                                     const NameTable& names, Millis now,
                                     bool& unknown);

void to_wire(const VmInfo& info, proto::VmRecord& wire);
VmInfo from_wire(const proto::VmRecord& wire);

void to_wire(const HandOverSessions& hand, proto::SessionHandOver& wire);
SessionsReceived sessions_from_wire(const proto::SessionHandOver& wire,
                                    const std::string& from, Millis now);

// Converts the counts of one bucket of the refusal ledger, or merges them into
// `ledger`.
void to_wire(const RefusalBucket& bucket,
             const std::map<RefusalLabels, std::uint64_t>& counts,
             proto::RefusalMinute& wire);
void merge_refusals_from_wire(const proto::RefusalMinute& wire,
                              RefusalLedger& ledger);

}  // namespace peridotreach
