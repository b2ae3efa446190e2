#pragma once

// The configuration that a process holds. It only ever moves to a higher
// revision, whatever the store or a peer returns.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace peridotreach {

namespace proto {
class Config;
}

// Holder of the configuration in force.
class HeldConfig {
 public:
  using Listener = std::function<void(const proto::Config&)>;

  // `on_table_change` is called with each configuration that comes into force.
  explicit HeldConfig(Listener on_change);
  ~HeldConfig();
  HeldConfig(const HeldConfig&) = delete;
  HeldConfig& operator=(const HeldConfig&) = delete;

  // Takes `offered` if its revision is higher. Returns whether it was taken.
  bool offer(const proto::Config& offered);

  // Takes a serialized configuration; malformed ones are ignored.
  bool offer_bytes(const std::string& bytes);

  const proto::Config& config() const { return *config_; }
  std::uint64_t revision() const;

 private:
  Listener on_change_;
  std::unique_ptr<proto::Config> config_;
};

}  // namespace peridotreach
