#include "peridot-router/digest_codec.h"

#include <algorithm>

#include "fleet.pb.h"
#include "peridot-router/endpoint_limit_cell.h"
#include "peridot-router/endpoint_speed_cell.h"
#include "peridot-router/prompt_crash_cell.h"

namespace peridotreach {
namespace {

// Transport failures are sent in hundredths of a failure.
constexpr double kFailuresScale = 100.0;

void encode_record(const PeerRecord& record, proto::PeerCell& cell) {
  cell.set_vm(record.vm);
  cell.set_zone(record.zone);
  cell.set_link(record.link_address);
  cell.set_callers(record.caller_address);
  cell.set_incarnation(record.incarnation);
  cell.set_processor_share(record.processor_share);
  cell.set_tunnel_port(record.tunnel_port);
}

PeerRecord decode_record(const proto::PeerCell& cell) {
  return {cell.vm(),
          cell.zone(),
          cell.link(),
          cell.callers(),
          cell.incarnation(),
          cell.processor_share(),
          static_cast<std::uint16_t>(cell.tunnel_port())};
}

void encode_member(const ZoneMember& member, proto::PeerCell& cell) {
  encode_record(member.record, cell);
  cell.set_ready(member.ready);
}

ZoneMember decode_member(const proto::PeerCell& cell) {
  return {decode_record(cell), cell.ready()};
}

std::uint32_t age_of(Millis at, Millis now) {
  return static_cast<std::uint32_t>(std::max<Millis>(0, now - at));
}

void encode_report(const PeerReportReceived& report, Millis now,
                   proto::RoutingDigest& message) {
  message.set_processes(report.processes);
  for (const EndpointUsage& usage : report.endpoint_usage) {
    proto::EndpointUseCell& cell = *message.add_uses();
    cell.set_endpoint(usage.endpoint);
    cell.set_running(usage.running_requests);
    cell.set_tokens(usage.projected_tokens);
    cell.set_unread_tokens(usage.pending_prefill_tokens);
    cell.set_copies(usage.incoming_copies);
    cell.set_breaks(
        static_cast<std::uint32_t>(usage.transport_failures * kFailuresScale));
  }
  for (const ServiceRetryCounts& counts : report.retry_counts) {
    proto::RepeatCell& cell = *message.add_repeats();
    cell.set_service(counts.service);
    cell.set_requests(counts.requests);
    cell.set_repeats(counts.retries);
  }
  for (const FinishedOutput& output : report.finished_outputs) {
    proto::FinishedCell& cell = *message.add_finished();
    cell.set_route(output.route);
    cell.set_generations(output.generations);
    cell.set_tokens(output.tokens);
  }
  for (const auto& [fingerprint, crashes] : report.suspects) {
    proto::SuspectCell& cell = *message.add_suspects();
    cell.set_fingerprint(fingerprint);
    cell.set_deaths(crashes);
  }
  for (const ObservedLimit& observed : report.limits)
    encode_limit(observed, now, *message.add_limits());
  encode_speeds(report.speeds, message);
}

PeerReportReceived decode_report(const proto::RoutingDigest& message,
                                 Millis now) {
  PeerReportReceived report;
  // Earlier versions send no number of processes.
  if (message.processes() > 0) report.processes = message.processes();
  for (const proto::EndpointUseCell& cell : message.uses()) {
    report.endpoint_usage.push_back(
        {cell.endpoint(), cell.running(), cell.tokens(), cell.unread_tokens(),
         cell.copies(), cell.breaks() / kFailuresScale});
  }
  for (const proto::RepeatCell& cell : message.repeats()) {
    report.retry_counts.push_back(
        {cell.service(), cell.requests(), cell.repeats()});
  }
  for (const proto::FinishedCell& cell : message.finished()) {
    report.finished_outputs.push_back(
        {cell.route(), cell.generations(), cell.tokens()});
  }
  for (const proto::SuspectCell& cell : message.suspects())
    report.suspects.emplace_back(cell.fingerprint(), cell.deaths());
  for (const proto::EndpointLimitCell& cell : message.limits())
    report.limits.push_back(decode_limit(cell, now));
  report.speeds = decode_speeds(message);
  return report;
}

void encode_prompts(const PromptReport& prompts, Millis now,
                    proto::RoutingDigest& message) {
  for (const PromptCrash& crash : prompts.crashes)
    encode_crash(crash, now, *message.add_prompt_crashes());
  for (const auto& [part, at] : prompts.sound_at) {
    proto::SoundPartCell& cell = *message.add_sound_parts();
    cell.set_part(part);
    cell.set_age_ms(age_of(at, now));
  }
}

PromptReport decode_prompts(const proto::RoutingDigest& message, Millis now) {
  PromptReport prompts;
  for (const proto::PromptCrashCell& cell : message.prompt_crashes())
    prompts.crashes.push_back(decode_crash(cell, now));
  for (const proto::SoundPartCell& cell : message.sound_parts())
    prompts.sound_at[cell.part()] = now - cell.age_ms();
  return prompts;
}

}  // namespace

void encode_digest(const PeerDigest& digest, Millis now,
                   proto::RoutingDigest& message) {
  encode_record(digest.self, *message.mutable_self());
  message.set_ready(digest.status.ready);
  message.set_stopping(digest.status.stopping);
  message.set_reads_store(digest.status.store_reachable);
  message.set_manifest_revision(digest.manifest_revision.number);
  message.set_manifest_era(digest.manifest_revision.era);
  message.set_endpoints_revision(digest.endpoints_revision.number);
  message.set_endpoints_era(digest.endpoints_revision.era);
  message.set_scope(static_cast<proto::RoutingDigest::Scope>(digest.scope));
  message.set_answer(static_cast<proto::RoutingDigest::Answer>(digest.answer));
  encode_report(digest.report, now, message);
  encode_prompts(digest.prompts, now, message);
  for (const TableConfirmation& confirmation : digest.confirmations) {
    proto::ConfirmationCell& cell = *message.add_confirmations();
    cell.set_vm(confirmation.vm);
    cell.set_age_ms(age_of(confirmation.at, now));
  }
  for (const ZoneMember& peer : digest.known_peers)
    encode_member(peer, *message.add_peers());
  for (const ZoneList& list : digest.zones) {
    proto::ZoneMembersCell& cell = *message.add_zones();
    cell.set_zone(list.members.zone);
    cell.set_hash(list.members.hash);
    cell.set_is_complete(list.is_complete);
    if (!list.is_complete) continue;
    for (const ZoneMember& member : list.members.members)
      encode_member(member, *cell.add_members());
  }
}

PeerDigest decode_digest(const proto::RoutingDigest& message, Millis now) {
  PeerDigest digest;
  digest.self = decode_record(message.self());
  digest.status = {message.ready(), message.stopping(), message.reads_store()};
  digest.manifest_revision = {message.manifest_era(),
                              message.manifest_revision()};
  digest.endpoints_revision = {message.endpoints_era(),
                               message.endpoints_revision()};
  digest.scope = static_cast<ReportScope>(message.scope());
  digest.answer = static_cast<DigestAnswer>(message.answer());
  digest.report = decode_report(message, now);
  digest.prompts = decode_prompts(message, now);
  for (const proto::ConfirmationCell& cell : message.confirmations())
    digest.confirmations.push_back({cell.vm(), now - cell.age_ms()});
  for (const proto::PeerCell& cell : message.peers())
    digest.known_peers.push_back(decode_member(cell));
  for (const proto::ZoneMembersCell& cell : message.zones()) {
    ZoneList list;
    list.members.zone = cell.zone();
    list.members.hash = cell.hash();
    list.is_complete = cell.is_complete();
    for (const proto::PeerCell& member : cell.members())
      list.members.members.push_back(decode_member(member));
    digest.zones.push_back(std::move(list));
  }
  return digest;
}

}  // namespace peridotreach
