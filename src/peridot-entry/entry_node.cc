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

// Time between ticks of the reducer.
constexpr Millis kTick = 50;

// Store calls a second that one entry VM may make, and how many at once.
constexpr double kStoreRate = 4;
constexpr double kStoreBurst = 30;

constexpr Millis kCallConnectTimeout = 2 * kSecond;
constexpr Millis kSessionWait = 2 * kSecond;
constexpr Millis kCancelTimeout = 2 * kSecond;
constexpr Millis kConfigSeek = 500;

// Time between questions to peers while the store does not answer, and the
// range of the random first turn.
constexpr Millis kPeerInterval = kSecond;
constexpr std::uint64_t kPeerTurns = 1024;

EntryIdentity identity_from(const Settings& settings) {
  return {settings.text("vm"), settings.text("zone"), settings.text("region"),
          (random_number() >> 12u) | 1u};
}

StoreRateLimiter entry_budget() {
  StoreRateLimiter budget;
  budget.calls_per_second = kStoreRate;
  budget.burst_calls = kStoreBurst;
  budget.available_calls = kStoreBurst;
  return budget;
}

std::uint16_t port_of(const Settings& settings, const std::string& name) {
  return static_cast<std::uint16_t>(settings.number(name));
}

std::string session_payload(const EntryIdentity& self, std::uint64_t session,
                            const std::string& caller) {
  proto::SessionToken token;
  token.set_home(self.vm);
  token.set_incarnation(self.incarnation);
  token.set_session(session);
  token.set_caller(caller);
  return token.SerializeAsString();
}

