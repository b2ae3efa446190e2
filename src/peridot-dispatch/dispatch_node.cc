#include "peridot-dispatch/dispatch_node.h"

#include <utility>

#include "fleet.pb.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/node_settings.h"
#include "runtime/wire.h"

namespace peridotreach {
namespace {

// Time between ticks of the reducer.
constexpr Millis kTick = 100;

// Time between replies that say nothing; entries suspect a dispatcher much
// later.
constexpr Millis kReplyInterval = 300;

// Time between requests for a first configuration.
constexpr Millis kConfigSeek = 300;

DispatchPolicy policy_from(const Settings& settings) {
  return settings.text("policy") == "baseline" ? DispatchPolicy::kBaseline
                                               : DispatchPolicy::kFull;
}

TraceHead head_of(const Settings& settings, std::uint64_t incarnation) {
  TraceHead head;
  head.reducer = "dispatch";
  head.identity = {settings.text("vm"), settings.text("zone"),
                   settings.text("region"), incarnation};
  head.policy = static_cast<std::uint8_t>(policy_from(settings));
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
        FleetConfig plain = fleet_config_from(config);
        names_.learn(plain);
        post(DispatchConfigChanged{std::move(plain)});
      }),
      vm_list_(std::move(vm_list)) {
  const auto reduce_in_place = [](DispatchState& state,
                                  const DispatchEvent& event,
                                  std::vector<DispatchEffect>& effects) {
    DispatchStep step = reduce(std::move(state), event);
    state = std::move(step.state);
    effects = std::move(step.effects);
  };
  host_ = std::make_unique<
      ReducerHost<DispatchState, DispatchEvent, DispatchEffect>>(
      io, initial_dispatch_state(vm_, policy_from(settings)), reduce_in_place,
      [this](std::vector<DispatchEffect>& effects) { perform_all(effects); },
      settings.text("trace"), head_of(settings, incarnation_));
}

DispatchNode::~DispatchNode() = default;

template <class Body>
void DispatchNode::post(Body body) {
  host_->post({monotonic_now(), std::move(body)});
}

Result<std::uint16_t> DispatchNode::start() {
  auto bound = link_.start(
      settings_.text("address"),
      static_cast<std::uint16_t>(settings_.number("control-port")),
      [this](const std::string& peer, const proto::Envelope& message) {
        on_message(peer, message);
      });
  if (!ok(bound)) return bound;
  co_spawn(io_, tick(), asio::detached);
  co_spawn(io_, seek_config(), asio::detached);
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

proto::Envelope DispatchNode::envelope() const {
  proto::Envelope message;
  message.set_version(kEnvelopeVersion);
  message.set_vm(vm_);
  message.set_incarnation(incarnation_);
  message.set_config_revision(config_.revision());
  return message;
}

awaitable<void> DispatchNode::tick() {
  while (true) {
    co_await sleep_for(kTick);
    post(DispatchTicked{});
  }
}

// The configuration comes from this VM's entry process.
awaitable<void> DispatchNode::seek_config() {
  while (config_.revision() == 0) {
    proto::Envelope ask = envelope();
    ask.set_config_wanted(true);
    link_.send(settings_.text("address"),
               static_cast<std::uint16_t>(settings_.number("entry-port")), ask);
    co_await sleep_for(kConfigSeek);
  }
}

void DispatchNode::on_listing(const VmListing& listing) {
  FleetView view;
  view.endpoints = listing.endpoints;
  view.vms = listing.entries;
  names_.learn(view);
  post(DispatchViewChanged{std::move(view)});
}

void DispatchNode::on_message(const std::string& peer,
                              const proto::Envelope& message) {
  if (message.has_config()) config_.offer(message.config().config());
  if (message.has_report() && !peer.empty()) {
    peers_[message.vm()] = peer;
    bool unknown = false;
    post(report_from(message, names_, monotonic_now(), unknown));
    // A reply is the heartbeat; orders sent lately make it needless. What could
    // not be read is asked for again; by then the configuration may have come.
    const bool due =
        monotonic_now() - replied_at_[message.vm()] >= kReplyInterval;
    if (due || unknown) {
      proto::Envelope& reply = batch(message.vm());
      if (unknown) reply.mutable_order()->set_want_full(true);
    }
  }
  if (message.config_revision() > config_.revision() && !peer.empty()) {
    proto::Envelope ask = envelope();
    ask.set_config_wanted(true);
    link_.reply(peer, ask);
  }
}

proto::Envelope& DispatchNode::batch(const std::string& vm) {
  if (!flush_posted_) {
    flush_posted_ = true;
    asio::post(io_, [this] { flush(); });
  }
  const auto [entry, fresh] = batches_.try_emplace(vm);
  if (fresh) {
    entry->second = envelope();
    entry->second.mutable_order();
  }
  return entry->second;
}

void DispatchNode::flush() {
  flush_posted_ = false;
  for (const auto& [vm, message] : std::exchange(batches_, {})) {
    const auto peer = peers_.find(vm);
    if (peer != peers_.end()) link_.reply(peer->second, message);
    replied_at_[vm] = monotonic_now();
  }
}

void DispatchNode::perform_all(std::vector<DispatchEffect>& effects) {
  for (const DispatchEffect& effect : effects) {
    std::visit([this](const auto& one) { perform(one); }, effect);
  }
}

void DispatchNode::perform(const IssueGrant& effect) {
  proto::Grant* grant = batch(effect.key.vm).mutable_order()->add_grants();
  grant->set_request(effect.key.request);
  grant->set_endpoint(name_hash(effect.endpoint));
  grant->set_reason(static_cast<std::uint32_t>(effect.reason));
  metrics_.count(std::string("grant_") + grant_reason_name(effect.reason));
}

void DispatchNode::perform(const IssueRefusal& effect) {
  proto::Refusal* refusal =
      batch(effect.key.vm).mutable_order()->add_refusals();
  refusal->set_request(effect.key.request);
  refusal->set_kind(static_cast<std::uint32_t>(effect.kind));
  refusal->set_retry_after_ms(static_cast<std::uint32_t>(effect.retry_after));
  metrics_.count(std::string("refusal_") + refusal_name(effect.kind));
}

void DispatchNode::perform(const IssueWithdrawal& effect) {
  batch(effect.key.vm).mutable_order()->add_withdrawn(effect.key.request);
  metrics_.count("withdrawal");
}

void DispatchNode::perform(const RequestFullReport& effect) {
  batch(effect.vm).mutable_order()->set_want_full(true);
}

void DispatchNode::perform(const IssueCredits& effect) {
  proto::CellCredits* cell = batch(effect.vm).mutable_order()->add_credits();
  cell->set_cell(name_hash(effect.cell));
  for (const Credit& credit : effect.credits) {
    proto::Credit* one = cell->add_credits();
    one->set_endpoint(name_hash(credit.endpoint));
    one->set_model(name_hash(credit.model));
    one->set_count(credit.count);
  }
}

void DispatchNode::perform(const WatchEndpoint& effect) {
  perform(UnwatchEndpoint{effect.endpoint});
  auto watch = std::make_shared<EndpointWatch>();
  watch->endpoint = effect.endpoint;
  watch->target = {effect.address, static_cast<std::uint16_t>(effect.port)};
  watches_[effect.endpoint] = watch;
  co_spawn(io_,
           follow_endpoint(
               io_, watch,
               [this](DispatchEvent event) { host_->post(std::move(event)); }),
           asio::detached);
}

void DispatchNode::perform(const UnwatchEndpoint& effect) {
  const auto found = watches_.find(effect.endpoint);
  if (found == watches_.end()) return;
  found->second->stopped = true;
  watches_.erase(found);
}

}  // namespace peridotreach
