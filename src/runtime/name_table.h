#pragma once

// Maps 32-bit hashes back to names. Messages carry hashes instead of names that
// both sides know from the configuration and the VM list.

#include <cstdint>
#include <map>
#include <string>

#include "libperidotreach/fleet_config.h"
#include "libperidotreach/fleet_view.h"

namespace peridotreach {

// Returns the hash that represents `name` in messages.
std::uint32_t name_hash(const std::string& name);

// The names that one process knows.
class NameTable {
 public:
  // Adds all names of the configuration or the view. Names are never removed,
  // because a delayed message may still refer to them.
  void add_names(const FleetConfig& config);
  void learn(const FleetView& view);

  // Returns the name for `hash`, or an empty string if the hash is unknown.
  const std::string& name(std::uint32_t hash) const;

 private:
  void add(const std::string& name);

  std::map<std::uint32_t, std::string> names_;
};

}  // namespace peridotreach
