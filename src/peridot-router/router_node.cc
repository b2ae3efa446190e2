#include "peridot-router/router_node.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "libperidotreach/routing/endpoint_choice.h"
#include "libperidotreach/routing/item_order.h"
#include "libperidotreach/routing/notice_polls.h"
#include "peridot-router/caller_session.h"
#include "peridot-router/quarantine_codec.h"
#include "runtime/clock.h"
#include "runtime/http_server.h"
#include "runtime/log.h"

namespace peridotreach {
namespace {

// Interval at which timeouts, moves of generations and digests are checked.
constexpr Millis kTickInterval = 40;

// Time for an endpoint to copy the KV cache of a generation.
constexpr Millis kCopyTimeout = 4 * kSecond;

// Time for an endpoint to free a copy.
constexpr Millis kFreeCopyTimeout = kSecond;

constexpr unsigned kUnavailableStatus = 503;

constexpr std::size_t kMaxQueryBodyBytes = 4U << 10U;

// Interval at which engines are polled for their state while the store may not
// bring their notices: a sixth of the shortest notice that they give.
constexpr Millis kReportPollInterval = 300;

// Delay before an engine that closed the connection is polled again.
constexpr Millis kRepeatedPollDelay = 20;

// Time for an engine to answer such a poll.
constexpr Millis kReportTimeout = 500;

// Endpoints that are not in use are reported to peers only if their decaying
// count of transport failures exceeds this. The count is sent in steps of it.
constexpr double kMinReportedFailures = 0.25;

// Step in which numbers of requests are sent to peers, so that not every
// request changes the digest.
constexpr std::uint32_t kReportedRequestsStep = 8;

// Returns the limits of requests for addresses, readiness and metrics, which
// have no body.
HttpLimits query_limits(const RouterSettings& settings) {
  HttpLimits limits;
  limits.body_bytes = kMaxQueryBodyBytes;
  limits.connections = query_socket_limit(settings.socket_limit);
  return limits;
}

PeerRecord record_of(const RouterSettings& settings,
                     std::uint64_t incarnation) {
  return {settings.vm,
          settings.zone,
          format_host_port(settings.link_listen),
          format_host_port(settings.caller_listen),
          incarnation,
          settings.processor_share,
          settings.tunnel_port};
}

RoutingConfig routing_config_of(const RouterSettings& settings) {
  return {settings.vm, settings.zone, settings.retry_limits};
}

}  // namespace

RouterNode::RouterNode(asio::io_context& io, RouterSettings settings,
                       WireFormat wire_format, TableDecoders table_decoders,
                       std::uint64_t incarnation)
    : io_(io),
      settings_(std::move(settings)),
      wire_format_(std::move(wire_format)),
      table_decoders_(std::move(table_decoders)),
      state_(initial_routing_state(routing_config_of(settings_))),
      peers_(io, record_of(settings_, incarnation),
             PeerHandlers{
                 [this](const PeerReportReceived& report) { post(report); },
                 [this](const PromptReportReceived& report) { post(report); },
                 [this](const std::string& vm) { post(PeerLost{vm}); },
                 [this](const EndpointLeaving& notice) { post(notice); },
                 [this](bool is_reachable) {
                   post(StoreReachabilityChanged{is_reachable});
                 },
                 [this](std::uint64_t era) { see_store_era(era); },
                 coordination_handlers(), table_handlers()}),
      tunnels_(io, tunnel_handlers()) {
  update_memory_shares();
}

CoordinationHandlers RouterNode::coordination_handlers() {
  return {[this](const CopyLeaseGranted& lease) { post(lease); },
          [this](const CopyLeaseQueued& lease) { post(lease); },
          [this](const PlacementRequested& request) { post(request); },
          [this](const PlacementAnswered& answer) { post(answer); },
          [this](const ForwardedPlacementGranted& grant) { post(grant); },
          [this](const PermitsRequested& request) { post(request); },
          [this](const PermitsAnswered& answer) { post(answer); }};
}

TableHandlers RouterNode::table_handlers() {
  return {
      [this](const std::string& table, const SharedTableState& state,
             const std::string& source) {
        install_snapshot(table, state, source);
      },
      [this](const std::string& table, const std::vector<ItemChange>& changes,
             const std::string& source) {
        apply_changes(table, changes, source);
      },
      [this](const std::string& table) -> const SharedTableState& {
        return tables_[table];
      }};
}

RouterNode::~RouterNode() = default;

Result<std::uint16_t> RouterNode::start() {
  auto link = peers_.start(settings_.link_listen, settings_.seeds);
  if (!ok(link)) return link;
  Result<tcp::acceptor> callers = listen_on(
      io_, settings_.caller_listen.address, settings_.caller_listen.port);
  if (!ok(callers)) return error(callers);
  acceptor_ = std::make_shared<tcp::acceptor>(
      std::get<tcp::acceptor>(std::move(callers)));
  co_spawn(io_, accept_callers(), asio::detached);
  auto directory = start_http_server(
      io_, settings_.directory_listen.address, settings_.directory_listen.port,
      query_limits(settings_),
      [this](HttpExchange& exchange) { return serve_addresses(exchange); });
  if (!ok(directory)) return directory;
  auto readiness = start_http_server(
      io_, settings_.readiness_listen.address, settings_.readiness_listen.port,
      query_limits(settings_), [this](HttpExchange& exchange) {
        return serve_readiness_and_metrics(exchange);
      });
  if (!ok(readiness)) return readiness;
  if (settings_.tunnel_port != 0) {
    auto tunnels = tunnels_.start(
        {settings_.caller_listen.address, settings_.tunnel_port});
    if (!ok(tunnels)) return tunnels;
  }
  co_spawn(io_, run_timer(), asio::detached);
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
      // The process is out of file descriptors or memory. Both become free when
      // connections end, so it tries again after a pause.
      log(LogLevel::kWarning, "accept_failed", {{"cause", failed.message()}});
      co_await sleep_for(kTickInterval);
      continue;
    }
    start_session(std::move(socket));
  }
}

