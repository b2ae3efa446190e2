#include "runtime/wire.h"

#include <algorithm>
#include <utility>

#include "fleet.pb.h"

namespace peridotreach {
namespace {

// Highest known enumeration values. Higher values from peers are clamped to
// them, except that an execution status becomes kUnknown.
constexpr std::uint32_t kMaxRefusalKind =
    static_cast<std::uint32_t>(RefusalKind::kStopping);
constexpr std::uint32_t kMaxExecutionStatus =
    static_cast<std::uint32_t>(ExecutionStatus::kExecuted);
constexpr std::uint32_t kMaxRunState =
    static_cast<std::uint32_t>(RunState::kCancelled);

RefusalKind refusal_kind_from(std::uint32_t number) {
  return static_cast<RefusalKind>(std::min(number, kMaxRefusalKind));
}

ExecutionStatus execution_status_from(std::uint32_t number) {
  return number > kMaxExecutionStatus ? ExecutionStatus::kUnknown
                                      : static_cast<ExecutionStatus>(number);
}

Session session_from(const proto::SessionCell& wire, Millis now) {
  Session session;
  session.caller = wire.caller();
  session.evicted_up_to = wire.forgotten();
  session.last_used_at = now;
  for (const proto::CallCell& cell : wire.calls()) {
    CallRecord record;
    record.done = cell.done();
    record.outcome = {execution_status_from(cell.ran()),
                      refusal_kind_from(cell.kind()), cell.status(),
                      cell.content_type(), cell.body()};
    session.calls.emplace(cell.number(), std::move(record));
  }
  return session;
}

void session_to_wire(std::uint64_t number, const Session& session,
                     proto::SessionCell& wire) {
  wire.set_session(number);
  wire.set_caller(session.caller);
  wire.set_forgotten(session.evicted_up_to);
  for (const auto& [call, record] : session.calls) {
    proto::CallCell* cell = wire.add_calls();
    cell->set_number(call);
    cell->set_done(record.done);
    cell->set_ran(static_cast<std::uint32_t>(record.outcome.ran));
    cell->set_kind(static_cast<std::uint32_t>(record.outcome.kind));
    cell->set_status(record.outcome.status);
    cell->set_content_type(record.outcome.content_type);
    cell->set_body(record.outcome.body);
  }
}

// Returns whether the names of cell, model, caller and rank were all known.
bool is_resolved(const QueuedRequest& item) {
  return !item.cell.empty() && !item.model.empty() && !item.caller.empty() &&
         !item.rank.empty();
}

// Same for progress. A request that was started on a credit has neither cell
// nor model.
bool is_resolved(const proto::Progress& wire, const RunProgress& progress) {
  if (!wire.has_item()) return true;
  return !progress.endpoint.empty() && !progress.item.caller.empty() &&
         !progress.item.rank.empty();
}

}  // namespace

void to_wire(const QueuedRequest& item, Millis now, proto::QueueItem& wire) {
  wire.set_request(item.key.request);
  wire.set_cell(name_hash(item.cell));
  wire.set_model(name_hash(item.model));
  wire.set_caller(name_hash(item.caller));
  wire.set_rank(name_hash(item.rank));
  wire.set_prompt_tokens(item.prompt_tokens);
  wire.set_waited_ms(
      static_cast<std::uint32_t>(std::max<Millis>(0, now - item.queued_at)));
  wire.set_fingerprint(item.fingerprint);
  for (const std::uint64_t prefix : item.prefix_hashes) {
    wire.add_prefixes(static_cast<std::uint32_t>(prefix));
  }
  for (const std::string& id : item.excluded_endpoints) {
    wire.add_excluded(name_hash(id));
  }
}

QueuedRequest from_wire(const proto::QueueItem& wire, const NameTable& names,
                        const std::string& vm, std::uint64_t incarnation,
                        Millis now) {
  QueuedRequest item;
  item.key = {vm, incarnation, wire.request()};
  item.cell = names.name(wire.cell());
  item.model = names.name(wire.model());
  item.caller = names.name(wire.caller());
  item.rank = names.name(wire.rank());
  item.prompt_tokens = wire.prompt_tokens();
  item.queued_at = now - wire.waited_ms();
  item.fingerprint = wire.fingerprint();
  item.prefix_hashes.assign(wire.prefixes().begin(), wire.prefixes().end());
  for (const std::uint32_t hash : wire.excluded()) {
    item.excluded_endpoints.push_back(names.name(hash));
  }
  return item;
}

void to_wire(const RunProgress& progress, Millis now, proto::Progress& wire) {
  wire.set_request(progress.item.key.request);
  wire.set_endpoint(name_hash(progress.endpoint));
  wire.set_produced(progress.produced_tokens);
  wire.set_state(static_cast<std::uint32_t>(progress.state));
  to_wire(progress.item, now, *wire.mutable_item());
}

EntryReported entry_report_from_wire(const proto::Envelope& envelope,
                                     const NameTable& names, Millis now,
                                     bool& unknown) {
  const proto::EntryReport& report = envelope.report();
  EntryReported event;
  event.vm = envelope.vm();
  event.incarnation = envelope.incarnation();
  event.full = report.full();
  for (const proto::QueueItem& wire : report.enqueue()) {
    QueuedRequest item =
        from_wire(wire, names, event.vm, event.incarnation, now);
    const bool known = is_resolved(item);
    unknown = unknown || !known;
    if (known) event.enqueue.push_back(std::move(item));
  }
  for (const proto::Progress& wire : report.progress()) {
    RunProgress progress;
    progress.item =
        from_wire(wire.item(), names, event.vm, event.incarnation, now);
    progress.item.key.request = wire.request();
    progress.endpoint = names.name(wire.endpoint());
    progress.produced_tokens = wire.produced();
    progress.state =
        static_cast<RunState>(std::min(wire.state(), kMaxRunState));
    const bool known = is_resolved(wire, progress);
    unknown = unknown || !known;
    if (known) event.progress.push_back(std::move(progress));
  }
  event.dropped.assign(report.dropped().begin(), report.dropped().end());
  return event;
}

void to_wire(const VmInfo& info, proto::VmRecord& wire) {
  wire.set_vm(info.vm);
  wire.set_zone(info.zone);
  wire.set_region(info.region);
  wire.set_address(info.address);
  wire.set_http_port(info.http_port);
  wire.set_entry_port(info.entry_port);
  wire.set_dispatch_port(info.dispatch_port);
  wire.set_incarnation(info.incarnation);
  wire.set_leaving(info.leaving);
}

VmInfo from_wire(const proto::VmRecord& wire) {
  VmInfo info;
  info.vm = wire.vm();
  info.zone = wire.zone();
  info.region = wire.region();
  info.address = wire.address();
  info.http_port = wire.http_port();
  info.entry_port = wire.entry_port();
  info.dispatch_port = wire.dispatch_port();
  info.incarnation = wire.incarnation();
  info.leaving = wire.leaving();
  return info;
}

void to_wire(const HandOverSessions& hand, proto::SessionHandOver& wire) {
  wire.set_home(hand.home.vm);
  wire.set_incarnation(hand.home.incarnation);
  for (std::size_t i = 0; i < hand.session_numbers.size(); ++i) {
    session_to_wire(hand.session_numbers[i], hand.sessions[i],
                    *wire.add_sessions());
  }
}

SessionsReceived sessions_from_wire(const proto::SessionHandOver& wire,
                                    const std::string& from, Millis now) {
  SessionsReceived event;
  event.from = from;
  event.home = wire.home();
  event.incarnation = wire.incarnation();
  for (const proto::SessionCell& cell : wire.sessions()) {
    event.session_numbers.push_back(cell.session());
    event.sessions.push_back(session_from(cell, now));
  }
  return event;
}

void to_wire(const RefusalBucket& bucket,
             const std::map<RefusalLabels, std::uint64_t>& counts,
             proto::RefusalMinute& wire) {
  wire.set_vm(bucket.vm);
  wire.set_incarnation(bucket.incarnation);
  wire.set_minute(bucket.minute);
  for (const auto& [labels, count] : counts) {
    proto::RefusalCell* cell = wire.add_cells();
    cell->set_minute(bucket.minute);
    cell->set_caller(labels.caller);
    cell->set_rank(labels.rank);
    cell->set_service(labels.service);
    cell->set_kind(refusal_name(labels.kind));
    cell->set_count(count);
  }
}

void merge_refusals_from_wire(const proto::RefusalMinute& wire,
                              RefusalLedger& ledger) {
  std::map<RefusalLabels, std::uint64_t> counts;
  for (const proto::RefusalCell& cell : wire.cells()) {
    for (std::uint32_t kind = 0; kind <= kMaxRefusalKind; ++kind) {
      if (cell.kind() != refusal_name(refusal_kind_from(kind))) continue;
      counts[{cell.caller(), cell.rank(), cell.service(),
              refusal_kind_from(kind)}] = cell.count();
    }
  }
  merge_refusal_bucket(ledger, {wire.vm(), wire.incarnation(), wire.minute()},
                       counts);
}

}  // namespace peridotreach
