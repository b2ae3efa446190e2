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

constexpr Millis kTick = 200;
constexpr Millis kConfigPoll = 2 * kSecond;
constexpr Millis kEndpointTimeout = 2 * kSecond;
constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpConflict = 409;

StoreRateLimiter steward_budget() {
  StoreRateLimiter budget;
  budget.calls_per_second = 1;
  budget.burst_calls = 10;
  budget.available_calls = 10;
  return budget;
}

std::vector<std::string> texts_in(const json::array& from) {
  std::vector<std::string> texts;
  for (const json::value& item : from) {
    if (item.is_string()) texts.emplace_back(item.as_string().c_str());
  }
  return texts;
}

}  // namespace

StewardNode::StewardNode(asio::io_context& io, const Settings& settings,
                         HttpTarget store, HttpTarget vm_list)
    : io_(io),
      settings_(settings),
      link_(io, link_keys(settings)),
      store_(io, std::move(store), steward_budget()),
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
    std::visit([this](const auto& one) { this->perform(one); }, effect);
  }
}

Result<std::uint16_t> StewardNode::start() {
  auto bound =
      link_.start(settings_.text("address"),
                  static_cast<std::uint16_t>(settings_.number("control-port")),
                  [this](const std::string&, const proto::Envelope& message) {
                    if (message.has_config())
                      config_.offer(message.config().config());
                  });
  if (!ok(bound)) return bound;
  co_spawn(io_, tick(), asio::detached);
  co_spawn(io_, seek_config(), asio::detached);
  const auto on_change = [this](const VmListing& listing) {
    FleetView view;
    view.endpoints = listing.endpoints;
    post(StewardViewChanged{std::move(view)});
  };
  constexpr Millis kListInterval = 2 * kSecond;
  co_spawn(io_, poll_vm_list(io_, vm_list_, kListInterval, on_change),
           asio::detached);
  return bound;
}

proto::Envelope StewardNode::envelope() const {
  proto::Envelope message;
  message.set_version(kEnvelopeVersion);
  message.set_vm(settings_.text("vm"));
  message.set_config_revision(config_.revision());
  return message;
}

awaitable<void> StewardNode::tick() {
  while (true) {
    co_await sleep_for(kTick);
    post(StewardTicked{});
  }
}

// The configuration comes from this VM's entry process, which answers only
// with a whole value; asking costs little on the loopback.
awaitable<void> StewardNode::seek_config() {
  while (true) {
    proto::Envelope ask = envelope();
    ask.set_config_wanted(true);
    link_.send(settings_.text("address"),
               static_cast<std::uint16_t>(settings_.number("entry-port")), ask);
    co_await sleep_for(kConfigPoll);
  }
}

void StewardNode::perform(const AcquireLease& effect) {
  co_spawn(io_, seek_lease(effect.scope), asio::detached);
}

void StewardNode::perform(const ReadEndpointModels& effect) {
  co_spawn(io_, read_endpoint(effect.endpoint), asio::detached);
}

void StewardNode::perform(const SendOrder& effect) {
  log(LogLevel::kInfo, "order",
      {{"endpoint", effect.endpoint},
       {"fencing", std::to_string(effect.fencing_token)}});
  metrics_.count("order");
  co_spawn(io_, send_order(effect), asio::detached);
}

awaitable<bool> StewardNode::renew(std::string scope) {
  const Held held = held_[scope];
  if (held.lease == 0) co_return false;
  const Millis asked = monotonic_now();
  const auto alive = co_await store_.keep_alive(held.lease);
  if (ok(alive) && value(alive)) {
    post(LeaseObtained{scope, held.fencing, asked});
    co_return true;
  }
  if (ok(alive)) held_.erase(scope);
  co_return !ok(alive);
}

awaitable<void> StewardNode::win(std::string scope) {
  // A read first: a lease that another holds costs no write.
  const std::string key = kStewardPrefix + scope;
  const auto present = co_await store_.read(key);
  if (!ok(present) || !value(present).entries.empty()) {
    post(LeaseUnavailable{scope});
    co_return;
  }
  const Millis asked = monotonic_now();
  const auto lease =
      co_await store_.grant_lease(kStewardLeaseDuration / kSecond);
  if (!ok(lease)) co_return;
  StoreSwap change;
  change.key = key;
  change.value = settings_.text("vm");
  change.lease = value(lease);
  const auto outcome = co_await store_.swap(change, StorePriority::kLease);
  if (!ok(outcome) || !value(outcome).swapped) {
    co_await store_.revoke(value(lease));
    post(LeaseUnavailable{scope});
    co_return;
  }
  const auto written = co_await store_.read(key);
  if (!ok(written) || value(written).entries.empty()) co_return;
  const std::int64_t fencing = value(written).entries.front().mod_revision;
  held_[scope] = {value(lease), fencing};
  post(LeaseObtained{scope, fencing, asked});
}

awaitable<void> StewardNode::seek_lease(std::string scope) {
  const bool held = co_await renew(scope);
  if (!held) co_await win(scope);
}

HttpTarget StewardNode::target_of(const std::string& endpoint) const {
  const EndpointInfo* info = find_endpoint(state_.view, endpoint);
  if (info == nullptr) return {};
  return {info->address, static_cast<std::uint16_t>(info->port)};
}

awaitable<void> StewardNode::read_endpoint(std::string endpoint) {
  ClientRequest request;
  request.target = "/orders";
  const ClientAnswer answer = co_await exchange(
      io_, target_of(endpoint), std::move(request), kEndpointTimeout);
  EndpointModelsRead event;
  event.endpoint = endpoint;
  const Result<json::object> parsed = parse_object(answer.body);
  if (answer.answered && answer.status == kHttpOk && ok(parsed)) {
    event.reachable = true;
    event.models = texts_in(array_member(value(parsed), "runs"));
    event.fencing_token = number_member(value(parsed), "fencing");
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
  const ClientAnswer answer = co_await exchange(
      io_, target_of(order.endpoint), std::move(request), kEndpointTimeout);
  OrderAnswered event;
  event.endpoint = order.endpoint;
  event.accepted = answer.answered && answer.status == kHttpOk;
  event.stale_fencing_token = answer.answered && answer.status == kHttpConflict;
  post(event);
}

}  // namespace peridotreach
