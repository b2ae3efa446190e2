#include "runtime/current_config.h"

#include <utility>

#include "fleet.pb.h"
#include "libperidotreach/config_change.h"
#include "runtime/log.h"

namespace peridotreach {

CurrentConfig::CurrentConfig(Listener on_change)
    : on_change_(std::move(on_change)),
      config_(std::make_unique<proto::Config>()) {}

CurrentConfig::~CurrentConfig() = default;

bool CurrentConfig::update_if_newer(const proto::Config& offered) {
  if (!supersedes(offered, *config_)) return false;
  *config_ = offered;
  log(LogLevel::kInfo, "configuration in force",
      {{"revision", std::to_string(offered.revision())},
       {"serial", std::to_string(offered.sheet().serial())}});
  on_change_(*config_);
  return true;
}

bool CurrentConfig::update_from_bytes(const std::string& bytes) {
  proto::Config offered;
  if (!offered.ParseFromString(bytes)) return false;
  return update_if_newer(offered);
}

std::uint64_t CurrentConfig::revision() const { return config_->revision(); }

}  // namespace peridotreach
