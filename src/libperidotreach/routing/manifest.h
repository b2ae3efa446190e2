#pragma once

// What operators decided about plain HTTP traffic: which route goes to which
// service, who may call it and within which bounds. One version is in force at
// a time.

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach {

// How often a request may run.
enum class CallKind { kIdempotent, kNonIdempotent, kStream };

// Returns the name of `kind` as logs and metrics spell it.
const char* call_kind_name(CallKind kind);

// A service that takes a share of a route's requests.
struct WeightedService {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

// One route: requests of a host whose path begins with `path_prefix`.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  CallKind kind = CallKind::kNonIdempotent;
  Millis timeout = 0;
  // Time to the first byte of an answer that operators aim at.
  Millis first_byte_slo = 0;
  // Longest pause between events that operators aim at; 0 for plain calls.
  Millis event_gap_slo = 0;
  std::uint32_t max_attempts = 1;
  // 0 is the most urgent rank.
  std::uint32_t rank = 0;
  bool allows_anonymous = false;
  std::vector<WeightedService> services;

  bool operator==(const Route&) const = default;
};

// Memory and batching of the engines of a service.
struct EngineSpec {
  std::uint32_t slots = 0;
  std::uint32_t kv_cache_tokens = 0;
  std::uint64_t bytes_per_token = 0;
  double link_mbps = 0;
  bool can_move_generations = false;
  // Tokens that one event of a stream holds.
  std::uint32_t tokens_per_event = 1;
  // How long an engine keeps the memory of a stopped generation.
  Millis handle_lifetime = 0;

  bool operator==(const EngineSpec&) const = default;
};

// One service; `engine` is set if its endpoints generate tokens.
struct ServiceSpec {
  std::string name;
  std::uint32_t max_connections = 0;
  std::optional<EngineSpec> engine;

  bool operator==(const ServiceSpec&) const = default;
};

// A client account and its keys. A rank of its own replaces the route's.
struct Account {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> rank;

  bool operator==(const Account&) const = default;
};

// What a caller may send and how long it may take.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint32_t max_body_bytes = 4U << 20U;
  Millis header_timeout = 3 * kSecond;
  Millis idle_timeout = 15 * kSecond;

  bool operator==(const CallerLimits&) const = default;
};

// One version of all of it. Without accounts every caller is let in.
struct Manifest {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, ServiceSpec> services;
  bool has_accounts = false;
  std::vector<Account> accounts;
  // Index into `accounts` by key.
  std::map<std::string, std::size_t, std::less<>> account_by_key;
  CallerLimits limits;

  bool operator==(const Manifest&) const = default;
};

// Fills the index of keys.
void index_account_keys(Manifest& manifest);

// Returns the route of `host` with the longest prefix of `path`, if any.
const Route* match_route(const Manifest& manifest, std::string_view host,
                         std::string_view path);

// Returns the account that holds `key`, if any.
const Account* find_account(const Manifest& manifest, std::string_view key);

// Returns the service that takes a request of `route`; `draw` is uniform.
std::string pick_service(const Route& route, std::uint64_t draw);

}  // namespace peridotreach
