#include "peridot-router/router_node.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libperidotreach/routing/endpoint_choice.h"
#include "peridot-router/caller_session.h"
#include "runtime/clock.h"
#include "runtime/http_server.h"
#include "runtime/log.h"

namespace peridotreach {
namespace {

// Interval at which time-outs, moves and digests are looked at.
constexpr Millis kTick = 40;

// Callers keep using addresses for a while after a stop has begun. Then the
// process takes no further connections.
constexpr Millis kAcceptAfterStop = 3 * kSecond;

// Time before the grace is over at which the process ends whatever still runs.
constexpr Millis kStopMargin = 400;

// Idle connections are closed once callers have had time to hear that this
// process leaves.
constexpr Millis kIdleAfterStop = 1500;

// Time for an endpoint to copy a generation's memory.
constexpr Millis kCopyTimeout = 4 * kSecond;

constexpr Millis kFreeTimeout = kSecond;

// Interval at which engines are asked for their state while the store is away,
// a sixth of the shortest notice that they give, and the time for an answer.
constexpr Millis kReportInterval = 300;
constexpr Millis kReportTimeout = 500;

// Breaks below this are not told to peers.
constexpr double kLeastToldBreaks = 0.25;

// Requests are told in steps of this many, so that traffic alone does not make
// a digest.
constexpr std::uint32_t kToldRequests = 8;

PeerRecord record_of(const RouterSettings& settings,
                     std::uint64_t incarnation) {
  return {settings.vm, settings.zone, place_of(settings.link),
          place_of(settings.callers), incarnation};
}

RoutingSelf self_of(const RouterSettings& settings) {
  return {settings.vm, settings.zone, settings.retries};
}

}  // namespace

RouterNode::RouterNode(asio::io_context& io, RouterSettings settings,
                       WireFormat wire, TableFormat tables,
                       std::uint64_t incarnation)
    : io_(io),
      settings_(std::move(settings)),
      wire_(std::move(wire)),
      table_format_(std::move(tables)),
      state_(initial_routing_state(self_of(settings_))),
      peers_(
          io, record_of(settings_, incarnation),
          PeerHandlers{
              [this](const PeerUseArrived& use) { post(use); },
              [this](const std::string& vm) { post(PeerLost{vm}); },
              [this](const TurnGranted& turn) { post(turn); },
              [this](const TurnQueued& turn) { post(turn); },
              [this](const EndpointNotice& notice) { post(notice); },
              [this](const RoomAsked& room) { post(room); },
              [this](const RoomAnswered& room) { post(room); },
              [this](const std::string& table, const SharedTableState& state) {
                replace(table, state);
              },
              [this](const std::string& table, const std::string& key,
                     const std::string* value, std::uint64_t revision) {
                apply_change(table, key, value, revision);
              },
              [this](const std::string& table) -> const SharedTableState& {
                return tables_[table];
              }}) {}

RouterNode::~RouterNode() = default;

Result<std::uint16_t> RouterNode::start() {
  auto link = peers_.start(settings_.link, settings_.seeds);
  if (!ok(link)) return link;
  Result<tcp::acceptor> callers =
      listen_on(io_, settings_.callers.address, settings_.callers.port);
  if (!ok(callers)) return error(callers);
  acceptor_ = std::make_shared<tcp::acceptor>(
      std::get<tcp::acceptor>(std::move(callers)));
  co_spawn(io_, accept_callers(), asio::detached);
  auto directory = start_http_server(
      io_, settings_.directory.address, settings_.directory.port, {},
      [this](HttpExchange& exchange) { return answer_address(exchange); });
  if (!ok(directory)) return directory;
  auto readiness = start_http_server(
      io_, settings_.readiness.address, settings_.readiness.port, {},
      [this](HttpExchange& exchange) { return answer_readiness(exchange); });
  if (!ok(readiness)) return readiness;
  co_spawn(io_, keep_time(), asio::detached);
  return readiness;
}

awaitable<void> RouterNode::accept_callers() {
  const std::shared_ptr<tcp::acceptor> acceptor = acceptor_;
  while (true) {
    error_code failed;
    tcp::socket socket = co_await acceptor->async_accept(
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed == asio::error::operation_aborted) co_return;
    if (failed) {
      // Out of descriptors or memory: room comes when connections end.
      log(LogLevel::kWarning, "accept_failed", {{"cause", failed.message()}});
      co_await sleep_for(kTick);
      continue;
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto session = std::make_shared<CallerSession>(std::move(socket), *this);
    std::erase_if(sessions_, [](const auto& held) { return held.expired(); });
    sessions_.push_back(session);
    co_spawn(io_, session->run(), asio::detached);
  }
}

awaitable<void> RouterNode::keep_time() {
  asio::steady_timer timer(io_);
  while (true) {
    timer.expires_after(std::chrono::milliseconds(kTick));
    error_code failed;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed) co_return;
    const Millis now = monotonic_now();
    post(RoutingTicked{});
    tell_peers(now);
    flush_log();
    if (stopping()) tend_stop(now);
    ask_endpoints(now);
  }
}

// While no process reaches the store, nobody hears which engines leave. Those
// that are in use are asked, each by one process.
void RouterNode::ask_endpoints(Millis now) {
  if (!store_is_away(peers_.view(), state_.store_reachable, now)) return;
  if (now - endpoints_asked_ < kReportInterval) return;
  endpoints_asked_ = now;
  for (const auto& [id, endpoint] : state_.endpoints) {
    const bool is_used = endpoint.own.running + endpoint.peers.running > 0;
    if (!is_used || endpoint.leaving_since != 0) continue;
    if (engine_of(state_, endpoint.entry.service) == nullptr) continue;
    if (!peers_.asks_endpoint(id, now)) continue;
    const HttpTarget target{endpoint.entry.address, endpoint.entry.port};
    co_spawn(io_, ask_endpoint(id, target), asio::detached);
  }
}

awaitable<void> RouterNode::ask_endpoint(std::string id, HttpTarget target) {
  ClientRequest request = wire_.report_request();
  const ClientAnswer answer =
      co_await exchange(io_, target, std::move(request), kReportTimeout);
  if (!answer.answered || !wire_.decode_report(answer.body).leaving) co_return;
  peers_.tell_notice(id);
  post(EndpointNotice{id});
}

void RouterNode::tell_peers(Millis now) {
  peers_.tick(
      state_.store_reachable, [this] { return own_digest(); }, now);
}

OwnDigest RouterNode::own_digest() const {
  OwnDigest own;
  own.ready = ready();
  own.stopping = stopping();
  own.reads_store = state_.store_reachable;
  for (const auto& [id, endpoint] : state_.endpoints) {
    const EndpointUse& use = endpoint.own;
    const double breaks = breaks_at(endpoint, state_.now);
    const bool is_used =
        use.running > 0 || use.copies > 0 || breaks > kLeastToldBreaks;
    if (!is_used) continue;
    own.uses.push_back(use);
    // Coarse, so that decay alone does not make a digest.
    own.uses.back().breaks =
        std::floor(breaks / kLeastToldBreaks) * kLeastToldBreaks;
  }
  for (const auto& [service, budget] : state_.budgets) {
    const RepeatCounts counts =
        counts_at(budget, state_.self.retries, state_.now);
    own.repeats.push_back({service,
                           counts.requests / kToldRequests * kToldRequests,
                           counts.repeats});
  }
  for (const auto& [route, output] : state_.finished) {
    own.finished.push_back(output);
  }
  for (const auto& [fingerprint, suspect] : state_.suspects.suspects) {
    own.suspects.emplace_back(fingerprint, suspect.deaths);
  }
  return own;
}

bool RouterNode::ready() const {
  return state_.manifest.has_value() && !stopping() &&
         !state_.endpoints.empty();
}

const CallerLimits& RouterNode::caller_limits() const {
  return state_.manifest ? state_.manifest->limits : default_limits_;
}

void RouterNode::stop(std::function<void()> on_stopped) {
  if (stopping()) return;
  stopping_since_ = monotonic_now();
  on_stopped_ = std::move(on_stopped);
  log(LogLevel::kInfo, "stopping",
      {{"in_flight", std::to_string(exchanges_.size())}});
  tell_peers(stopping_since_);
}

void RouterNode::tend_stop(Millis now) {
  const Millis since = now - stopping_since_;
  if (since >= kIdleAfterStop) {
    for (const auto& held : sessions_) {
      if (const auto session = held.lock()) session->close_if_idle();
    }
  }
  if (since >= kAcceptAfterStop && acceptor_->is_open()) {
    error_code ignored;
    acceptor_->close(ignored);
  }
  const bool idle = since >= kAcceptAfterStop && exchanges_.empty();
  if (!idle && since < settings_.stop_grace - kStopMargin) return;
  if (!on_stopped_) return;
  log(LogLevel::kInfo, "stopped",
      {{"in_flight", std::to_string(exchanges_.size())}});
  flush_log();
  std::exchange(on_stopped_, nullptr)();
}

awaitable<void> RouterNode::answer_address(HttpExchange& exchange) {
  const std::string& zone = exchange.request().parameter("zone");
  const PeerRecord* self = ready() ? &peers_.self() : nullptr;
  const std::vector<std::string> addresses =
      caller_addresses(peers_.view(), self, zone, monotonic_now());
  HttpResponse response =
      wire_.address_answer(addresses, settings_.address_life);
  co_await exchange.respond(std::move(response));
}

awaitable<void> RouterNode::answer_readiness(HttpExchange& exchange) {
  HttpResponse response;
  if (exchange.request().path == "/metrics") {
    metrics_.set("requests_in_flight", static_cast<double>(exchanges_.size()));
    metrics_.set("endpoints", static_cast<double>(state_.endpoints.size()));
    metrics_.set("peers", static_cast<double>(peers_.view().peers.size()));
    metrics_.set(
        "manifest_version",
        state_.manifest ? static_cast<double>(state_.manifest->version) : 0);
    response = text_response(200, metrics_.text());
  } else {
    response = text_response(ready() ? 200 : 503, ready() ? "ready\n" : "\n");
  }
  co_await exchange.respond(std::move(response));
}

void RouterNode::set_reads_store(bool reads) { post(StoreSeen{reads}); }

bool RouterNode::doubts_store(Millis since) const {
  return state_.store_reachable &&
         peer_lost_store(peers_.view(), since, monotonic_now());
}

void RouterNode::reload(const RouterSettings& settings) {
  settings_.retries = settings.retries;
  settings_.stop_grace = settings.stop_grace;
  settings_.seeds = settings.seeds;
  peers_.set_seeds(settings.seeds);
  post(AllowanceChanged{settings.retries});
}

bool RouterNode::follows_tables() const {
  return peridotreach::follows_tables(peers_.view(), peers_.self(),
                                      state_.store_reachable, monotonic_now());
}

std::uint64_t RouterNode::table_revision(const std::string& table) {
  return tables_[table].revision;
}

void RouterNode::change_item(const std::string& table, const std::string& key,
                             const std::string* value, std::uint64_t revision) {
  peers_.note_change(table, key, tables_[table].revision);
  apply_change(table, key, value, revision);
}

void RouterNode::apply_change(const std::string& table, const std::string& key,
                              const std::string* value,
                              std::uint64_t revision) {
  peridotreach::change_item(
      tables_[table], key, value, revision,
      [&](const std::string& changed, const std::string* now) {
        on_item(table, changed, now);
      });
}

void RouterNode::replace(const std::string& table,
                         const SharedTableState& state) {
  replace_table(tables_[table], state,
                [&](const std::string& changed, const std::string* now) {
                  on_item(table, changed, now);
                });
}

void RouterNode::on_item(const std::string& table, const std::string& key,
                         const std::string* value) {
  if (table == kManifestTable) {
    if (value == nullptr) return;
    const Result<Manifest> manifest = table_format_.manifest(*value);
    if (!ok(manifest)) {
      log(LogLevel::kError, "manifest_unreadable",
          {{"cause", describe(error(manifest))}});
      return;
    }
    post(ManifestTaken{peridotreach::value(manifest)});
    return;
  }
  if (table != kEndpointTable) return;
  if (value == nullptr) {
    post(EndpointUnlisted{key});
    return;
  }
  const Result<EndpointEntry> entry = table_format_.endpoint(key, *value);
  if (!ok(entry)) {
    log(LogLevel::kWarning, "endpoint_entry_unreadable",
        {{"key", key}, {"cause", describe(error(entry))}});
    return;
  }
  post(EndpointListed{peridotreach::value(entry)});
}

std::shared_ptr<Exchange> RouterNode::open_exchange(RawRequest request) {
  auto exchange =
      std::make_shared<Exchange>(io_, next_request_++, std::move(request));
  exchanges_[exchange->key()] = exchange;
  return exchange;
}

void RouterNode::start_exchange(const std::shared_ptr<Exchange>& exchange) {
  CallerRequest facts = wire_.decode_request(exchange->request());
  exchange->set_id(facts.id);
  post(RequestArrived{exchange->key(), std::move(facts)});
}

void RouterNode::close_exchange(const Exchange& exchange) {
  exchanges_.erase(exchange.key());
}

void RouterNode::caller_left(const Exchange& exchange) {
  post(CallerDisconnected{exchange.key()});
}

std::shared_ptr<Exchange> RouterNode::find_exchange(
    std::uint64_t request) const {
  const auto found = exchanges_.find(request);
  return found == exchanges_.end() ? nullptr : found->second;
}

// Events that effects bring about are reduced after the present one.
void RouterNode::post(decltype(RoutingEvent::body) body) {
  pending_.push_back(std::move(body));
  if (reducing_) return;
  reducing_ = true;
  for (std::size_t i = 0; i < pending_.size(); ++i) {
    RoutingEvent event;
    event.at = monotonic_now();
    event.random = random_number();
    event.body = std::move(pending_[i]);
    RoutingStep step = reduce(std::move(state_), event);
    state_ = std::move(step.state);
    for (RoutingEffect& effect : step.effects) {
      std::visit([this](auto& body) { perform(body); }, effect);
    }
  }
  pending_.clear();
  reducing_ = false;
}

void RouterNode::perform(StartAttempt& effect) {
  const auto exchange = find_exchange(effect.request);
  if (exchange == nullptr) return;
  auto attempt = std::make_shared<EndpointAttempt>(io_);
  const AttemptKey key{effect.request, effect.attempt};
  attempt->order = std::move(effect);
  attempts_[key] = attempt;
  const auto ended = [this, key](const std::exception_ptr&) {
    attempts_.erase(key);
  };
  co_spawn(io_,
           run_attempt(attempt, exchange, wire_,
                       [this](decltype(RoutingEvent::body) body) {
                         post(std::move(body));
                       }),
           ended);
}

void RouterNode::perform(const DropAttempt& effect) {
  const auto found = attempts_.find({effect.request, effect.attempt});
  if (found == attempts_.end()) return;
  found->second->dropped = true;
  found->second->connection.close();
}

void RouterNode::perform(const DeliverAnswer& effect) {
  const auto exchange = find_exchange(effect.request);
  const auto attempt = attempts_.find({effect.request, effect.attempt});
  if (exchange == nullptr || attempt == attempts_.end()) return;
  metrics_.observe(effect.first_byte);
  exchange->answer(std::move(attempt->second->answer));
}

void RouterNode::perform(const RelayStream& effect) {
  const auto exchange = find_exchange(effect.request);
  const auto attempt = attempts_.find({effect.request, effect.attempt});
  if (exchange == nullptr || attempt == attempts_.end()) return;
  if (effect.first_byte) metrics_.observe(*effect.first_byte);
  exchange->open_stream(attempt->second->answer);
}

void RouterNode::perform(const FinishStream& effect) {
  if (const auto exchange = find_exchange(effect.request)) exchange->finish();
}

void RouterNode::perform(const AnswerCaller& effect) {
  const auto exchange = find_exchange(effect.request);
  if (exchange == nullptr) return;
  CallerAnswer answer;
  answer.status = effect.status;
  answer.headers = wire_.own_headers(exchange->request(), effect.retry_after);
  answer.body = effect.reason + "\n";
  exchange->answer(std::move(answer));
}

void RouterNode::perform(const BreakOff& effect) {
  if (const auto exchange = find_exchange(effect.request)) {
    exchange->break_off();
  }
}

void RouterNode::perform(const CopyGeneration& effect) {
  const auto exchange = find_exchange(effect.request);
  if (exchange == nullptr) return;
  co_spawn(io_, copy(effect, exchange->id()), asio::detached);
}

awaitable<void> RouterNode::copy(CopyGeneration order, std::string id) {
  ClientRequest request = wire_.copy_request(order, id);
  const HttpTarget target{order.address, order.port};
  const ClientAnswer answer =
      co_await exchange(io_, target, std::move(request), kCopyTimeout);
  CopyAnswered event;
  event.request = order.request;
  if (answer.answered) {
    const CopyFacts facts = wire_.decode_copy(answer.body);
    event.status = answer.status;
    event.handle = facts.handle;
    event.events_made = facts.events_made;
  }
  post(std::move(event));
}

void RouterNode::perform(const AskTurn& effect) {
  peers_.ask_turn(effect, monotonic_now());
}

void RouterNode::perform(const EndTurn& effect) {
  peers_.end_turn(effect, monotonic_now());
}

void RouterNode::perform(const AskRoom& effect) {
  peers_.ask_room(effect, monotonic_now());
}

void RouterNode::perform(const AnswerRoom& effect) {
  peers_.answer_room(effect);
}

void RouterNode::perform(const FreeCopy& effect) {
  co_spawn(io_, free_copy(effect), asio::detached);
}

awaitable<void> RouterNode::free_copy(FreeCopy order) {
  ClientRequest request = wire_.free_request(order);
  const HttpTarget target{order.address, order.port};
  co_await exchange(io_, target, std::move(request), kFreeTimeout);
}

void RouterNode::perform(const RecordDecision& effect) {
  metrics_.count(effect);
  std::vector<LogField> fields;
  if (effect.request != 0) {
    fields.push_back({"request", std::to_string(effect.request)});
    if (const auto exchange = find_exchange(effect.request)) {
      fields.push_back({"id", exchange->id()});
    }
  }
  for (const DecisionField& field : effect.fields) {
    if (field.name == "id" && effect.request != 0) continue;
    fields.push_back({field.name, field.value});
  }
  log(LogLevel::kInfo, effect.decision, fields);
}

}  // namespace peridotreach