void RouterNode::start_session(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  std::erase_if(sessions_, [](const auto& weak) { return weak.expired(); });
  if (!make_room_for_socket()) {
    // All connections are in use; the new one is closed.
    perform(RecordDecision{"connection_refused", 0, {{"reason", "sockets"}}});
    return;
  }
  auto session = std::make_shared<CallerSession>(std::move(socket),
                                                 next_session_++, *this);
  sessions_.push_back(session);
  co_spawn(io_, session->run(), asio::detached);
}

// Closing the acceptor resets connections that the kernel has established, so
// those are accepted first.
void RouterNode::close_acceptor() {
  error_code failed;
  acceptor_->non_blocking(true, failed);
  while (!failed) {
    tcp::socket socket = acceptor_->accept(failed);
    if (!failed) start_session(std::move(socket));
  }
  error_code ignored;
  acceptor_->close(ignored);
}

awaitable<void> RouterNode::run_timer() {
  asio::steady_timer timer(io_);
  while (true) {
    timer.expires_after(std::chrono::milliseconds(kTickInterval));
    error_code failed;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, failed));
    if (failed) co_return;
    const Millis now = monotonic_now();
    post(RoutingTicked{});
    notify_peers(now);
    flush_log();
    if (stopping()) advance_shutdown(now);
    poll_endpoints(now);
  }
}

// Each engine is asked by one process.
void RouterNode::poll_endpoints(Millis now) {
  if (now - endpoints_polled_at_ < kReportPollInterval) return;
  const NoticeDelivery delivery{
      is_store_unreachable(peers_.view(), state_.store_reachable, now),
      peers_.confirmation_age(now)};
  std::vector<std::string> engines = engines_to_ask(state_, delivery);
  std::erase_if(engines, [&](const std::string& id) {
    return !peers_.polls_endpoint(id, now);
  });
  log_polling(!engines.empty(), delivery);
  if (engines.empty()) return;
  endpoints_polled_at_ = now;
  for (const std::string& id : engines) {
    const EndpointEntry& entry = state_.endpoints.at(id).entry;
    const HttpTarget target{entry.address, entry.port};
    co_spawn(io_, poll_endpoint(id, target), asio::detached);
  }
}

void RouterNode::log_polling(bool is_polling, const NoticeDelivery& delivery) {
  if (is_polling == is_polling_) return;
  is_polling_ = is_polling;
  log(LogLevel::kInfo,
      is_polling ? "notice_polls_started" : "notice_polls_ended",
      {{"store_unreachable", delivery.store_unreachable ? "true" : "false"},
       {"confirmation_age_ms", delivery.confirmation_age
                                   ? std::to_string(*delivery.confirmation_age)
                                   : "none"}});
}

