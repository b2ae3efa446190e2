#include "tests/routing/limit_simulation.h"

#include <algorithm>
#include <utility>

#include "tests/routing/router_harness.h"

namespace peridotreach::samples {
namespace {

constexpr Millis kLinkDelay = 2;
// How long an endpoint that has failed is gone.
constexpr Millis kFailureTime = 3 * kSecond;
constexpr Millis kStep = 5;
constexpr Millis kTickInterval = 40;
constexpr Millis kReportInterval = 200;
constexpr Millis kWindow = 4 * kSecond;
constexpr Millis kToldBefore = 500;
// Time from the naming of a limit, or from a disturbance of a process, from
// which the limit has to hold.
constexpr Millis kGracePeriod = 3 * kSecond;

}  // namespace

LimitSimulation::LimitSimulation(std::size_t vms, std::size_t endpoints,
                                 std::optional<double> requests_per_second,
                                 double cold_requests_per_second)
    : rate_(requests_per_second),
      cold_rate_(cold_requests_per_second),
      endpoints_(endpoints),
      processes_(vms) {
  for (std::size_t i = 0; i < vms; ++i) {
    processes_[i].vm = "vm-" + std::to_string(i);
    start(processes_[i]);
  }
}

void LimitSimulation::start(Process& process) {
  process.view = {};
  process.told_at.clear();
  process.arrived_at.clear();
  process.missed.clear();
  process.state = initial_routing_state({process.vm, "a", RetryBudgetLimits()});
  Manifest manifest = sample_manifest(1);
  manifest.services["plain"].cold_start = kSecond;
  manifest.services["plain"].cold_requests_per_second = cold_rate_;
  apply(process, ManifestReceived{manifest, {1, 1}, "store"});
  for (std::size_t i = 0; i < endpoints_; ++i) {
    list(process, i);
  }
}

void LimitSimulation::list(Process& process, std::size_t endpoint) {
  EndpointEntry entry =
      sample_endpoint("p" + std::to_string(endpoint), "plain");
  entry.sequence = static_cast<std::uint64_t>(now_);
  if (capacity_) entry.slots = static_cast<std::uint32_t>(capacity_->slots);
  entry.remaining_warm_up = std::max<Millis>(0, cold_until_[endpoint] - now_);
  apply(process, EndpointListed{entry});
}

void LimitSimulation::apply(Process& process,
                            decltype(RoutingEvent::body) body) {
  RoutingEvent event;
  event.at = now_;
  random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
  event.random = random_ >> 16U;
  event.body = std::move(body);
  RoutingStep step = reduce(std::move(process.state), event);
  process.state = std::move(step.state);
  for (const RoutingEffect& effect : step.effects) perform(process, effect);
}

// Runs `action` at a process unless it has restarted by then; once it resumes
// if it is paused.
void LimitSimulation::later(Millis delay, Process& process,
                            std::function<void()> action) {
  const std::uint64_t incarnation = process.incarnation;
  scheduled_.emplace(now_ + delay,
                     [&process, incarnation, action = std::move(action)] {
                       if (process.incarnation != incarnation) return;
                       if (process.is_paused) {
                         process.missed.push_back(action);
                       } else {
                         action();
                       }
                     });
}

void LimitSimulation::send(Process& from, const std::string& to,
                           std::function<void()> deliver, Millis delay) {
  Process& receiver = find(to);
  if (from.is_cut_off || receiver.is_cut_off) return;
  later(delay, receiver, std::move(deliver));
}

LimitSimulation::Process& LimitSimulation::find(const std::string& vm) {
  return *std::find_if(processes_.begin(), processes_.end(),
                       [&](const Process& other) { return other.vm == vm; });
}

void LimitSimulation::report(Process& process) {
  PeerReportReceived message;
  message.peer = process.vm;
  message.limits = reported_limits(process.state);
  const PeerRecord record{process.vm, "a", "", "", process.incarnation, 0};
  for (Process& peer : processes_) {
    if (&peer == &process) continue;
    send(
        process, peer.vm,
        [this, &peer, message, record] {
          update_peer_status(peer.view, record, {true, false, true}, now_);
          apply(peer, message);
        },
        kLinkDelay);
  }
}

std::size_t LimitSimulation::coordinator(std::size_t endpoint,
                                         std::size_t vm) const {
  const std::string name =
      copy_lease_coordinator(processes_[vm].view, processes_[vm].vm,
                             "p" + std::to_string(endpoint), now_);
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    if (processes_[i].vm == name) return i;
  }
  return vm;
}

