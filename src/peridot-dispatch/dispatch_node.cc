#include "peridot-dispatch/dispatch_node.h"

#include <utility>

#include "fleet.pb.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/node_settings.h"
#include "runtime/wire.h"

namespace peridotreach {
namespace {

// Interval between the ticks that are sent to the reducer.
constexpr Millis kTickInterval = 100;

// Minimum interval between replies to an entry process that carry no orders.
// It is much shorter than the silence after which entry processes consider a
// dispatcher lost.
constexpr Millis kHeartbeatReplyInterval = 300;

// Interval between requests for the initial configuration.
constexpr Millis kConfigRequestInterval = 300;

DispatchPolicy dispatch_policy(const Settings& settings) {
  return settings.text("policy") == "baseline" ? DispatchPolicy::kBaseline
                                               : DispatchPolicy::kFull;
}

TraceHeader trace_head(const Settings& settings, std::uint64_t incarnation) {
  TraceHeader head;
  head.reducer = "dispatch";
  head.identity = {settings.text("vm"), settings.text("zone"),
                   settings.text("region"), incarnation};
  head.policy = static_cast<std::uint8_t>(dispatch_policy(settings));
  return head;
}

}  // namespace

DispatchNode::DispatchNode(asio::io_context& io, const Settings& settings,
                           HttpTarget vm_list)
    : io_(io),
      settings_(settings),
      vm_(settings.text("vm")),
      incarnation_((random_number() >> 12u) | 1u),
      link_(io, link_keys(settings)),
      config_([this](const proto::Config& config) {
        FleetConfig decoded = fleet_config_from(config);
        names_.add_names(decoded);
        post(DispatchConfigChanged{std::move(decoded)});
      }),
      vm_list_(std::move(vm_list)) {
  const auto reduce_in_place = [](DispatchState& state,
                                  const DispatchEvent& event,
                                  std::vector<DispatchEffect>& effects) {
    DispatchStep step = reduce(std::move(state), event);
    state = std::move(step.state);
    effects = std::move(step.effects);
  };
  reducer_host_ = std::make_unique<
      ReducerHost<DispatchState, DispatchEvent, DispatchEffect>>(
      io, initial_dispatch_state(vm_, dispatch_policy(settings)),
      reduce_in_place,
      [this](std::vector<DispatchEffect>& effects) { perform_all(effects); },
      settings.text("trace"), trace_head(settings, incarnation_));
}

DispatchNode::~DispatchNode() = default;

template <class Body>
void DispatchNode::post(Body body) {
  reducer_host_->post({monotonic_now(), std::move(body)});
}

Result<std::uint16_t> DispatchNode::start() {
  auto bound = link_.start(
      settings_.text("address"),
      static_cast<std::uint16_t>(settings_.number("control-port")),
      [this](const std::string& peer, const proto::Envelope& message) {
        on_message(peer, message);
      });
  if (!ok(bound)) return bound;
  co_spawn(io_, run_timer(), asio::detached);
  co_spawn(io_, request_initial_config(), asio::detached);
  co_spawn(
      io_,
      poll_vm_list(io_, vm_list_, settings_.number("vm-list-interval-ms"),
                   [this](const VmListing& listing) { on_listing(listing); }),
      asio::detached);
  return bound;
}

void DispatchNode::stop() {
  flush();
  asio::post(io_, [this] { io_.stop(); });
}

proto::Envelope DispatchNode::make_envelope() const {
  proto::Envelope message;
  message.set_version(kEnvelopeVersion);
  message.set_vm(vm_);
  message.set_incarnation(incarnation_);
  message.set_config_revision(config_.revision());
  return message;
}

awaitable<void> DispatchNode::run_timer() {
  while (true) {
    co_await sleep_for(kTickInterval);
    post(DispatchTicked{});
  }
}

// The entry process on this VM supplies the configuration.
awaitable<void> DispatchNode::request_initial_config() {
  while (config_.revision() == 0) {
    proto::Envelope request = make_envelope();
    request.set_config_wanted(true);
    link_.send(settings_.text("address"),
               static_cast<std::uint16_t>(settings_.number("entry-port")),
               request);
    co_await sleep_for(kConfigRequestInterval);
  }
}

void DispatchNode::on_listing(const VmListing& listing) {
  FleetView view;
  view.endpoints = listing.endpoints;
  view.vms = listing.entry_vms;
  names_.learn(view);
  post(DispatchViewChanged{std::move(view)});
}

void DispatchNode::on_message(const std::string& peer,
                              const proto::Envelope& message) {
  if (message.has_config()) config_.update_if_newer(message.config().config());
  if (message.has_report() && !peer.empty()) {
    peer_by_vm_[message.vm()] = peer;
    bool unknown = false;
    post(entry_report_from_wire(message, names_, monotonic_now(), unknown));
    // Replies serve as heartbeats; none is sent if orders went out recently.
    // If the report contained unknown names, a full report is requested: the
    // configuration may have arrived by the time it is sent.
    const bool heartbeat_due = monotonic_now() - last_reply_at_[message.vm()] >=
                               kHeartbeatReplyInterval;
    if (heartbeat_due || unknown) {
      proto::Envelope& reply = order_batch(message.vm());
      if (unknown) reply.mutable_order()->set_want_full(true);
    }
  }
  if (message.config_revision() > config_.revision() && !peer.empty()) {
    proto::Envelope request = make_envelope();
    request.set_config_wanted(true);
    link_.reply(peer, request);
  }
}

proto::Envelope& DispatchNode::order_batch(const std::string& vm) {
  if (!flush_posted_) {
    flush_posted_ = true;
    asio::post(io_, [this] { flush(); });
  }
  const auto [entry, inserted] = order_batches_.try_emplace(vm);
  if (inserted) {
    entry->second = make_envelope();
    entry->second.mutable_order();
  }
  return entry->second;
}

void DispatchNode::flush() {
  flush_posted_ = false;
  for (const auto& [vm, message] : std::exchange(order_batches_, {})) {
    const auto peer = peer_by_vm_.find(vm);
    if (peer != peer_by_vm_.end()) link_.reply(peer->second, message);
    last_reply_at_[vm] = monotonic_now();
  }
}

void DispatchNode::perform_all(std::vector<DispatchEffect>& effects) {
  for (const DispatchEffect& effect : effects) {
    std::visit([this](const auto& alternative) { perform(alternative); },
               effect);
  }
}

void DispatchNode::perform(const IssueGrant& effect) {
  proto::Grant* grant =
      order_batch(effect.key.vm).mutable_order()->add_grants();
  grant->set_request(effect.key.request);
  grant->set_endpoint(name_hash(effect.endpoint));
  grant->set_reason(static_cast<std::uint32_t>(effect.reason));
  metrics_.count_event(std::string("grant_") +
                       grant_reason_name(effect.reason));
}

void DispatchNode::perform(const IssueRefusal& effect) {
  proto::Refusal* refusal =
      order_batch(effect.key.vm).mutable_order()->add_refusals();
  refusal->set_request(effect.key.request);
  refusal->set_kind(static_cast<std::uint32_t>(effect.kind));
  refusal->set_retry_after_ms(static_cast<std::uint32_t>(effect.retry_after));
  metrics_.count_event(std::string("refusal_") + refusal_name(effect.kind));
}

void DispatchNode::perform(const IssueWithdrawal& effect) {
  order_batch(effect.key.vm).mutable_order()->add_withdrawn(effect.key.request);
  metrics_.count_event("withdrawal");
}

void DispatchNode::perform(const RequestFullReport& effect) {
  order_batch(effect.vm).mutable_order()->set_want_full(true);
}

void DispatchNode::perform(const IssueCredits& effect) {
  proto::CellCredits* cell =
      order_batch(effect.vm).mutable_order()->add_credits();
  cell->set_cell(name_hash(effect.cell));
  for (const Credit& credit : effect.credits) {
    proto::Credit* message = cell->add_credits();
    message->set_endpoint(name_hash(credit.endpoint));
    message->set_model(name_hash(credit.model));
    message->set_count(credit.count);
  }
}

void DispatchNode::perform(const WatchEndpoint& effect) {
  perform(UnwatchEndpoint{effect.endpoint});
  auto new_watch = std::make_shared<EndpointWatch>();
  new_watch->endpoint = effect.endpoint;
  new_watch->target = {effect.address, static_cast<std::uint16_t>(effect.port)};
  endpoint_watches_[effect.endpoint] = new_watch;
  co_spawn(io_,
           watch_endpoint(io_, new_watch,
                          [this](DispatchEvent event) {
                            reducer_host_->post(std::move(event));
                          }),
           asio::detached);
}

void DispatchNode::perform(const UnwatchEndpoint& effect) {
  const auto watch = endpoint_watches_.find(effect.endpoint);
  if (watch == endpoint_watches_.end()) return;
  watch->second->stopped = true;
  endpoint_watches_.erase(watch);
}

}  // namespace peridotreach