awaitable<void> RouterNode::poll_endpoint(std::string id, HttpTarget target) {
  PollResult result = PollResult::kAskAgain;
  for (int answers = 1; result == PollResult::kAskAgain; ++answers) {
    if (answers > 1) co_await sleep_for(kRepeatedPollDelay);
    ClientRequest request = wire_format_.report_request();
    const ClientResponse response =
        co_await call_endpoint(target, std::move(request), kReportTimeout);
    if (!response.complete) co_return;
    const PollAnswer answer{wire_format_.decode_report(response.body).leaving,
                            response.closes_connection};
    result = poll_result(answer, answers);
    if (!answer.closes_connection) continue;
    log(LogLevel::kInfo, "engine_closes",
        {{"endpoint", id},
         {"answers", std::to_string(answers)},
         {"state_says_leaving", answer.says_leaving ? "true" : "false"}});
  }
  if (result != PollResult::kLeaves) co_return;
  on_endpoint_leaving(id);
}

void RouterNode::notify_peers(Millis now) {
  peers_.tick(
      state_.store_reachable, [this] { return local_digest(); }, now);
}

LocalDigest RouterNode::local_digest() const {
  LocalDigest digest;
  digest.ready = ready();
  digest.stopping = stopping();
  digest.store_reachable = state_.store_reachable;
  PeerReportReceived& report = digest.report;
  // Relays add up the reports of many processes that have few requests each.
  const std::uint32_t step =
      peers_.topology().uses_relays ? 1 : kReportedRequestsStep;
  for (const auto& [id, endpoint] : state_.endpoints) {
    const EndpointUsage& usage = endpoint.own_usage;
    const double failures = transport_failures_at(endpoint, state_.now);
    const bool is_used = usage.running_requests > 0 ||
                         usage.incoming_copies > 0 ||
                         failures > kMinReportedFailures;
    if (!is_used) continue;
    report.endpoint_usage.push_back(usage);
    // Rounded down to steps, so that not every bit of decay changes the digest.
    report.endpoint_usage.back().transport_failures =
        std::floor(failures / kMinReportedFailures) * kMinReportedFailures;
  }
  for (const auto& [service, budget] : state_.retry_budgets) {
    const RetryCounts counts =
        retry_counts_at(budget, state_.config.retry_limits, state_.now);
    report.retry_counts.push_back(
        {service, counts.requests / step * step, counts.retries});
  }
  for (const auto& [route, output] : state_.finished_outputs) {
    report.finished_outputs.push_back(output);
  }
  for (const auto& [fingerprint, suspect] : state_.quarantine.suspects) {
    report.suspects.emplace_back(fingerprint, suspect.crashes);
  }
  report.limits = reported_limits(state_);
  report.speeds = reported_speeds(state_);
  digest.prompts = make_report(state_.prompt_quarantine,
                               peers_.topology().is_relay, state_.now);
  return digest;
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
  on_stopped_ = std::move(on_stopped);
  log(LogLevel::kInfo, "stopping",
      {{"in_flight", std::to_string(exchanges_.size())}});
  post(StopRequested{settings_.stop_grace});
  notify_peers(monotonic_now());
}

bool RouterNode::has_open_requests() const {
  if (!exchanges_.empty() || tunnels_.open_tunnels() > 0) return true;
  return std::any_of(sessions_.begin(), sessions_.end(), [](const auto& weak) {
    const auto session = weak.lock();
    return session != nullptr && session->has_open_request();
  });
}

void RouterNode::advance_shutdown(Millis now) {
  const StopSchedule& schedule = state_.stop->schedule;
  const Millis elapsed = now - state_.stop->started_at;
  if (elapsed >= schedule.close_idle_after) {
    for (const auto& weak : sessions_) {
      if (const auto session = weak.lock()) session->close_if_idle();
    }
  }
  if (elapsed >= schedule.accept_until && acceptor_->is_open())
    close_acceptor();
  const bool idle = elapsed >= schedule.end_after && !has_open_requests();
  if (!idle && elapsed < schedule.end_by) return;
  if (!on_stopped_) return;
  log(LogLevel::kInfo, "stopped",
      {{"in_flight", std::to_string(exchanges_.size())}});
  flush_log();
  std::exchange(on_stopped_, nullptr)();
}