void LimitSimulation::request_permits(Process& process,
                                      const RequestPermits& effect) {
  const std::string name =
      copy_lease_coordinator(process.view, process.vm, effect.endpoint, now_);
  Process& receiver = find(name);
  const PermitsRequested request{process.vm,          effect.endpoint,
                                 effect.count,        effect.limit,
                                 effect.requested_at, 1,
                                 effect.rejections,   effect.held_slots};
  const auto handle = [this, &receiver, request] {
    PermitsRequested received = request;
    received.live_share = live_share(receiver.view, now_);
    apply(receiver, received);
  };
  if (&receiver == &process) {
    later(0, process, handle);
  } else {
    send(process, name, handle, kLinkDelay);
  }
}

void LimitSimulation::answer_permits(Process& process,
                                     const AnswerPermits& effect) {
  Process& receiver = find(effect.peer);
  const PermitsAnswered answer{effect.endpoint, effect.grant,
                               effect.requested_at};
  const auto handle = [this, &receiver, answer] { apply(receiver, answer); };
  if (&receiver == &process) {
    later(0, process, handle);
  } else {
    send(process, effect.peer, handle, kLinkDelay);
  }
}

bool LimitSimulation::counts(const Process& process,
                             const std::string& endpoint) const {
  const auto told = process.told_at.find(endpoint);
  const bool is_told =
      told != process.told_at.end() && now_ - told->second >= kToldBefore;
  const bool is_disturbed =
      process.is_cut_off || process.is_paused ||
      (process.disturbed_at >= 0 && now_ - process.disturbed_at < kGracePeriod);
  return is_told && !is_disturbed;
}

void LimitSimulation::start_attempt(Process& process,
                                    const StartAttempt& attempt) {
  arrivals_.push_back(
      {now_, process.vm, attempt.endpoint, counts(process, attempt.endpoint)});
  const auto end = [this, &process, attempt](AttemptOutcome outcome,
                                             unsigned status, Millis delay) {
    later(delay, process, [this, &process, attempt, outcome, status] {
      finish(process, attempt, outcome, status);
    });
  };
  if (!capacity_) {
    end(AttemptOutcome::kCompleteResponse, 200, service_time_);
    return;
  }
  BoundedEndpoint& endpoint = bounded_[attempt.endpoint];
  const std::uint64_t start = endpoint.start;
  const auto end_call = [&endpoint, start, end] {
    const bool has_failed = endpoint.start != start;
    end(has_failed ? AttemptOutcome::kBroken
                   : AttemptOutcome::kCompleteResponse,
        has_failed ? 0 : 200, kLinkDelay);
  };
  if (now_ < endpoint.fails_until) {
    end(AttemptOutcome::kNotSent, 0, kLinkDelay);
  } else if (endpoint.running < capacity_->slots) {
    run_call(attempt.endpoint, end_call);
  } else if (endpoint.waiting.size() < capacity_->waiting) {
    endpoint.waiting.push_back(end_call);
  } else {
    reject_call(attempt.endpoint);
    end(AttemptOutcome::kNotRun, 503, kLinkDelay);
  }
}

void LimitSimulation::run_call(const std::string& id,
                               std::function<void()> end_call) {
  BoundedEndpoint& endpoint = bounded_[id];
  endpoint.running += 1;
  const std::uint64_t start = endpoint.start;
  const auto end = [this, id, start, end_call = std::move(end_call)] {
    end_call();
    BoundedEndpoint& ended = bounded_[id];
    if (ended.start != start) return;
    ended.running -= 1;
    if (ended.waiting.empty()) return;
    std::function<void()> next = std::move(ended.waiting.front());
    ended.waiting.pop_front();
    run_call(id, std::move(next));
  };
  scheduled_.emplace(now_ + service_time_, end);
}

void LimitSimulation::reject_call(const std::string& id) {
  BoundedEndpoint& endpoint = bounded_[id];
  std::deque<Millis>& rejected_at = endpoint.rejected_at;
  rejected_at.push_back(now_);
  while (now_ - rejected_at.front() >= kSecond) rejected_at.pop_front();
  if (rejected_at.size() <= capacity_->max_rejections) return;
  failures_ += 1;
  endpoint.start += 1;
  endpoint.running = 0;
  rejected_at.clear();
  endpoint.fails_until = now_ + kFailureTime;
  for (const auto& end_call : std::exchange(endpoint.waiting, {})) end_call();
}

void LimitSimulation::finish(Process& process, const StartAttempt& attempt,
                             AttemptOutcome outcome, unsigned status) {
  if (status != 0) {
    process.told_at.try_emplace(attempt.endpoint, now_);
    EndpointNotice notice;
    notice.requests_per_second = rate_;
    if (capacity_) {
      notice.rejection_limit = static_cast<double>(capacity_->max_rejections);
    }
    apply(process, EndpointAnswered{attempt.endpoint, notice});
  }
  apply(process,
        AttemptEnded{attempt.request, attempt.attempt, outcome, status});
}

