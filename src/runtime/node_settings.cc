#include "runtime/node_settings.h"

#include "runtime/control_link.h"
#include "runtime/settings.h"

namespace peridotreach {

std::vector<Setting> node_settings() {
  return {
      {"vm", SettingKind::kText, "", true, "ID of this VM"},
      {"zone", SettingKind::kText, "", true, "Availability zone of this VM"},
      {"region", SettingKind::kText, "", true, "Region of this VM"},
      {"address", SettingKind::kText, "", true, "IP address of this VM"},
      {"control-port", SettingKind::kNumber, "7001", false,
       "Port for messages from other peridotreach processes"},
      {"store", SettingKind::kText, "", true,
       "URL of the platform's key-value service"},
      {"vm-list", SettingKind::kText, "", true,
       "URL of the platform's VM list"},
      {"vm-list-interval-ms", SettingKind::kNumber, "1000", false,
       "Interval between polls of the VM list, in milliseconds"},
      {"fleet-key", SettingKind::kSecret, "", true,
       "Secret key of the deployment that signs response and session IDs"},
      {"link-public-key", SettingKind::kText, "", false,
       "CURVE public key of the deployment, in Z85 encoding"},
      {"link-secret-key", SettingKind::kSecret, "", false,
       "CURVE secret key of the deployment, in Z85 encoding"},
      {"log-level", SettingKind::kText, "info", false,
       "Lowest level to log: debug, info, warning or error"},
      {"trace", SettingKind::kText, "", false,
       "File to record events and effects in for replay; empty turns recording "
       "off"}};
}

LinkKeys link_keys(const Settings& settings) {
  return {settings.text("link-public-key"), settings.text("link-secret-key")};
}

}  // namespace peridotreach