awaitable<void> RouterNode::serve_addresses(HttpExchange& exchange) {
  const std::string& zone = exchange.request().parameter("zone");
  const PeerRecord* self = ready() ? &peers_.self() : nullptr;
  const std::vector<std::string> addresses = caller_addresses(
      peers_.view(), self, zone, monotonic_now(), random_number());
  HttpResponse response =
      wire_format_.address_response(addresses, settings_.address_ttl);
  co_await exchange.respond(std::move(response));
}

awaitable<void> RouterNode::serve_readiness_and_metrics(
    HttpExchange& exchange) {
  HttpResponse response;
  if (exchange.request().path == "/metrics") {
    metrics_.set_gauge("requests_in_flight",
                       static_cast<double>(exchanges_.size()));
    metrics_.set_gauge("caller_connections",
                       static_cast<double>(sessions_.size()));
    metrics_.set_gauge("request_bytes",
                       static_cast<double>(memory_.request_bytes));
    metrics_.set_gauge("response_bytes",
                       static_cast<double>(memory_.responses.total));
    metrics_.set_gauge("endpoints",
                       static_cast<double>(state_.endpoints.size()));
    metrics_.set_gauge("closed_zones",
                       static_cast<double>(state_.closed_zones.size()));
    metrics_.set_gauge("slow_endpoints",
                       static_cast<double>(slow_endpoint_count(state_)));
    metrics_.set_gauge("cold_endpoints",
                       static_cast<double>(std::count_if(
                           state_.endpoints.begin(), state_.endpoints.end(),
                           [&](const auto& entry) {
                             return cold_rate(state_, entry.second).has_value();
                           })));
    metrics_.set_gauge("peers",
                       static_cast<double>(peers_.view().peers.size()));
    metrics_.set_gauge("endpoint_path_lost",
                       state_.endpoint_path.lost_since != 0 ? 1 : 0);
    metrics_.set_gauge("open_tunnels",
                       static_cast<double>(tunnels_.open_tunnels()));
    metrics_.set_gauge("notice_polls", is_polling_ ? 1 : 0);
    metrics_.set_gauge(
        "manifest_version",
        state_.manifest ? static_cast<double>(state_.manifest->version) : 0);
    response = text_response(200, metrics_.text());
  } else {
    response = text_response(ready() ? 200 : 503, ready() ? "ready\n" : "\n");
  }
  co_await exchange.respond(std::move(response));
}

void RouterNode::set_store_reachable(bool is_reachable) {
  // A call that succeeds after a restoration of the store says nothing about
  // tables that were read before.
  if (!is_reachable || has_current_tables()) {
    peers_.record_store_call(is_reachable, state_.store_reachable,
                             monotonic_now());
  }
  post(StoreReachabilityChanged{is_reachable});
}

bool RouterNode::should_recheck_store(Millis since) const {
  return state_.store_reachable &&
         peer_lost_store(peers_.view(), since, monotonic_now());
}

void RouterNode::apply_settings(const RouterSettings& settings) {
  settings_.retry_limits = settings.retry_limits;
  settings_.stop_grace = settings.stop_grace;
  settings_.seeds = settings.seeds;
  peers_.set_seeds(settings.seeds);
  post(RetryLimitsChanged{settings.retry_limits});
}

bool RouterNode::watches_tables() const {
  return peers_.watches_tables(state_.store_reachable, monotonic_now());
}

bool RouterNode::needs_store() const {
  return peers_.needs_store(monotonic_now());
}

bool RouterNode::needs_registration() const {
  return peers_.needs_registration(monotonic_now());
}

std::string RouterNode::encoded_quarantine() const {
  return encode_quarantine(pattern_evidence(state_.prompt_quarantine),
                           {monotonic_now(), wall_now_ms()});
}

void RouterNode::restore_quarantine(const std::string& stored) {
  const Result<PromptReport> report =
      decode_quarantine(stored, {monotonic_now(), wall_now_ms()});
  if (!ok(report)) {
    log(LogLevel::kError, "quarantine_unreadable",
        {{"cause", describe(error(report))}});
    return;
  }
  post(PromptReportReceived{"store", value(report)});
}

const SharedTableState& RouterNode::table(const std::string& name) {
  return tables_[name];
}

void RouterNode::apply_store_changes(const std::string& table,
                                     const std::vector<ItemChange>& changes) {
  peers_.tables().record_changes(table, changes, tables_[table].revision);
  apply_changes(table, changes, "store");
}

void RouterNode::see_store_era(std::uint64_t era) {
  if (era > state_.store_era) post(StoreEraSeen{era});
}

