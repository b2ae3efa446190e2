#pragma once

// Operator configuration of HTTP routing: which service handles a route, who
// may call it and which limits apply. One version is in force at a time.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// Whether a request may be repeated, and whether its answer is a stream.
enum class CallKind { kIdempotent, kNonIdempotent, kStream };

// Returns the name of `kind` as used in logs and metrics.
const char* call_kind_name(CallKind kind);

// A service that receives a weighted share of a route's requests.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

// One route: requests to a host whose path begins with `path_prefix`.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  CallKind kind = CallKind::kNonIdempotent;
  Millis timeout = 0;
  // Target for the time to the first byte of an answer.
  Millis first_byte_slo = 0;
  // Target for the longest gap between two events; 0 for plain calls.
  Millis event_gap_slo = 0;
  std::uint32_t max_attempts = 1;
  // 0 is the most urgent rank.
  std::uint32_t rank = 0;
  bool allows_anonymous = false;
  std::vector<WeightedService> services;

  bool operator==(const Route&) const = default;
};

// KV cache and batching properties of a service's engines.
struct EngineSpec {
  std::uint32_t slots = 0;
  std::uint32_t kv_cache_tokens = 0;
  std::uint64_t bytes_per_token = 0;
  double link_mbps = 0;
  bool can_move_generations = false;
  // Tokens in one event of a stream.
  std::uint32_t tokens_per_event = 1;
  // How long an engine keeps the KV cache of a stopped generation.
  Millis handle_lifetime = 0;

  bool operator==(const EngineSpec&) const = default;
};

// One service; `engine` is set if its endpoints generate tokens.
struct ServiceSpec {
  std::string name;
  std::uint32_t max_connections = 0;
  // How long an endpoint is cold after its start, and the requests a second
  // that a cold one takes from all processes together; 0 if it is not limited.
  Millis cold_start = 0;
  double cold_requests_per_second = 0;
  std::optional<EngineSpec> engine;

  bool operator==(const ServiceSpec&) const = default;
};

// A client account and its API keys. Its rank, if set, overrides the route's.
struct Account {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> rank;

  bool operator==(const Account&) const = default;
};

// Limits on what a caller may send and how long it may take.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint32_t max_body_bytes = 4U << 20U;
  Millis header_timeout = 3 * kSecond;
  Millis idle_timeout = 15 * kSecond;

  bool operator==(const CallerLimits&) const = default;
};

// One version of the configuration. Without accounts every caller is accepted.
struct Manifest {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, ServiceSpec> services;
  bool has_accounts = false;
  std::vector<Account> accounts;
  // Index into `accounts` by API key.
  std::map<std::string, std::size_t, std::less<>> account_by_key;
  CallerLimits limits;

  bool operator==(const Manifest&) const = default;
};

// Rebuilds `account_by_key`.
void index_account_keys(Manifest& manifest);

// Returns the route of `host` with the longest matching prefix of `path`, null
// if there is none.
const Route* match_route(const Manifest& manifest, std::string_view host,
                         std::string_view path);

// Returns the account that owns `key`, null if there is none.
const Account* find_account(const Manifest& manifest, std::string_view key);

// Picks a service by weight; `draw` is a uniformly distributed random number.
// Returns an empty string if all weights are 0.
std::string pick_service(const Route& route, std::uint64_t draw);

// Returns the shortest first-byte objective of the stream routes, 0 if there
// are none.
Millis shortest_stream_slo(const Manifest& manifest);

}  // namespace peridotreach
