#include "runtime/held_config.h"

#include <utility>

#include "fleet.pb.h"
#include "libperidotreach/config_change.h"
#include "runtime/log.h"

namespace peridotreach {

HeldConfig::HeldConfig(Listener on_change)
    : on_change_(std::move(on_change)),
      config_(std::make_unique<proto::Config>()) {}

HeldConfig::~HeldConfig() = default;

bool HeldConfig::offer(const proto::Config& offered) {
  if (!supersedes(offered, *config_)) return false;
  *config_ = offered;
  log(LogLevel::kInfo, "configuration in force",
      {{"revision", std::to_string(offered.revision())},
       {"serial", std::to_string(offered.sheet().serial())}});
  on_change_(*config_);
  return true;
}

bool HeldConfig::offer_bytes(const std::string& bytes) {
  proto::Config offered;
  if (!offered.ParseFromString(bytes)) return false;
  return offer(offered);
}

std::uint64_t HeldConfig::revision() const { return config_->revision(); }

}  // namespace peridotreach