bool RouterNode::has_current_tables() const {
  return std::all_of(kSharedTables.begin(), kSharedTables.end(),
                     [this](const char* name) {
                       const auto table = tables_.find(name);
                       return table != tables_.end() &&
                              table->second.revision.era >= state_.store_era;
                     });
}

bool RouterNode::stays(const std::string& table, const std::string& key,
                       const std::string& held, const std::string* incoming) {
  if (table == kManifestTable) {
    if (table_decoders_.closed_zone(key)) return false;
    if (incoming == nullptr) return true;
    Result<Manifest> decoded = table_decoders_.manifest(*incoming);
    if (!ok(decoded)) {
      log(LogLevel::kError, "manifest_unreadable",
          {{"cause", describe(error(decoded))}});
    }
    const bool is_outdated =
        !ok(decoded) ||
        (state_.manifest && is_older(value(decoded), *state_.manifest));
    if (!is_outdated)
      decoded_manifest_ = std::get<Manifest>(std::move(decoded));
    return is_outdated;
  }
  if (incoming == nullptr) return false;
  // The key is part of an entry but not of its order.
  const Result<EndpointEntry> current = table_decoders_.endpoint("", held);
  const Result<EndpointEntry> other = table_decoders_.endpoint("", *incoming);
  return ok(current) && ok(other) && is_older(value(other), value(current));
}

ItemHandlers RouterNode::item_handlers(const std::string& table,
                                       const std::string& source) {
  return {
      [this, table, source](const std::string& key, const std::string* now) {
        on_item_changed(table, key, now, source);
      },
      [this, table](const std::string& key, const std::string& held,
                    const std::string* incoming) {
        return stays(table, key, held, incoming);
      }};
}

void RouterNode::apply_store_read(const std::string& table,
                                  const std::vector<ItemChange>& items,
                                  const StoreRevision& read_revision) {
  see_store_era(read_revision.era);
  SharedTableState& state = tables_[table];
  const StoreRevision previous_revision = state.revision;
  std::vector<ItemChange> changes;
  ItemHandlers handlers = item_handlers(table, "store");
  handlers.on_change = [&](const std::string& changed, const std::string* now) {
    ItemChange change{changed, std::nullopt, state.revision};
    if (now != nullptr) change.value = *now;
    changes.push_back(std::move(change));
    on_item_changed(table, changed, now, "store");
  };
  apply_read(state, items, read_revision, handlers);
  peers_.tables().record_changes(table, changes, previous_revision);
}

void RouterNode::apply_changes(const std::string& table,
                               const std::vector<ItemChange>& changes,
                               const std::string& source) {
  for (const ItemChange& change : changes) see_store_era(change.revision.era);
  peridotreach::apply_changes(tables_[table], changes,
                              item_handlers(table, source));
}

void RouterNode::install_snapshot(const std::string& table,
                                  const SharedTableState& state,
                                  const std::string& source) {
  see_store_era(state.revision.era);
  replace_table(tables_[table], state, item_handlers(table, source));
}

void RouterNode::on_item_changed(const std::string& table,
                                 const std::string& key,
                                 const std::string* value,
                                 const std::string& source) {
  if (table == kManifestTable) {
    if (const auto zone = table_decoders_.closed_zone(key)) {
      const StoreRevision& revision = tables_[table].revision;
      if (value != nullptr) {
        post(ZoneClosed{*zone, revision, source});
      } else {
        post(ZoneOpened{*zone, revision, source});
      }
      return;
    }
    if (value == nullptr) return;
    std::optional<Manifest> decoded =
        std::exchange(decoded_manifest_, std::nullopt);
    if (!decoded) {
      Result<Manifest> manifest = table_decoders_.manifest(*value);
      if (!ok(manifest)) {
        log(LogLevel::kError, "manifest_unreadable",
            {{"cause", describe(error(manifest))}});
        return;
      }
      decoded = std::get<Manifest>(std::move(manifest));
    }
    post(
        ManifestReceived{std::move(*decoded), tables_[table].revision, source});
    update_memory_shares();
    return;
  }
  if (table != kEndpointTable) return;
  if (value == nullptr) {
    post(EndpointUnlisted{key});
    return;
  }
  const Result<EndpointEntry> entry = table_decoders_.endpoint(key, *value);
  if (!ok(entry)) {
    log(LogLevel::kWarning, "endpoint_entry_unreadable",
        {{"key", key}, {"cause", describe(error(entry))}});
    // It names no endpoint to use, whatever it named before.
    post(EndpointUnlisted{key});
    return;
  }
  post(EndpointListed{peridotreach::value(entry)});
}

