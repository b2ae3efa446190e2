#include "runtime/name_table.h"

#include "libperidotreach/cells.h"

namespace peridotreach {

std::uint32_t name_hash(const std::string& name) {
  return static_cast<std::uint32_t>(stable_hash(name));
}

void NameTable::add(const std::string& name) { names_[name_hash(name)] = name; }

void NameTable::add_names(const FleetConfig& config) {
  for (const RankPolicy& rank : config.ranks) add(rank.id);
  for (const CallerPolicy& caller : config.callers) add(caller.id);
  for (const ServicePolicy& service : config.services) {
    for (const std::string& model : service.models) add(model);
  }
}

void NameTable::learn(const FleetView& view) {
  for (const EndpointInfo& endpoint : view.endpoints) add(endpoint.id);
  for (const Cell& cell : cells_of(view)) add(cell.id);
}

const std::string& NameTable::name(std::uint32_t hash) const {
  static const std::string kUnknown;
  const auto found = names_.find(hash);
  return found == names_.end() ? kUnknown : found->second;
}

}  // namespace peridotreach