CallOutcome passed_on(const ClientAnswer& answer) {
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
      store_(io, std::move(store), entry_budget()),
      config_([this](const proto::Config& config) { on_config(config); }),
      feed_(io, store_, config_, std::move(vm_list),
            [this](const FleetView& view) { on_view(view); }),
      channel_(io, link_),
      book_(io, store_, identity_.vm, identity_.zone,
            [this](const VmInfo& vm, const proto::RefusalMinute& page) {
              proto::Envelope message = envelope();
              *message.mutable_ledger() = page;
              link_.send(vm.address, static_cast<std::uint16_t>(vm.entry_port),
                         message);
            }) {
  const auto reduce_in_place = [](EntryState& state, const EntryEvent& event,
                                  std::vector<EntryEffect>& effects) {
    EntryStep step = reduce(std::move(state), event);
    state = std::move(step.state);
    effects = std::move(step.effects);
  };
  host_ = std::make_unique<ReducerHost<EntryState, EntryEvent, EntryEffect>>(
      io, initial_entry_state(identity_), reduce_in_place,
      [this](std::vector<EntryEffect>& effects) { perform_all(effects); },
      settings.text("trace"), TraceHead{"entry", identity_, 0});
}

EntryNode::~EntryNode() = default;

Result<std::uint16_t> EntryNode::start() {
  auto bound = link_.start(
      settings_.text("address"), port_of(settings_, "control-port"),
      [this](const std::string& peer, const proto::Envelope& message) {
        on_message(peer, message);
      });
  if (!ok(bound)) return bound;
  channel_.set_head(envelope());
  VmInfo self;
  self.vm = identity_.vm;
  self.zone = identity_.zone;
  self.region = identity_.region;
  self.address = settings_.text("address");
  self.http_port = port_of(settings_, "http-port");
  self.entry_port = value(bound);
  self.dispatch_port = port_of(settings_, "dispatch-port");
  self.incarnation = identity_.incarnation;
  feed_.start(self, settings_.number("vm-list-interval-ms"));
  book_.start(identity_.incarnation);
  co_spawn(io_, tick(), asio::detached);
  co_spawn(io_, seek_config(), asio::detached);
  return bound;
}

proto::Envelope EntryNode::envelope() const {
  proto::Envelope message;
  message.set_version(kEnvelopeVersion);
  message.set_vm(identity_.vm);
  message.set_incarnation(identity_.incarnation);
  message.set_config_revision(config_.revision());
  return message;
}

awaitable<void> EntryNode::tick() {
  while (true) {
    co_await sleep_for(kTick);
    post(EntryTicked{random_number()});
  }
}

// A process that starts while the store is down asks all peers for the
// configuration. Later, while the store does not answer, it asks one peer after
// the other: the first answer may have come from one that lagged itself.
awaitable<void> EntryNode::seek_config() {
  std::size_t turn = random_number() % kPeerTurns;
  while (true) {
    const bool fresh = config_.revision() == 0;
    co_await sleep_for(fresh ? kConfigSeek : kPeerInterval);
    if (!fresh && feed_.store_answers()) continue;
    const std::vector<VmInfo>& vms = feed_.view().vms;
    for (std::size_t i = 0; i < vms.size(); ++i) {
      const bool its_turn = i == turn % vms.size();
      if (vms[i].vm != identity_.vm && (fresh || its_turn)) ask_config(vms[i]);
    }
    turn += 1;
  }
}

void EntryNode::ask_config(const VmInfo& vm) {
  proto::Envelope message = envelope();
  message.set_config_wanted(true);
  link_.send(vm.address, static_cast<std::uint16_t>(vm.entry_port), message);
}

void EntryNode::on_config(const proto::Config& config) {
  plain_config_ = fleet_config_from(config);
  names_.learn(plain_config_);
  channel_.set_head(envelope());
  metrics_.set("config_revision", static_cast<double>(config.revision()));
  post(EntryConfigChanged{plain_config_});
}

void EntryNode::on_view(const FleetView& view) {
  names_.learn(view);
  channel_.set_view(view);
  book_.set_view(view);
  post(EntryViewChanged{view});
}

void EntryNode::on_message(const std::string& peer,
                           const proto::Envelope& message) {
  const auto answer = [&](const proto::Envelope& reply) {
    if (peer.empty()) return;
    link_.reply(peer, reply);
  };
  if (message.has_order()) on_order(message);
  if (message.has_ledger()) book_.take_copy(message.ledger());
  if (message.has_config()) config_.offer(message.config().config());
  if (message.has_hand_over()) {
    post(sessions_from(message.hand_over(), message.vm(), monotonic_now()));
  }
  if (message.has_confirmation()) {
    post(SessionsConfirmed{message.confirmation().home(),
                           message.confirmation().incarnation()});
  }
  const bool newer_here = config_.revision() > message.config_revision();
  if (message.config_wanted() && newer_here) {
    proto::Envelope reply = envelope();
    *reply.mutable_config()->mutable_config() = config_.config();
    const VmInfo* vm = find_vm(feed_.view(), message.vm());
    if (!peer.empty()) {
      answer(reply);
    } else if (vm != nullptr) {
      link_.send(vm->address, static_cast<std::uint16_t>(vm->dispatch_port),
                 reply);
    }
  } else if (message.config_revision() > config_.revision()) {
    proto::Envelope ask = envelope();
    ask.set_config_wanted(true);
    answer(ask);
  }
}

void EntryNode::on_order(const proto::Envelope& message) {
  const std::string& dispatcher = message.vm();
  post(DispatcherMessageReceived{dispatcher, message.order().want_full()});
  for (const proto::Grant& grant : message.order().grants()) {
    const auto reason = static_cast<GrantReason>(std::min<std::uint32_t>(
        grant.reason(), static_cast<std::uint32_t>(GrantReason::kBaseline)));
    post(GrantReceived{dispatcher, grant.request(),
                       names_.name(grant.endpoint()),
                       grant_reason_name(reason)});
  }
  for (const proto::CellCredits& cell : message.order().credits()) {
    CreditsReceived event;
    event.dispatcher = dispatcher;
    event.cell = names_.name(cell.cell());
    for (const proto::Credit& credit : cell.credits()) {
      event.credits.push_back({names_.name(credit.endpoint()),
                               names_.name(credit.model()), credit.count()});
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
  stream->request = next_request();
  streams_[stream->request] = stream;
  return stream;
}

std::shared_ptr<CallWaiter> EntryNode::open_call(std::uint64_t& request) {
  request = next_request();
  auto waiter = std::make_shared<CallWaiter>(io_);
  calls_[request] = waiter;
  return waiter;
}

awaitable<std::string> EntryNode::open_session(std::string caller) {
  const std::uint64_t request = next_request();
  auto waiter = std::make_shared<Signal>(io_);
  session_waiters_[request] = waiter;
  post(SessionRequested{request, caller});
  co_await waiter->wait(kSessionWait);
  session_waiters_.erase(request);
  const auto found = sessions_opened_.find(request);
  if (found == sessions_opened_.end()) co_return std::string();
  const std::uint64_t session = found->second;
  sessions_opened_.erase(found);
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
    std::visit([this](auto& one) { perform(one); }, effect);
  }
}

std::string EntryNode::with_public_id(const std::string& payload,
                                      const CallerStream& stream,
                                      const RelayEvents& effect,
                                      std::string& response) const {
  Result<json::object> parsed = parse_object(payload);
  if (!ok(parsed)) return payload;
  json::object& event = std::get<json::object>(parsed);
  json::value* inner = event.if_contains("response");
  if (inner == nullptr || !inner->is_object()) return payload;
  proto::ResponseToken token;
  token.set_endpoint(effect.endpoint);
  token.set_endpoint_incarnation(effect.endpoint_incarnation);
  token.set_generation(effect.generation_id);
  token.set_caller(stream.caller);
  token.set_service(stream.service);
  token.set_rank(stream.rank);
  inner->as_object()["id"] =
      sign_token(fleet_key_, "resp_", token.SerializeAsString());
  response = json::serialize(*inner);
  return json::serialize(event);
}

void EntryNode::relay_item(CallerStream& stream, const RelayEvents& effect,
                           const StreamEvent& item) {
  stream.next_sequence = item.sequence + 1;
  if (item.kind == StreamEventKind::kToken) {
    if (!stream.wants_stream) return;
    stream.pending += format_sse("response.output_text.delta", item.payload);
    return;
  }
  std::string payload = item.payload;
  std::string response;
  const bool holds_response = item.kind == StreamEventKind::kCreated ||
                              item.kind == StreamEventKind::kCompleted ||
                              item.kind == StreamEventKind::kFailed;
  if (holds_response) {
    payload = with_public_id(item.payload, stream, effect, response);
  }
  if (item.kind == StreamEventKind::kCreated) stream.created = response;
  if (item.kind == StreamEventKind::kCompleted) stream.completed = response;
  if (!stream.wants_stream) return;
  const Result<json::object> parsed = parse_object(payload);
  const std::string type =
      ok(parsed) ? text_member(value(parsed), "type") : std::string();
  stream.pending += format_sse(type, payload);
}

void EntryNode::perform(RelayEvents& effect) {
  const auto found = streams_.find(effect.request);
  if (found == streams_.end()) return;
  CallerStream& stream = *found->second;
  if (stream.detached || stream.overrun) return;
  for (const StreamEvent& item : effect.events) {
    relay_item(stream, effect, item);
  }
  if (stream.pending.size() > kMostPendingBytes) stream.overrun = true;
  stream.signal.notify();
}

void EntryNode::perform(const ConnectEndpoint& effect) {
  EngineCall call;
  call.request = effect.request;
  call.attempt = effect.attempt;
  call.target = endpoint_target(effect.endpoint);
  call.generation = effect.generation_id;
  call.starting_after = effect.starting_after;
  const auto stream = streams_.find(effect.request);
  if (stream != streams_.end() && effect.generation_id.empty()) {
    // The body ends with a brace; the priority goes in as its last member.
    call.body = stream->second->engine_body;
    call.body.pop_back();
    call.body += ",\"priority\":" + std::to_string(effect.priority) + "}";
  }
  auto connection = std::make_shared<HttpConnection>(io_);
  connections_[effect.request] = connection;
  co_spawn(io_,
           run_engine_stream(
               connection, std::move(call),
               [this](EntryEvent event) { host_->post(std::move(event)); }),
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
           exchange(io_, endpoint_target(effect.endpoint), std::move(request),
                    kCancelTimeout),
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
                                    bool to_home) {
  const ClientAnswer answer =
      co_await exchange(io_, target, std::move(message), timeout);
  CallEnded ended;
  ended.request = request;
  ended.sent = answer.sent;
  ended.answered = answer.answered;
  if (answer.answered) {
    ended.outcome = passed_on(answer);
    // The home alone knows whether its call ran.
    if (to_home) ended.outcome.ran = execution_status_from_name(answer.ran);
    ended.retry_after = answer.retry_after;
  } else if (to_home) {
    const RefusalKind kind =
        answer.sent ? RefusalKind::kTimedOut : RefusalKind::kStopping;
    ended.outcome = {
        answer.sent ? ExecutionStatus::kUnknown : ExecutionStatus::kNotExecuted,
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
                    std::max(effect.timeout, kCallConnectTimeout), false),
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
  constexpr Millis kHomeTimeout = 35 * kSecond;
  co_spawn(
      io_,
      run_call(effect.request, target, std::move(message), kHomeTimeout, true),
      asio::detached);
}

awaitable<void> EntryNode::claim(ClaimKey effect) {
  proto::ClaimRecord record;
  record.set_vm(identity_.vm);
  record.set_incarnation(identity_.incarnation);
  record.set_request(effect.request);
  StoreSwap change;
  change.key = kClaimPrefix + effect.caller + "/" + sha256_hex(effect.key);
  change.value = record.SerializeAsString();
  ClaimAnswered answer;
  answer.request = effect.request;
  // An answer may be lost after the claim took effect; the second try finds
  // the claim and tells whose it is.
  for (int i = 0; i < 2; ++i) {
    const auto outcome = co_await store_.swap(change, StorePriority::kClaim);
    if (!ok(outcome)) continue;
    if (value(outcome).swapped) {
      answer.result = ClaimResult::kClaimed;
      break;
    }
    answer.result = ClaimResult::kAlreadyClaimed;
    proto::ClaimRecord present;
    if (value(outcome).present &&
        present.ParseFromString(value(outcome).present->value)) {
      answer.owned_here = present.vm() == identity_.vm &&
                          present.incarnation() == identity_.incarnation;
    }
    break;
  }
  post(answer);
}

void EntryNode::perform(const ClaimKey& effect) {
  co_spawn(io_, claim(effect), asio::detached);
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
  sessions_opened_[effect.request] = effect.session;
  waiter->second->notify();
}

void EntryNode::perform(const CountRefusal& effect) {
  metrics_.count_refusal(effect.labels);
  book_.count(effect);
}

void EntryNode::perform(const RecordExplanation& effect) {
  explanations_.add(effect.request, effect.code, effect.detail);
  metrics_.count(effect.code);
}

void EntryNode::perform(const Observe& effect) { metrics_.observe(effect); }

awaitable<void> EntryNode::announce(AnnounceLeaving effect) {
  const std::string successor = effect.successor;
  const bool recorded = co_await feed_.announce_leaving(
      std::move(effect.successor), std::move(effect.homes));
  log(LogLevel::kInfo, "leaving",
      {{"successor", successor}, {"recorded", recorded ? "yes" : "no"}});
  post(SuccessorRecorded{recorded, successor});
}

void EntryNode::perform(const AnnounceLeaving& effect) {
  stopping_ = true;
  co_spawn(io_, announce(effect), asio::detached);
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

awaitable<void> EntryNode::finish_process() {
  co_await book_.write_due(true);
  co_await feed_.deregister();
  log(LogLevel::kInfo, "stopped");
  io_.stop();
}

void EntryNode::perform(const ExitProcess& /*effect*/) {
  co_spawn(io_, finish_process(), asio::detached);
}

}  // namespace peridotreach