std::shared_ptr<RequestExchange> RouterNode::open_exchange(
    const CallerSession& session, RawRequest request) {
  auto exchange = std::make_shared<RequestExchange>(
      io_, next_request_++, session.number(), std::move(request));
  complete_request(memory_, session.number());
  exchange->set_on_body_released([this, number = session.number()] {
    peridotreach::release_request(memory_, number);
  });
  exchanges_[exchange->request_number()] = exchange;
  // The request needs a connection to an endpoint.
  make_room_for_socket();
  return exchange;
}

void RouterNode::update_memory_shares() {
  const CallerLimits& limits = caller_limits();
  memory_.shares = memory_shares(
      settings_.memory_limit, limits.max_body_bytes + limits.max_header_bytes +
                                  kMaxRequestOverheadBytes);
  memory_.responses.limit = memory_.shares.responses;
}

bool RouterNode::hold_request(const CallerSession& session, std::size_t bytes) {
  const MemoryAnswer answer = peridotreach::hold_request(
      memory_, session.number(), bytes, monotonic_now());
  for (const std::uint64_t number : answer.to_end) {
    if (const auto ended = find_session(number)) ended->end_reading();
  }
  return answer.is_granted;
}

void RouterNode::release_request(const CallerSession& session) {
  peridotreach::release_request(memory_, session.number());
}

CallerResponse RouterNode::memory_refusal(const CallerSession& session,
                                          const RawRequest& request,
                                          bool is_ended, Millis retry_after) {
  const std::string id = wire_format_.decode_request(request).id;
  const auto held = memory_.requests.find(session.number());
  const std::size_t bytes =
      held == memory_.requests.end() ? 0 : held->second.bytes;
  perform(RecordDecision{
      "request_memory_refused",
      0,
      {{"reason", is_ended ? "gave_way" : "no_memory"},
       {"id", id},
       {"caller", session.caller_address()},
       {"bytes", std::to_string(bytes)},
       {"all_bytes", std::to_string(memory_.request_bytes)},
       {"limit", std::to_string(memory_.shares.large_requests)}}});
  release_request(session);
  CallerResponse response;
  response.status = kUnavailableStatus;
  response.headers = wire_format_.local_response_headers(request, retry_after);
  response.body = "no memory for this request\n";
  return response;
}

std::shared_ptr<CallerSession> RouterNode::find_session(
    std::uint64_t number) const {
  for (const auto& weak : sessions_) {
    auto session = weak.lock();
    if (session != nullptr && session->number() == number) return session;
  }
  return nullptr;
}

bool RouterNode::make_room_for_socket() {
  const std::size_t most_sockets = caller_socket_limit(settings_.socket_limit);
  const std::size_t most_connections =
      memory_.shares.connections / kConnectionBytes;
  const auto is_full = [&](std::size_t open) {
    const bool is_out_of_sockets =
        most_sockets > 0 && open + exchanges_.size() >= most_sockets;
    return is_out_of_sockets || open >= most_connections;
  };
  // Closed sessions are still listed for a moment.
  if (!is_full(sessions_.size())) return true;
  std::vector<std::shared_ptr<CallerSession>> open;
  for (const auto& weak : sessions_) {
    auto session = weak.lock();
    if (session != nullptr && !session->closing())
      open.push_back(std::move(session));
  }
  std::size_t remaining = open.size();
  if (!is_full(remaining)) return true;
  std::erase_if(open, [](const auto& session) {
    return !session->awaited_since().has_value();
  });
  // Those that never sent a whole request go before idle connections of callers
  // that were served.
  const Millis stalled_since = monotonic_now() - kStalledAfter;
  const auto rank = [&](const CallerSession& session) {
    const bool never_sent =
        !session.has_served() && *session.awaited_since() <= stalled_since;
    return std::pair(!never_sent, *session.awaited_since());
  };
  std::sort(open.begin(), open.end(),
            [&](const auto& a, const auto& b) { return rank(*a) < rank(*b); });
  for (const auto& session : open) {
    if (!is_full(remaining)) break;
    if (session->has_next_request()) continue;
    perform(RecordDecision{"connection_closed",
                           0,
                           {{"reason", "sockets"},
                            {"caller", session->caller_address()},
                            {"connections", std::to_string(remaining)}}});
    session->close();
    --remaining;
  }
  return !is_full(remaining);
}

