#pragma once

// The configuration that a process uses. Only a higher revision replaces it, so
// a stale copy from the store or from a peer is ignored.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace peridotreach {

namespace proto {
class Config;
}

// Owns the configuration in use.
class CurrentConfig {
 public:
  using Listener = std::function<void(const proto::Config&)>;

  // `on_change` is called with each configuration that replaces the previous
  // one.
  explicit CurrentConfig(Listener on_change);
  ~CurrentConfig();
  CurrentConfig(const CurrentConfig&) = delete;
  CurrentConfig& operator=(const CurrentConfig&) = delete;

  // Replaces the configuration if `offered` has a higher revision. Returns
  // whether it was replaced.
  bool update_if_newer(const proto::Config& offered);

  // Same for a serialized configuration. Returns false if it is malformed.
  bool update_from_bytes(const std::string& bytes);

  const proto::Config& config() const { return *config_; }
  std::uint64_t revision() const;

 private:
  Listener on_change_;
  std::unique_ptr<proto::Config> config_;
};

}  // namespace peridotreach
