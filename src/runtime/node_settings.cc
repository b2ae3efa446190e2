#include "runtime/node_settings.h"

#include "runtime/control_link.h"
#include "runtime/settings.h"

namespace peridotreach {

std::vector<Setting> node_settings() {
  return {
      {"vm", SettingKind::kText, "", true, "Id of this VM"},
      {"zone", SettingKind::kText, "", true, "Availability zone of this VM"},
      {"region", SettingKind::kText, "", true, "Region of this VM"},
      {"address", SettingKind::kText, "", true, "IP address of this VM"},
      {"control-port", SettingKind::kNumber, "7001", false,
       "Port for the system's other processes"},
      {"store", SettingKind::kText, "", true,
       "URL of the platform's key-value service"},
      {"vm-list", SettingKind::kText, "", true,
       "URL of the platform's VM list"},
      {"vm-list-interval-ms", SettingKind::kNumber, "1000", false,
       "Time between looks at the VM list"},
      {"fleet-key", SettingKind::kSecret, "", true,
       "Secret of the deployment; signs response and session ids"},
      {"link-public-key", SettingKind::kText, "", false,
       "CURVE public key of the deployment, in Z85"},
      {"link-secret-key", SettingKind::kSecret, "", false,
       "CURVE secret key of the deployment, in Z85"},
      {"log-level", SettingKind::kText, "info", false,
       "debug, info, warning or error"},
      {"trace", SettingKind::kText, "", false,
       "File for recorded events and effects; empty for none"}};
}

LinkKeys link_keys(const Settings& settings) {
  return {settings.text("link-public-key"), settings.text("link-secret-key")};
}

}  // namespace peridotreach
