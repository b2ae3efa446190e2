#include "peridot-steward/steward_node.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "fleet.pb.h"
#include "runtime/clock.h"
#include "runtime/json.h"
#include "runtime/log.h"
#include "runtime/node_settings.h"
#include "runtime/store_keys.h"

namespace peridotreach {
namespace {

constexpr Millis kTickInterval = 200;
constexpr Millis kConfigPollInterval = 2 * kSecond;
constexpr Millis kEndpointRequestTimeout = 2 * kSecond;
constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpConflict = 409;

StoreRateLimiter steward_rate_limiter() {
  StoreRateLimiter limiter;
  limiter.calls_per_second = 1;
  limiter.burst_calls = 10;
  limiter.available_calls = 10;
  return limiter;
}

std::vector<std::string> strings_from(const json::array& from) {
  std::vector<std::string> strings;
  for (const json::value& item : from) {
    if (item.is_string()) strings.emplace_back(item.as_string().c_str());
  }
  return strings;
}

}  // namespace

StewardNode::StewardNode(asio::io_context& io, const Settings& settings,
                         HttpTarget store, HttpTarget vm_list)
    : io_(io),
      settings_(settings),
      link_(io, link_keys(settings)),
      store_(io, std::move(store), steward_rate_limiter()),
      config_([this](const proto::Config& config) {
        post(StewardConfigChanged{fleet_config_from(config)});
      }),
      vm_list_(std::move(vm_list)),
      state_(initial_steward_state(settings.text("vm"), settings.text("zone"),
                                   settings.text("region"))) {}

template <class Body>
void StewardNode::post(Body body) {
  StewardStep step =
      reduce(std::move(state_), StewardEvent{monotonic_now(), std::move(body)});
  state_ = std::move(step.state);
  for (const StewardEffect& effect : step.effects) {
    std::visit([this](const auto& alternative) { this->perform(alternative); },
               effect);
  }
}

Result<std::uint16_t> StewardNode::start() {
  auto bound =
      link_.start(settings_.text("address"),
                  static_cast<std::uint16_t>(settings_.number("control-port")),
                  [this](const std::string&, const proto::Envelope& message) {
                    if (message.has_config())
                      config_.update_if_newer(message.config().config());
                  });
  if (!ok(bound)) return bound;
  co_spawn(io_, run_timer(), asio::detached);
  co_spawn(io_, poll_config(), asio::detached);
  const auto on_change = [this](const VmListing& listing) {
    FleetView view;
    view.endpoints = listing.endpoints;
    post(StewardViewChanged{std::move(view)});
  };
  constexpr Millis kVmListInterval = 2 * kSecond;
  co_spawn(io_, poll_vm_list(io_, vm_list_, kVmListInterval, on_change),
           asio::detached);
  return bound;
}

proto::Envelope StewardNode::make_envelope() const {
  proto::Envelope message;
  message.set_version(kEnvelopeVersion);
  message.set_vm(settings_.text("vm"));
  message.set_config_revision(config_.revision());
  return message;
}

awaitable<void> StewardNode::run_timer() {
  while (true) {
    co_await sleep_for(kTickInterval);
    post(StewardTicked{});
  }
}

// The entry process on this VM supplies the configuration. It answers only
// with a complete configuration, and polling it over loopback is cheap.
awaitable<void> StewardNode::poll_config() {
  while (true) {
    proto::Envelope request = make_envelope();
    request.set_config_wanted(true);
    link_.send(settings_.text("address"),
               static_cast<std::uint16_t>(settings_.number("entry-port")),
               request);
    co_await sleep_for(kConfigPollInterval);
  }
}

void StewardNode::perform(const AcquireLease& effect) {
  co_spawn(io_, renew_or_acquire_lease(effect.scope), asio::detached);
}

void StewardNode::perform(const ReadEndpointModels& effect) {
  co_spawn(io_, read_endpoint_models(effect.endpoint), asio::detached);
}

void StewardNode::perform(const SendOrder& effect) {
  log(LogLevel::kInfo, "order",
      {{"endpoint", effect.endpoint},
       {"fencing", std::to_string(effect.fencing_token)}});
  metrics_.count_event("order");
  co_spawn(io_, send_order(effect), asio::detached);
}

awaitable<bool> StewardNode::renew_lease(std::string scope) {
  const HeldLease held = held_leases_[scope];
  if (held.lease_id == 0) co_return false;
  const Millis requested_at = monotonic_now();
  const auto renewed = co_await store_.renew_lease(held.lease_id);
  if (ok(renewed) && value(renewed)) {
    post(LeaseObtained{scope, held.fencing_token, requested_at});
    co_return true;
  }
  if (ok(renewed)) held_leases_.erase(scope);
  co_return !ok(renewed);
}

awaitable<void> StewardNode::acquire_lease(std::string scope) {
  // Reads the key first so that no write is spent on a lease that another
  // steward holds.
  const std::string key = kStewardLeasePrefix + scope;
  const auto current = co_await store_.read(key);
  if (!ok(current) || !value(current).entries.empty()) {
    post(LeaseUnavailable{scope});
    co_return;
  }
  const Millis requested_at = monotonic_now();
  const auto lease =
      co_await store_.grant_lease(kStewardLeaseDuration / kSecond);
  if (!ok(lease)) co_return;
  StoreWrite change;
  change.key = key;
  change.value = settings_.text("vm");
  change.lease = value(lease);
  const auto outcome =
      co_await store_.compare_and_swap(change, StorePriority::kLease);
  if (!ok(outcome) || !value(outcome).swapped) {
    co_await store_.revoke_lease(value(lease));
    post(LeaseUnavailable{scope});
    co_return;
  }
  const auto written = co_await store_.read(key);
  if (!ok(written) || value(written).entries.empty()) co_return;
  const std::int64_t fencing_token =
      value(written).entries.front().mod_revision;
  held_leases_[scope] = {value(lease), fencing_token};
  post(LeaseObtained{scope, fencing_token, requested_at});
}

awaitable<void> StewardNode::renew_or_acquire_lease(std::string scope) {
  const bool held = co_await renew_lease(scope);
  if (!held) co_await acquire_lease(scope);
}

HttpTarget StewardNode::endpoint_target(const std::string& endpoint) const {
  const EndpointInfo* info = find_endpoint(state_.view, endpoint);
  if (info == nullptr) return {};
  return {info->address, static_cast<std::uint16_t>(info->port)};
}

awaitable<void> StewardNode::read_endpoint_models(std::string endpoint) {
  ClientRequest request;
  request.target = "/orders";
  const ClientResponse response =
      co_await fetch_response(io_, endpoint_target(endpoint),
                              std::move(request), kEndpointRequestTimeout);
  EndpointModelsRead event;
  event.endpoint = endpoint;
  const Result<json::object> parsed = parse_object(response.body);
  if (response.complete && response.status == kHttpOk && ok(parsed)) {
    event.reachable = true;
    event.models = strings_from(array_member(value(parsed), "runs"));
    event.fencing_token = int_member(value(parsed), "fencing");
  }
  post(event);
}

awaitable<void> StewardNode::send_order(SendOrder order) {
  json::array runs;
  for (const std::string& run : order.models) runs.push_back(run.c_str());
  json::object body;
  body["fencing"] = order.fencing_token;
  body["runs"] = std::move(runs);
  ClientRequest request;
  request.method = "POST";
  request.target = "/orders";
  request.body = json::serialize(body);
  const ClientResponse response =
      co_await fetch_response(io_, endpoint_target(order.endpoint),
                              std::move(request), kEndpointRequestTimeout);
  OrderAnswered event;
  event.endpoint = order.endpoint;
  event.accepted = response.complete && response.status == kHttpOk;
  event.stale_fencing_token =
      response.complete && response.status == kHttpConflict;
  post(event);
}

}  // namespace peridotreach
