#pragma once

// Conversions between the reducers' values and the messages on the wire.

#include <cstdint>
#include <string>
#include <vector>

#include "libperidotreach/dispatch_event.h"
#include "libperidotreach/entry_effect.h"
#include "libperidotreach/fleet_view.h"
#include "libperidotreach/queued_request.h"
#include "libperidotreach/refusal_ledger.h"
#include "runtime/name_book.h"

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

// Writes a waiting request; `now` turns its time of arrival into a wait.
void to_wire(const QueuedRequest& item, Millis now, proto::QueueItem& wire);

// Reads a waiting request of `vm` and `incarnation`, received at `now`.
QueuedRequest from_wire(const proto::QueueItem& wire, const NameBook& names,
                        const std::string& vm, std::uint64_t incarnation,
                        Millis now);

void to_wire(const RunProgress& progress, Millis now, proto::Progress& wire);

// Reads an entry's report into the dispatch reducer's event. Items with names
// that are not known here are left out; `unknown` tells whether there were any.
EntryReported report_from(const proto::Envelope& envelope,
                          const NameBook& names, Millis now, bool& unknown);

void to_wire(const VmInfo& info, proto::VmRecord& wire);
VmInfo from_wire(const proto::VmRecord& wire);

void to_wire(const HandOverSessions& hand, proto::SessionHandOver& wire);
SessionsReceived sessions_from(const proto::SessionHandOver& wire,
                               const std::string& from, Millis now);

// Writes and reads one page of the refusal ledger.
void to_wire(const RefusalBucket& page,
             const std::map<RefusalLabels, std::uint64_t>& counts,
             proto::RefusalMinute& wire);
void merge_wire(const proto::RefusalMinute& wire, RefusalLedger& ledger);

}  // namespace peridotreach
