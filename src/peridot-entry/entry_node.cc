#include "peridot-entry/entry_node.h"

#include <boost/json/serialize.hpp>
#include <charconv>
#include <utility>

#include "fleet.pb.h"
#include "libperidotreach/dispatch_effect.h"
#include "peridot-entry/engine_stream.h"
#include "runtime/clock.h"
#include "runtime/json.h"
#include "runtime/log.h"
#include "runtime/node_settings.h"
#include "runtime/sse_parser.h"
#include "runtime/store_keys.h"
#include "runtime/wire.h"

namespace peridotreach {
namespace {

// Interval between ticks of the reducer.
constexpr Millis kTickInterval = 50;

// Rate and burst limits of one entry VM's calls to the store.
constexpr double kStoreCallsPerSecond = 4;
constexpr double kStoreBurstCalls = 30;

constexpr Millis kMinCallTimeout = 2 * kSecond;
constexpr Millis kSessionTimeout = 2 * kSecond;
constexpr Millis kCancelTimeout = 2 * kSecond;
// Interval between requests to all peers while no configuration is loaded.
constexpr Millis kInitialConfigRequestInterval = 500;

// Interval between configuration requests to single peers while the store does
// not answer, and the range of the random index of the first peer.
constexpr Millis kPeerConfigRequestInterval = kSecond;
constexpr std::uint64_t kFirstPeerIndexRange = 1024;

EntryIdentity identity_from(const Settings& settings) {
  return {settings.text("vm"), settings.text("zone"), settings.text("region"),
          (random_number() >> 12u) | 1u};
}

StoreRateLimiter make_store_limiter() {
  StoreRateLimiter limiter;
  limiter.calls_per_second = kStoreCallsPerSecond;
  limiter.burst_calls = kStoreBurstCalls;
  limiter.available_calls = kStoreBurstCalls;
  return limiter;
}

std::uint16_t port_setting(const Settings& settings, const std::string& name) {
  return static_cast<std::uint16_t>(settings.number(name));
}

std::string session_payload(const EntryIdentity& identity,
                            std::uint64_t session, const std::string& caller) {
  proto::SessionToken token;
  token.set_home(identity.vm);
  token.set_incarnation(identity.incarnation);
  token.set_session(session);
  token.set_caller(caller);
  return token.SerializeAsString();
}

CallOutcome outcome_from(const ClientResponse& answer) {
  CallOutcome outcome;
  outcome.ran = ExecutionStatus::kExecuted;
  outcome.status = answer.status;
  outcome.content_type = answer.content_type;
  outcome.body = answer.body;
  return outcome;
}

}  // namespace

Millis EntryNode::clock_now() { return monotonic_now(); }
std::uint64_t EntryNode::clock_minute() { return wall_minute(); }

EntryNode::EntryNode(asio::io_context& io, const Settings& settings,
                     HttpTarget store, HttpTarget vm_list)
    : io_(io),
      settings_(settings),
      identity_(identity_from(settings)),
      fleet_key_(derive_fleet_key(settings.text("fleet-key"))),
      link_(io, link_keys(settings)),
      store_(io, std::move(store), make_store_limiter()),
      held_config_([this](const proto::Config& config) { on_config(config); }),
      feed_(io, store_, held_config_, std::move(vm_list),
            [this](const FleetView& view) { on_view(view); }),
      dispatch_channel_(io, link_),
      refusal_recorder_(
          io, store_, identity_.vm, identity_.zone,
          [this](const VmInfo& vm, const proto::RefusalMinute& bucket) {
            proto::Envelope message = envelope();
            *message.mutable_ledger() = bucket;
            link_.send(vm.address, static_cast<std::uint16_t>(vm.entry_port),
                       message);
          }) {
  const auto reduce_in_place = [](EntryState& state, const EntryEvent& event,
                                  std::vector<EntryEffect>& effects) {
    EntryStep step = reduce(std::move(state), event);
    state = std::move(step.state);
    effects = std::move(step.effects);
  };
  reducer_host_ =
      std::make_unique<ReducerHost<EntryState, EntryEvent, EntryEffect>>(
          io, initial_entry_state(identity_), reduce_in_place,
          [this](std::vector<EntryEffect>& effects) { perform_all(effects); },
          settings.text("trace"), TraceHeader{"entry", identity_, 0});
}

EntryNode::~EntryNode() = default;

Result<std::uint16_t> EntryNode::start() {
  auto bound = link_.start(
      settings_.text("address"), port_setting(settings_, "control-port"),
      [this](const std::string& peer, const proto::Envelope& message) {
        on_message(peer, message);
      });
  if (!ok(bound)) return bound;
  dispatch_channel_.set_envelope_template(envelope());
  VmInfo vm_info;
  vm_info.vm = identity_.vm;
  vm_info.zone = identity_.zone;
  vm_info.region = identity_.region;
  vm_info.address = settings_.text("address");
  vm_info.http_port = port_setting(settings_, "http-port");
  vm_info.entry_port = value(bound);
  vm_info.dispatch_port = port_setting(settings_, "dispatch-port");
  vm_info.incarnation = identity_.incarnation;
  feed_.start(vm_info, settings_.number("vm-list-interval-ms"));
  refusal_recorder_.start(identity_.incarnation);
  co_spawn(io_, run_ticks(), asio::detached);
  co_spawn(io_, fetch_config_from_peers(), asio::detached);
  return bound;
}

proto::Envelope EntryNode::envelope() const {
  proto::Envelope message;
  message.set_version(kEnvelopeVersion);
  message.set_vm(identity_.vm);
  message.set_incarnation(identity_.incarnation);
  message.set_config_revision(held_config_.revision());
  return message;
}

awaitable<void> EntryNode::run_ticks() {
  while (true) {
    co_await sleep_for(kTickInterval);
    post(EntryTicked{random_number()});
  }
}

// Requests the configuration from peers while the store is unavailable. Without
// a configuration, requests it from all peers at once. Afterwards, requests it
// from one peer after the other, because the peer that answered first may not
// have had the latest revision.
awaitable<void> EntryNode::fetch_config_from_peers() {
  std::size_t peer_index = random_number() % kFirstPeerIndexRange;
  while (true) {
    const bool has_no_config = held_config_.revision() == 0;
    co_await sleep_for(has_no_config ? kInitialConfigRequestInterval
                                     : kPeerConfigRequestInterval);
    if (!has_no_config && feed_.is_store_reachable()) continue;
    const std::vector<VmInfo>& vms = feed_.view().vms;
    for (std::size_t i = 0; i < vms.size(); ++i) {
      const bool is_next_peer = i == peer_index % vms.size();
      if (vms[i].vm != identity_.vm && (has_no_config || is_next_peer))
        request_config(vms[i]);
    }
    peer_index += 1;
  }
}

void EntryNode::request_config(const VmInfo& vm) {
  proto::Envelope message = envelope();
  message.set_config_wanted(true);
  link_.send(vm.address, static_cast<std::uint16_t>(vm.entry_port), message);
}

void EntryNode::on_config(const proto::Config& config) {
  fleet_config_ = fleet_config_from(config);
  name_table_.add_names(fleet_config_);
  dispatch_channel_.set_envelope_template(envelope());
  metrics_.set_gauge("config_revision", static_cast<double>(config.revision()));
  post(EntryConfigChanged{fleet_config_});
}

void EntryNode::on_view(const FleetView& view) {
  name_table_.learn(view);
  dispatch_channel_.set_view(view);
  refusal_recorder_.set_view(view);
  post(EntryViewChanged{view});
}

void EntryNode::on_message(const std::string& peer,
                           const proto::Envelope& message) {
  const auto answer = [&](const proto::Envelope& reply) {
    if (peer.empty()) return;
    link_.reply(peer, reply);
  };
  if (message.has_order()) on_order(message);
  if (message.has_ledger()) refusal_recorder_.merge_copy(message.ledger());
  if (message.has_config())
    held_config_.update_if_newer(message.config().config());
  if (message.has_hand_over()) {
    post(
        sessions_from_wire(message.hand_over(), message.vm(), monotonic_now()));
  }
  if (message.has_confirmation()) {
    post(SessionsConfirmed{message.confirmation().home(),
                           message.confirmation().incarnation()});
  }
  const bool has_newer_config =
      held_config_.revision() > message.config_revision();
  if (message.config_wanted() && has_newer_config) {
    proto::Envelope reply = envelope();
    *reply.mutable_config()->mutable_config() = held_config_.config();
    const VmInfo* vm = find_vm(feed_.view(), message.vm());
    if (!peer.empty()) {
      answer(reply);
    } else if (vm != nullptr) {
      link_.send(vm->address, static_cast<std::uint16_t>(vm->dispatch_port),
                 reply);
    }
  } else if (message.config_revision() > held_config_.revision()) {
    proto::Envelope config_request = envelope();
    config_request.set_config_wanted(true);
    answer(config_request);
  }
}

void EntryNode::on_order(const proto::Envelope& message) {
  const std::string& dispatcher = message.vm();
  post(DispatcherMessageReceived{dispatcher, message.order().want_full()});
  for (const proto::Grant& grant : message.order().grants()) {
    const auto reason = static_cast<GrantReason>(std::min<std::uint32_t>(
        grant.reason(), static_cast<std::uint32_t>(GrantReason::kBaseline)));
    post(GrantReceived{dispatcher, grant.request(),
                       name_table_.name(grant.endpoint()),
                       grant_reason_name(reason)});
  }
  for (const proto::CellCredits& cell : message.order().credits()) {
    CreditsReceived event;
    event.dispatcher = dispatcher;
    event.cell = name_table_.name(cell.cell());
    for (const proto::Credit& credit : cell.credits()) {
      event.credits.push_back({name_table_.name(credit.endpoint()),
                               name_table_.name(credit.model()),
                               credit.count()});
    }
    post(std::move(event));
  }
  for (const proto::Refusal& refusal : message.order().refusals()) {
    const auto kind = static_cast<RefusalKind>(std::min<std::uint32_t>(
        refusal.kind(), static_cast<std::uint32_t>(RefusalKind::kStopping)));
    post(RefusalReceived{dispatcher, refusal.request(), kind,
                         refusal.retry_after_ms()});
  }
  for (const std::uint64_t request : message.order().withdrawn()) {
    post(WithdrawalReceived{dispatcher, request});
  }
}

std::shared_ptr<CallerStream> EntryNode::open_stream() {
  auto stream = std::make_shared<CallerStream>(io_);
  stream->request = next_request_number();
  streams_[stream->request] = stream;
  return stream;
}

std::shared_ptr<CallWaiter> EntryNode::open_call(std::uint64_t& request) {
  request = next_request_number();
  auto waiter = std::make_shared<CallWaiter>(io_);
  calls_[request] = waiter;
  return waiter;
}

awaitable<std::string> EntryNode::open_session(std::string caller) {
  const std::uint64_t request = next_request_number();
  auto waiter = std::make_shared<Signal>(io_);
  session_waiters_[request] = waiter;
  post(SessionRequested{request, caller});
  co_await waiter->wait(kSessionTimeout);
  session_waiters_.erase(request);
  const auto found = opened_sessions_.find(request);
  if (found == opened_sessions_.end()) co_return std::string();
  const std::uint64_t session = found->second;
  opened_sessions_.erase(found);
  if (session == 0) co_return std::string();
  co_return sign_token(fleet_key_, "sess_",
                       session_payload(identity_, session, caller));
}

std::string EntryNode::request_id(std::uint64_t request) const {
  return identity_.vm + "." + std::to_string(identity_.incarnation) + "." +
         std::to_string(request);
}

std::uint64_t EntryNode::request_number(const std::string& id) const {
  const std::string prefix = request_id(0).substr(0, request_id(0).size() - 1);
  if (id.compare(0, prefix.size(), prefix) != 0) return 0;
  std::uint64_t number = 0;
  std::from_chars(id.data() + prefix.size(), id.data() + id.size(), number);
  return number;
}

HttpTarget EntryNode::endpoint_target(const std::string& endpoint) const {
  const EndpointInfo* info = find_endpoint(feed_.view(), endpoint);
  if (info == nullptr) return {};
  return {info->address, static_cast<std::uint16_t>(info->port)};
}

void EntryNode::perform_all(std::vector<EntryEffect>& effects) {
  for (EntryEffect& effect : effects) {
    std::visit([this](auto& alternative) { perform(alternative); }, effect);
  }
}

std::string EntryNode::with_public_id(const std::string& payload,
                                      const CallerStream& stream,
                                      const RelayEvents& effect,
                                      std::string& response) const {
  Result<json::object> parsed = parse_object(payload);
  if (!ok(parsed)) return payload;
  json::object& event = std::get<json::object>(parsed);
  json::value* response_object = event.if_contains("response");
  if (response_object == nullptr || !response_object->is_object())
    return payload;
  proto::ResponseToken token;
  token.set_endpoint(effect.endpoint);
  token.set_endpoint_incarnation(effect.endpoint_incarnation);
  token.set_generation(effect.generation_id);
  token.set_caller(stream.caller);
  token.set_service(stream.service);
  token.set_rank(stream.rank);
  response_object->as_object()["id"] =
      sign_token(fleet_key_, "resp_", token.SerializeAsString());
  response = json::serialize(*response_object);
  return json::serialize(event);
}

void EntryNode::relay_event(CallerStream& stream, const RelayEvents& effect,
                            const StreamEvent& stream_event) {
  stream.next_sequence = stream_event.sequence + 1;
  if (stream_event.kind == StreamEventKind::kToken) {
    if (!stream.wants_stream) return;
    stream.pending +=
        format_sse("response.output_text.delta", stream_event.payload);
    return;
  }
  std::string payload = stream_event.payload;
  std::string response;
  const bool has_response_object =
      stream_event.kind == StreamEventKind::kCreated ||
      stream_event.kind == StreamEventKind::kCompleted ||
      stream_event.kind == StreamEventKind::kFailed;
  if (has_response_object) {
    payload = with_public_id(stream_event.payload, stream, effect, response);
  }
  if (stream_event.kind == StreamEventKind::kCreated) stream.created = response;
  if (stream_event.kind == StreamEventKind::kCompleted)
    stream.completed = response;
  if (!stream.wants_stream) return;
  const Result<json::object> parsed = parse_object(payload);
  const std::string type =
      ok(parsed) ? string_member(value(parsed), "type") : std::string();
  stream.pending += format_sse(type, payload);
}

void EntryNode::perform(RelayEvents& effect) {
  const auto found = streams_.find(effect.request);
  if (found == streams_.end()) return;
  CallerStream& stream = *found->second;
  if (stream.detached || stream.overrun) return;
  for (const StreamEvent& stream_event : effect.events) {
    relay_event(stream, effect, stream_event);
  }
  if (stream.pending.size() > kMaxPendingBytes) stream.overrun = true;
  stream.signal.notify();
}

void EntryNode::perform(const ConnectEndpoint& effect) {
  EngineCall call;
  call.request = effect.request;
  call.attempt = effect.attempt;
  call.target = endpoint_target(effect.endpoint);
  call.generation_id = effect.generation_id;
  call.starting_after = effect.starting_after;
  const auto stream = streams_.find(effect.request);
  if (stream != streams_.end() && effect.generation_id.empty()) {
    // `engine_body` is a serialized JSON object: replaces its closing brace to
    // append the priority as the last member.
    call.body = stream->second->engine_body;
    call.body.pop_back();
    call.body += ",\"priority\":" + std::to_string(effect.priority) + "}";
  }
  auto connection = std::make_shared<HttpConnection>(io_);
  connections_[effect.request] = connection;
  co_spawn(io_,
           run_engine_stream(connection, std::move(call),
                             [this](EntryEvent event) {
                               reducer_host_->post(std::move(event));
                             }),
           asio::detached);
}

void EntryNode::perform(const DisconnectEndpoint& effect) {
  const auto found = connections_.find(effect.request);
  if (found == connections_.end()) return;
  found->second->close();
  connections_.erase(found);
}

void EntryNode::perform(const CancelGeneration& effect) {
  ClientRequest request;
  request.method = "POST";
  request.target = "/v1/responses/" + effect.generation_id + "/cancel";
  if (effect.only_unwatched) request.target += "?only_unwatched=true";
  co_spawn(io_,
           fetch_response(io_, endpoint_target(effect.endpoint),
                          std::move(request), kCancelTimeout),
           asio::detached);
}

void EntryNode::perform(const FinishRequest& effect) {
  const auto connection = connections_.find(effect.request);
  if (connection != connections_.end()) {
    connection->second->close();
    connections_.erase(connection);
  }
  const auto found = streams_.find(effect.request);
  if (found == streams_.end()) return;
  found->second->finished = true;
  found->second->outcome = effect;
  found->second->signal.notify();
  log(LogLevel::kDebug, "request finished",
      {{"request", request_id(effect.request)},
       {"caller", found->second->caller},
       {"rank", found->second->rank},
       {"reason", refusal_name(effect.kind)},
       {"ran", execution_status_name(effect.ran)}});
  streams_.erase(found);
}

awaitable<void> EntryNode::run_call(std::uint64_t request, HttpTarget target,
                                    ClientRequest message, Millis timeout,
                                    bool is_session_home) {
  const ClientResponse answer =
      co_await fetch_response(io_, target, std::move(message), timeout);
  CallEnded ended;
  ended.request = request;
  ended.sent = answer.request_started;
  ended.answered = answer.complete;
  if (answer.complete) {
    ended.outcome = outcome_from(answer);
    // Only the session's home knows whether the call ran.
    if (is_session_home)
      ended.outcome.ran = execution_status_from_name(answer.execution_status);
    ended.retry_after = answer.retry_after;
  } else if (is_session_home) {
    const RefusalKind kind = answer.request_started ? RefusalKind::kTimedOut
                                                    : RefusalKind::kStopping;
    ended.outcome = {answer.request_started ? ExecutionStatus::kUnknown
                                            : ExecutionStatus::kNotExecuted,
                     kind, refusal_http_status(kind), "", ""};
  }
  post(ended);
}

void EntryNode::perform(const ForwardCall& effect) {
  const auto found = calls_.find(effect.request);
  if (found == calls_.end()) return;
  const HttpRequest& original = found->second->request;
  ClientRequest message;
  message.method = original.method;
  message.target = found->second->path;
  message.body = original.body;
  if (!original.header("content-type").empty()) {
    message.content_type = original.header("content-type");
  }
  message.headers.push_back({"x-request-id", request_id(effect.request)});
  co_spawn(io_,
           run_call(effect.request, endpoint_target(effect.endpoint),
                    std::move(message),
                    std::max(effect.timeout, kMinCallTimeout), false),
           asio::detached);
}

void EntryNode::perform(const ForwardToHome& effect) {
  const auto found = calls_.find(effect.request);
  const VmInfo* vm = find_vm(feed_.view(), effect.vm);
  if (found == calls_.end()) return;
  HttpTarget target;
  if (vm != nullptr) {
    target = {vm->address, static_cast<std::uint16_t>(vm->http_port)};
  }
  const HttpRequest& original = found->second->request;
  ClientRequest message;
  message.method = original.method;
  message.target = original.path;
  message.body = original.body;
  for (const char* name : {"authorization", "content-type", "peridot-session",
                           "peridot-sequence", "peridot-attempt"}) {
    const std::string text = original.header(name);
    if (!text.empty()) message.headers.push_back({name, text});
  }
  const std::int64_t hops =
      std::strtoll(original.header("peridot-hops").c_str(), nullptr, 10);
  message.headers.push_back({"peridot-hops", std::to_string(hops + 1)});
  constexpr Millis kForwardToHomeTimeout = 35 * kSecond;
  co_spawn(io_,
           run_call(effect.request, target, std::move(message),
                    kForwardToHomeTimeout, true),
           asio::detached);
}

awaitable<void> EntryNode::claim_idempotency_key(ClaimKey effect) {
  proto::ClaimRecord record;
  record.set_vm(identity_.vm);
  record.set_incarnation(identity_.incarnation);
  record.set_request(effect.request);
  StoreWrite change;
  change.key = kClaimPrefix + effect.caller + "/" + sha256_hex(effect.key);
  change.value = record.SerializeAsString();
  ClaimAnswered answer;
  answer.request = effect.request;
  // The store's answer may be lost after the claim took effect. The second
  // attempt then finds the claim and shows which process owns it.
  for (int i = 0; i < 2; ++i) {
    const auto outcome =
        co_await store_.compare_and_swap(change, StorePriority::kClaim);
    if (!ok(outcome)) continue;
    if (value(outcome).swapped) {
      answer.result = ClaimResult::kClaimed;
      break;
    }
    answer.result = ClaimResult::kAlreadyClaimed;
    proto::ClaimRecord present;
    if (value(outcome).current_entry &&
        present.ParseFromString(value(outcome).current_entry->value)) {
      answer.owned_here = present.vm() == identity_.vm &&
                          present.incarnation() == identity_.incarnation;
    }
    break;
  }
  post(answer);
}

void EntryNode::perform(const ClaimKey& effect) {
  co_spawn(io_, claim_idempotency_key(effect), asio::detached);
}

void EntryNode::perform(const AnswerCall& effect) {
  const auto found = calls_.find(effect.request);
  if (found == calls_.end()) return;
  found->second->done = true;
  found->second->outcome = effect.outcome;
  found->second->retry_after = effect.retry_after;
  found->second->signal.notify();
  calls_.erase(found);
}

void EntryNode::perform(const ReturnSession& effect) {
  const auto waiter = session_waiters_.find(effect.request);
  if (waiter == session_waiters_.end()) return;
  opened_sessions_[effect.request] = effect.session;
  waiter->second->notify();
}

void EntryNode::perform(const CountRefusal& effect) {
  metrics_.count_refusal(effect.labels);
  refusal_recorder_.count(effect);
}

void EntryNode::perform(const RecordExplanation& effect) {
  explanations_.add(effect.request, effect.code, effect.detail);
  metrics_.count_event(effect.code);
}

void EntryNode::perform(const Observe& effect) { metrics_.observe(effect); }

awaitable<void> EntryNode::announce_leaving(AnnounceLeaving effect) {
  const std::string successor = effect.successor;
  const bool recorded = co_await feed_.announce_leaving(
      std::move(effect.successor), std::move(effect.homes));
  log(LogLevel::kInfo, "leaving",
      {{"successor", successor}, {"recorded", recorded ? "yes" : "no"}});
  post(SuccessorRecorded{recorded, successor});
}

void EntryNode::perform(const AnnounceLeaving& effect) {
  stopping_ = true;
  co_spawn(io_, announce_leaving(effect), asio::detached);
}

void EntryNode::perform(const HandOverSessions& effect) {
  const VmInfo* vm = find_vm(feed_.view(), effect.successor);
  if (vm == nullptr) return;
  proto::Envelope message = envelope();
  to_wire(effect, *message.mutable_hand_over());
  link_.send(vm->address, static_cast<std::uint16_t>(vm->entry_port), message);
}

void EntryNode::perform(const ConfirmSessions& effect) {
  const VmInfo* vm = find_vm(feed_.view(), effect.to);
  if (vm == nullptr) return;
  proto::Envelope message = envelope();
  message.mutable_confirmation()->set_home(effect.home.vm);
  message.mutable_confirmation()->set_incarnation(effect.home.incarnation);
  link_.send(vm->address, static_cast<std::uint16_t>(vm->entry_port), message);
}

awaitable<void> EntryNode::flush_and_exit() {
  co_await refusal_recorder_.write_due_buckets(true);
  co_await feed_.deregister();
  log(LogLevel::kInfo, "stopped");
  io_.stop();
}

void EntryNode::perform(const ExitProcess& /*effect*/) {
  co_spawn(io_, flush_and_exit(), asio::detached);
}

}  // namespace peridotreach