void LimitSimulation::bound_capacity(SimulatedCapacity capacity,
                                     Millis service_time) {
  capacity_ = capacity;
  service_time_ = service_time;
  for (Process& process : processes_) {
    for (std::size_t i = 0; i < endpoints_; ++i) list(process, i);
  }
}

void LimitSimulation::perform(Process& process, const RoutingEffect& effect) {
  if (const auto* request = std::get_if<RequestPermits>(&effect))
    request_permits(process, *request);
  if (const auto* answer = std::get_if<AnswerPermits>(&effect))
    answer_permits(process, *answer);
  if (const auto* attempt = std::get_if<StartAttempt>(&effect))
    start_attempt(process, *attempt);
  if (std::holds_alternative<DeliverResponse>(effect)) outcomes_.served += 1;
  if (const auto* rejection = std::get_if<SendLocalResponse>(&effect)) {
    outcomes_.rejected += 1;
    outcomes_.longest_wait_of_rejected =
        std::max(outcomes_.longest_wait_of_rejected,
                 now_ - process.arrived_at[rejection->request]);
  }
}

void LimitSimulation::run(Millis duration, double calls_per_second) {
  const Millis end = now_ + duration;
  for (; now_ < end; now_ += kStep) {
    while (!scheduled_.empty() && scheduled_.begin()->first <= now_) {
      const auto action = scheduled_.extract(scheduled_.begin());
      action.mapped()();
    }
    calls_due_ += calls_per_second * static_cast<double>(kStep) / kSecond;
    for (; calls_due_ >= 1; calls_due_ -= 1) {
      Process& process = processes_[next_request_ % processes_.size()];
      RequestArrived call;
      call.request = next_request_++;
      call.caller_request.id = "id-" + std::to_string(call.request);
      call.caller_request.host = "example.test";
      call.caller_request.path = "/entry/1";
      call.caller_request.api_key = "key-1";
      call.caller_request.fingerprint = call.request;
      process.arrived_at[call.request] = now_;
      later(0, process, [this, &process, call] { apply(process, call); });
    }
    for (Process& process : processes_) {
      if (process.is_paused) continue;
      if (now_ % kTickInterval == 0) apply(process, RoutingTicked{});
      if (now_ % kReportInterval == 0) report(process);
    }
  }
}

void LimitSimulation::list_cold(std::size_t endpoint, Millis remaining) {
  cold_until_[endpoint] = now_ + remaining;
  for (Process& process : processes_) list(process, endpoint);
}

void LimitSimulation::cut_off(std::size_t vm) {
  processes_[vm].is_cut_off = true;
}

void LimitSimulation::reconnect(std::size_t vm) {
  processes_[vm].is_cut_off = false;
  processes_[vm].disturbed_at = now_;
}

void LimitSimulation::pause(std::size_t vm) { processes_[vm].is_paused = true; }

void LimitSimulation::resume(std::size_t vm) {
  Process& process = processes_[vm];
  process.is_paused = false;
  process.disturbed_at = now_;
  for (const auto& action : std::exchange(process.missed, {})) action();
}

void LimitSimulation::restart(std::size_t vm) {
  Process& process = processes_[vm];
  process.incarnation += 1;
  process.is_paused = false;
  process.disturbed_at = now_;
  start(process);
}

std::size_t LimitSimulation::most_arrivals_in_window() const {
  std::map<std::string, std::deque<Millis>> windows;
  std::size_t most = 0;
  for (const SimulatedArrival& arrival : arrivals_) {
    if (!arrival.counts || arrival.at < started_at_ + kGracePeriod) continue;
    std::deque<Millis>& window = windows[arrival.endpoint];
    window.push_back(arrival.at);
    while (arrival.at - window.front() > kWindow) window.pop_front();
    most = std::max(most, window.size());
  }
  return most;
}

std::size_t LimitSimulation::most_arrivals_in_second(Millis since) const {
  std::map<std::string, std::deque<Millis>> windows;
  std::size_t most = 0;
  for (const SimulatedArrival& arrival : arrivals_) {
    if (arrival.at < since) continue;
    std::deque<Millis>& window = windows[arrival.endpoint];
    window.push_back(arrival.at);
    while (arrival.at - window.front() >= kSecond) window.pop_front();
    most = std::max(most, window.size());
  }
  return most;
}

std::size_t LimitSimulation::arrivals_since(Millis since) const {
  return static_cast<std::size_t>(std::count_if(
      arrivals_.begin(), arrivals_.end(),
      [&](const SimulatedArrival& arrival) { return arrival.at >= since; }));
}

}  // namespace peridotreach::samples
