#include "libperidotreach/routing/cold_phase.h"

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/routing_state.h"

namespace peridotreach {

void observe_start(ColdPhase& phase, Millis now) { phase.started_at = now; }

void suspect_cold(ColdPhase& phase, Millis now) { phase.suspected_since = now; }

void observe_answer(ColdPhase& phase, Millis now) {
  if (phase.suspected_since == 0) return;
  phase.suspected_since = 0;
  phase.started_at = now;
}

void observe_entry(ColdPhase& phase, Millis remaining, bool is_newer,
                   Millis now) {
  phase.entry_until = remaining == 0 ? 0 : now + remaining;
  const Millis delay = remaining == 0 ? kWarmEntryDelay : kColdEntryDelay;
  const bool follows_suspicion = is_newer && phase.suspected_since != 0 &&
                                 now - phase.suspected_since >= delay;
  if (follows_suspicion) phase.suspected_since = 0;
}

bool may_be_cold(const ColdPhase& phase, Millis cold_start, Millis now) {
  if (phase.suspected_since != 0 || phase.entry_until > now) return true;
  return phase.started_at != 0 && now - phase.started_at < cold_start;
}

std::optional<double> cold_rate(const ServiceSpec* service,
                                const EndpointState& endpoint, Millis now) {
  if (service == nullptr || service->cold_requests_per_second <= 0)
    return std::nullopt;
  if (!may_be_cold(endpoint.cold_phase, service->cold_start, now))
    return std::nullopt;
  return service->cold_requests_per_second;
}

std::optional<double> cold_rate(const RoutingState& state,
                                const EndpointState& endpoint) {
  return cold_rate(find_service(state, endpoint.entry.service), endpoint,
                   state.now);
}

}  // namespace peridotreach
