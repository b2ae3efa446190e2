#include "tests/routing/flood_simulation.h"

#include <algorithm>
#include <cmath>

#include "libperidotreach/routing/placement_queue.h"

namespace peridotreach::samples {
namespace {

constexpr Millis kTick = 40;
constexpr Millis kMsPerToken = 10;
constexpr double kPrefillTokensPerMs = 7;
constexpr double kTokensPerEventGroup = 16;
constexpr double kMaxOutput = 1000;
constexpr Millis kTimeToFirstEvent = 600;
// Callers wait for four times the objective; processes give up earlier.
constexpr double kCallerPatience = 4.0;
constexpr double kProcessPatience = 3.6;
constexpr std::size_t kEnginesPerCell = 3;
constexpr double kSlow = 1.67;
constexpr double kFast = 0.63;

std::string zone_name(std::size_t cell) {
  return std::string(1, static_cast<char>('a' + cell));
}

}  // namespace

struct FloodSimulation::Cell {
  RouterHarness router;
};

FloodSimulation::FloodSimulation(std::vector<GenerationKind> kinds,
                                 std::size_t cells)
    : kinds_(std::move(kinds)) {
  for (std::size_t i = 0; i < cells; ++i) {
    cells_.push_back(std::make_shared<Cell>());
    RouterHarness& router = cells_.back()->router;
    router.state.config.zone = zone_name(i);
    router.state.config.vm = "coordinator-" + zone_name(i);
    Manifest manifest = sample_manifest(2);
    manifest.routes.front().first_byte_slo =
        std::min_element(kinds_.begin(), kinds_.end(),
                         [](const auto& left, const auto& right) {
                           return left.objective < right.objective;
                         })
            ->objective;
    router.apply(ManifestReceived{manifest, {1, 1}, "store"});
    for (const char* id : {"e1", "e2", "e3"})
      router.apply(EndpointUnlisted{id});
    for (std::size_t zone = 0; zone < cells; ++zone) {
      for (std::size_t engine = 0; engine < kEnginesPerCell; ++engine) {
        router.apply(EndpointListed{
            sample_endpoint(zone_name(zone) + std::to_string(engine), "engines",
                            zone_name(zone))});
      }
    }
  }
}

void FloodSimulation::make_uneven(Millis report_until) {
  speeds_reported_until_ = report_until;
  for (std::size_t cell = 0; cell < cells_.size(); ++cell) {
    slowness_[zone_name(cell) + "0"] = kSlow;
    slowness_[zone_name(cell) + "1"] = 1;
    slowness_[zone_name(cell) + "2"] = kFast;
  }
}

double FloodSimulation::slowness_of(const std::string& endpoint) const {
  const auto found = slowness_.find(endpoint);
  return found == slowness_.end() ? 1 : found->second;
}

void FloodSimulation::play(const std::vector<Arrivals>& arrivals,
                           Millis duration) {
  for (Millis at = 0; at < duration; at += kTick) {
    now_ = cells_.front()->router.now + kTick;
    for (const Arrivals& arriving : arrivals) arrive(arriving, at);
    report_usage();
    for (std::size_t i = 0; i < cells_.size(); ++i)
      apply(i, cells_[i]->router.advance(kTick));
    for (auto& [number, request] : requests_) ask(number, request);
  }
}

void FloodSimulation::arrive(const Arrivals& arrivals, Millis at) {
  if (at < arrivals.from || at >= arrivals.until) return;
  const GenerationKind& kind = kinds_[arrivals.kind];
  std::poisson_distribution<int> count(arrivals.per_s * kTick / kSecond);
  std::lognormal_distribution<double> output(std::log(kind.output),
                                             kind.spread);
  for (int i = count(random_); i > 0; --i) {
    SimulatedRequest request;
    request.kind = arrivals.kind;
    request.cell = arrivals.cell;
    request.arrived_at = now_;
    request.output = static_cast<std::uint32_t>(
        std::clamp(output(random_), 4.0, kMaxOutput));
    requests_[next_request_++] = request;
  }
}

// Reports what runs as the digests of processes and relays do.
void FloodSimulation::report_usage() {
  std::vector<std::map<std::string, EndpointUsage>> usage(cells_.size());
  std::map<std::string, double> tokens;
  for (const auto& [number, request] : requests_) {
    if (request.placed_at == 0 || request.ends_at <= now_) continue;
    const GenerationKind& kind = kinds_[request.kind];
    EndpointUsage& sum = usage[request.cell][request.endpoint];
    sum.endpoint = request.endpoint;
    sum.running_requests += 1;
    sum.projected_tokens += kind.prompt + request.output;
    if (request.first_event_at > now_)
      sum.pending_prefill_tokens += kind.prompt;
    tokens[request.endpoint] += kind.prompt + request.output;
  }
  for (const auto& [id, held] : tokens)
    highest_memory_share_ =
        std::max(highest_memory_share_, held / kSimulatedEngineTokens);
  for (std::size_t to = 0; to < cells_.size(); ++to) {
    RouterHarness& router = cells_[to]->router;
    for (std::size_t from = 0; from < cells_.size(); ++from) {
      PeerReportReceived report;
      report.peer = from == to ? "members" : "zone/" + zone_name(from);
      // So many that each zone is a cell of its own.
      if (cells_.size() > 1) report.processes = 20;
      for (const auto& [id, sum] : usage[from])
        report.endpoint_usage.push_back(sum);
      for (const auto& [id, slowness] : slowness_) {
        if (router.now >= speeds_reported_until_) break;
        const double group = slowness * kMsPerToken * kTokensPerEventGroup;
        report.speeds.push_back({id, {static_cast<std::uint32_t>(group), 0}});
      }
      router.apply(report);
    }
    router.state.reservations.clear();
  }
}

void FloodSimulation::ask(std::uint64_t number, SimulatedRequest& request) {
  if (request.placed_at != 0 || request.caller_left) return;
  const GenerationKind& kind = kinds_[request.kind];
  const auto objective = static_cast<double>(kind.objective);
  if (!request.rejected_at.empty()) {
    if (request.returns_at == 0 || now_ < request.returns_at) return;
  }
  const Millis came_at =
      request.returns_at != 0 ? request.returns_at : request.arrived_at;
  if (now_ > came_at + static_cast<Millis>(kCallerPatience * objective)) {
    request.caller_left = true;
    return;
  }
  const bool is_due = request.asked_at < came_at ||
                      now_ - request.asked_at >= kPlacementRefreshInterval;
  if (!is_due) return;
  request.asked_at = now_;
  PlacementRequirements requirements;
  requirements.service = "engines";
  requirements.projected_tokens = kind.prompt + request.output;
  requirements.prefill_tokens = kind.prompt;
  requirements.rank = kind.rank;
  requirements.zone = zone_name(request.cell);
  requirements.time_until_late =
      std::max<Millis>(0, came_at + kind.objective - kTimeToFirstEvent - now_);
  requirements.is_late = requirements.time_until_late == 0;
  requirements.wait_left = std::max<Millis>(
      1, came_at + static_cast<Millis>(kProcessPatience * objective) - now_);
  apply(request.cell, cells_[request.cell]->router.apply(PlacementRequested{
                          "vm-2", number, requirements, ""}));
}

void FloodSimulation::apply(std::size_t cell,
                            const std::vector<RoutingEffect>& effects) {
  for (const AnswerPlacement& answer : effects_of<AnswerPlacement>(effects)) {
    SimulatedRequest& request = requests_.at(answer.request);
    if (!answer.forwarded_by.empty()) {
      cells_[request.cell]->router.apply(
          ForwardedPlacementGranted{answer.peer, answer.request});
    }
    if (answer.retry_after > 0) reject(request, answer.retry_after);
    if (!answer.endpoint.empty()) start(request, answer.endpoint);
  }
  for (const ForwardPlacement& forward :
       effects_of<ForwardPlacement>(effects)) {
    const auto to = static_cast<std::size_t>(forward.zone.front() - 'a');
    apply(to, cells_[to]->router.apply(PlacementRequested{
                  forward.peer, forward.request, forward.requirements,
                  "coordinator-" + zone_name(cell)}));
  }
}

void FloodSimulation::start(SimulatedRequest& request,
                            const std::string& endpoint) {
  if (request.placed_at != 0 || request.caller_left) return;
  const GenerationKind& kind = kinds_[request.kind];
  request.placed_at = now_;
  request.endpoint = endpoint;
  Millis& free_at = prefill_free_at_[endpoint];
  const double slowness = slowness_of(endpoint);
  free_at = std::max(free_at, now_) +
            static_cast<Millis>(slowness * kind.prompt / kPrefillTokensPerMs);
  request.first_event_at = free_at;
  request.ends_at =
      free_at + static_cast<Millis>(slowness * request.output * kMsPerToken);
}

void FloodSimulation::reject(SimulatedRequest& request, Millis retry_after) {
  if (request.placed_at != 0) return;
  // Callers come back once.
  const bool comes_back = request.rejected_at.empty();
  request.rejected_at.push_back(now_);
  request.returns_at = comes_back ? now_ + retry_after : 0;
}

template <class Predicate>
double FloodSimulation::share(std::size_t kind, int cell,
                              Predicate counts) const {
  double all = 0;
  double counted = 0;
  for (const auto& [number, request] : requests_) {
    const bool is_here =
        cell < 0 || request.cell == static_cast<std::size_t>(cell);
    if (request.kind != kind || !is_here) continue;
    all += 1;
    if (counts(request)) counted += 1;
  }
  return counted / all;
}

double FloodSimulation::share_in_time(std::size_t kind, int cell) const {
  return share(kind, cell, [&](const SimulatedRequest& request) {
    return request.placed_at != 0 &&
           request.first_event_at - request.arrived_at <=
               kinds_[kind].objective;
  });
}

double FloodSimulation::share_served(std::size_t kind, int cell) const {
  return share(kind, cell, [](const SimulatedRequest& request) {
    return request.placed_at != 0;
  });
}

bool FloodSimulation::is_interrupted(const SimulatedRequest& request) const {
  if (slowness_of(request.endpoint) <= 1) return false;
  return std::any_of(requests_.begin(), requests_.end(),
                     [&](const auto& entry) {
                       const SimulatedRequest& other = entry.second;
                       return other.endpoint == request.endpoint &&
                              other.first_event_at > request.first_event_at &&
                              other.placed_at < request.ends_at;
                     });
}

double FloodSimulation::share_uninterrupted(std::size_t kind) const {
  return share(kind, -1, [&](const SimulatedRequest& request) {
    return request.placed_at != 0 && !is_interrupted(request);
  });
}

double FloodSimulation::share_held_to_the_end(std::size_t kind) const {
  return share(kind, -1, [](const SimulatedRequest& request) {
    return request.caller_left;
  });
}

double FloodSimulation::share_rejected_within_objective(
    std::size_t kind) const {
  double rejected = 0;
  double within = 0;
  for (const auto& [number, request] : requests_) {
    if (request.kind != kind || request.rejected_at.empty()) continue;
    rejected += 1;
    const Millis waited = request.rejected_at.front() - request.arrived_at;
    if (waited <= kinds_[kind].objective) within += 1;
  }
  return within / rejected;
}

std::size_t FloodSimulation::served_after_rejection() const {
  return static_cast<std::size_t>(
      std::count_if(requests_.begin(), requests_.end(), [](const auto& entry) {
        return !entry.second.rejected_at.empty() && entry.second.placed_at != 0;
      }));
}

double FloodSimulation::largest_tenth_served(std::size_t kind) const {
  std::vector<const SimulatedRequest*> all;
  for (const auto& [number, request] : requests_) {
    if (request.kind == kind) all.push_back(&request);
  }
  std::sort(all.begin(), all.end(), [](const auto* left, const auto* right) {
    return left->output > right->output;
  });
  const std::size_t tenth = all.size() / 10;
  const auto served = static_cast<double>(std::count_if(
      all.begin(), all.begin() + static_cast<std::ptrdiff_t>(tenth),
      [](const auto* request) { return request->placed_at != 0; }));
  return served / static_cast<double>(tenth) / share_served(kind);
}

}  // namespace peridotreach::samples