void RouterNode::give_up_caller(std::uint64_t request) {
  const auto exchange = find_exchange(request);
  if (exchange == nullptr) return;
  const auto session = find_session(exchange->session_number());
  if (session == nullptr || session->closing()) return;
  perform(RecordDecision{"caller_given_up",
                         request,
                         {{"reason", "response_not_taken"},
                          {"caller", session->caller_address()}}});
  session->close();
  post(CallerDisconnected{request});
  exchange->abort();
}

void RouterNode::start_exchange(
    const std::shared_ptr<RequestExchange>& exchange) {
  CallerRequest caller_request =
      wire_format_.decode_request(exchange->request());
  exchange->set_id(caller_request.id);
  post(RequestArrived{exchange->request_number(), std::move(caller_request)});
}

void RouterNode::close_exchange(const RequestExchange& exchange) {
  exchanges_.erase(exchange.request_number());
  release_response(memory_.responses, exchange.request_number(), true);
}

void RouterNode::on_caller_disconnected(const RequestExchange& exchange) {
  post(CallerDisconnected{exchange.request_number()});
}

std::shared_ptr<RequestExchange> RouterNode::find_exchange(
    std::uint64_t request) const {
  const auto found = exchanges_.find(request);
  return found == exchanges_.end() ? nullptr : found->second;
}

// Events that are posted while effects are performed are queued and reduced
// after the current event.
void RouterNode::post(decltype(RoutingEvent::body) body) {
  pending_events_.push_back(std::move(body));
  if (reducing_) return;
  reducing_ = true;
  for (std::size_t i = 0; i < pending_events_.size(); ++i) {
    RoutingEvent event;
    event.at = monotonic_now();
    event.random = random_number();
    event.body = std::move(pending_events_[i]);
    RoutingStep step = reduce(std::move(state_), event);
    state_ = std::move(step.state);
    for (RoutingEffect& effect : step.effects) {
      std::visit([this](auto& body) { perform(body); }, effect);
    }
  }
  pending_events_.clear();
  reducing_ = false;
}

void RouterNode::perform(StartAttempt& effect) {
  const auto exchange = find_exchange(effect.request);
  if (exchange == nullptr) return;
  auto attempt = std::make_shared<EndpointAttempt>(io_);
  const AttemptKey key{effect.request, effect.attempt};
  attempt->params = std::move(effect);
  attempt->on_held = [this, key](std::size_t bytes) {
    hold_response_bytes(key.first, bytes);
  };
  attempt->on_caller_stalled = [this, key] { give_up_caller(key.first); };
  if (attempt->params.through_peer) choose_tunnel_peer(*attempt);
  attempts_[key] = attempt;
  const auto ended = [this, key](const std::exception_ptr&) {
    attempts_.erase(key);
    release_response(memory_.responses, key.first, false);
  };
  co_spawn(io_,
           run_attempt(attempt, exchange, wire_format_,
                       [this](decltype(RoutingEvent::body) body) {
                         post(std::move(body));
                       }),
           ended);
}

void RouterNode::hold_response_bytes(std::uint64_t request, std::size_t bytes) {
  hold_response(memory_.responses, request, bytes);
  while (const auto untaken =
             untaken_response(memory_.responses, monotonic_now())) {
    release_response(memory_.responses, *untaken, true);
    give_up_caller(*untaken);
  }
  while (const auto largest = response_to_end(memory_.responses)) {
    log(LogLevel::kWarning, "response_memory_exhausted",
        {{"request", std::to_string(*largest)},
         {"bytes",
          std::to_string(memory_.responses.responses.at(*largest).bytes)},
         {"all_bytes", std::to_string(memory_.responses.total)},
         {"limit", std::to_string(memory_.responses.limit)}});
    release_response(memory_.responses, *largest, false);
    if (const auto exchange = find_exchange(*largest))
      exchange->drop_bytes_on_abort();
    // The read that fails ends the attempt as broken.
    for (auto attempt = attempts_.lower_bound({*largest, 0});
         attempt != attempts_.end() && attempt->first.first == *largest;
         ++attempt) {
      attempt->second->connection.close();
    }
  }
}

void RouterNode::perform(const CancelAttempt& effect) {
  const auto found = attempts_.find({effect.request, effect.attempt});
  if (found == attempts_.end()) return;
  found->second->cancelled = true;
  found->second->connection.close();
}

