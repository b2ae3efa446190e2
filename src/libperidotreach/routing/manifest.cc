#include "libperidotreach/routing/manifest.h"

namespace peridotreach {

const char* call_kind_name(CallKind kind) {
  switch (kind) {
    case CallKind::kIdempotent:
      return "idempotent";
    case CallKind::kNonIdempotent:
      return "non_idempotent";
    case CallKind::kStream:
      return "stream";
  }
  return "stream";
}

void index_account_keys(Manifest& manifest) {
  manifest.account_by_key.clear();
  for (std::size_t i = 0; i < manifest.accounts.size(); ++i) {
    for (const std::string& key : manifest.accounts[i].keys) {
      manifest.account_by_key[key] = i;
    }
  }
}

const Route* match_route(const Manifest& manifest, std::string_view host,
                         std::string_view path) {
  const Route* best = nullptr;
  for (const Route& route : manifest.routes) {
    if (!path.starts_with(route.path_prefix)) continue;
    if (route.host != host) continue;
    const bool longer =
        best == nullptr || route.path_prefix.size() > best->path_prefix.size();
    if (longer) best = &route;
  }
  return best;
}

const Account* find_account(const Manifest& manifest, std::string_view key) {
  const auto found = manifest.account_by_key.find(key);
  if (found == manifest.account_by_key.end()) return nullptr;
  return &manifest.accounts[found->second];
}

std::string pick_service(const Route& route, std::uint64_t draw) {
  std::uint64_t total = 0;
  for (const WeightedService& share : route.services) total += share.weight;
  if (total == 0) return {};
  std::uint64_t rest = draw % total;
  for (const WeightedService& share : route.services) {
    if (rest < share.weight) return share.service;
    rest -= share.weight;
  }
  return {};
}

Millis shortest_stream_slo(const Manifest& manifest) {
  Millis shortest = 0;
  for (const Route& route : manifest.routes) {
    if (route.kind != CallKind::kStream || route.first_byte_slo <= 0) continue;
    if (shortest == 0 || route.first_byte_slo < shortest)
      shortest = route.first_byte_slo;
  }
  return shortest;
}

}  // namespace peridotreach