void RouterNode::perform(const DeliverResponse& effect) {
  const auto exchange = find_exchange(effect.request);
  const auto attempt = attempts_.find({effect.request, effect.attempt});
  if (exchange == nullptr || attempt == attempts_.end()) return;
  metrics_.observe_first_byte(effect.first_byte);
  complete_response(memory_.responses, effect.request, monotonic_now());
  exchange->release_body();
  exchange->set_response(std::move(attempt->second->response));
}

void RouterNode::perform(const RelayStream& effect) {
  const auto exchange = find_exchange(effect.request);
  const auto attempt = attempts_.find({effect.request, effect.attempt});
  if (exchange == nullptr || attempt == attempts_.end()) return;
  if (effect.first_byte) metrics_.observe_first_byte(*effect.first_byte);
  exchange->open_stream(attempt->second->response);
}

void RouterNode::perform(const FinishStream& effect) {
  const auto exchange = find_exchange(effect.request);
  if (exchange == nullptr) return;
  // Its last bytes are held until the caller has taken them.
  complete_response(memory_.responses, effect.request, monotonic_now());
  exchange->release_body();
  exchange->finish_stream();
}

void RouterNode::perform(const SendLocalResponse& effect) {
  const auto exchange = find_exchange(effect.request);
  if (exchange == nullptr) return;
  CallerResponse response;
  response.status = effect.status;
  response.headers = wire_format_.local_response_headers(exchange->request(),
                                                         effect.retry_after);
  response.body = effect.reason + "\n";
  exchange->release_body();
  exchange->set_response(std::move(response));
}

void RouterNode::perform(const AbortResponse& effect) {
  const auto exchange = find_exchange(effect.request);
  if (exchange == nullptr) return;
  complete_response(memory_.responses, effect.request, monotonic_now());
  exchange->release_body();
  exchange->abort();
}

void RouterNode::perform(const CopyGeneration& effect) {
  const auto exchange = find_exchange(effect.request);
  if (exchange == nullptr) return;
  co_spawn(io_, copy_generation(effect, exchange->id()), asio::detached);
}

awaitable<void> RouterNode::copy_generation(CopyGeneration effect,
                                            std::string id) {
  ClientRequest request = wire_format_.copy_request(effect, id);
  const HttpTarget target{effect.address, effect.port};
  const ClientResponse answer =
      co_await call_endpoint(target, std::move(request), kCopyTimeout);
  CopyFinished event;
  event.request = effect.request;
  if (answer.complete) {
    const CopyResponse response =
        wire_format_.decode_copy_response(answer.body);
    event.status = answer.status;
    event.handle = response.handle;
    event.events_made = response.events_made;
  }
  post(std::move(event));
}

void RouterNode::perform(const RequestCopyLease& effect) {
  peers_.coordination().request_copy_lease(effect, monotonic_now());
}

void RouterNode::perform(const ReleaseCopyLease& effect) {
  peers_.coordination().release_copy_lease(effect, monotonic_now());
}

void RouterNode::perform(const RequestPlacement& effect) {
  peers_.coordination().request_placement(effect, monotonic_now());
}

void RouterNode::perform(const AnswerPlacement& effect) {
  peers_.coordination().answer_placement(effect, monotonic_now());
}

void RouterNode::perform(const ForwardPlacement& effect) {
  peers_.coordination().forward_placement(effect, monotonic_now());
}

void RouterNode::perform(const RequestPermits& effect) {
  peers_.coordination().request_permits(effect, monotonic_now());
}

void RouterNode::perform(const AnswerPermits& effect) {
  peers_.coordination().answer_permits(effect, monotonic_now());
}

void RouterNode::perform(const AnnounceEndpointLeaving& effect) {
  peers_.announce_endpoint_leaving(effect.endpoint, monotonic_now());
}

void RouterNode::perform(const FreeCopy& effect) {
  co_spawn(io_, free_copy(effect), asio::detached);
}

awaitable<void> RouterNode::free_copy(FreeCopy effect) {
  ClientRequest request = wire_format_.free_copy_request(effect);
  const HttpTarget target{effect.address, effect.port};
  co_await call_endpoint(target, std::move(request), kFreeCopyTimeout);
}

void RouterNode::perform(const RecordDecision& effect) {
  metrics_.count_decision(effect);
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
