#include "standins/platform/key_value_store.h"

#include <algorithm>

namespace peridotreach::standin {
namespace {

bool in_range(const std::string& candidate, const std::string& key,
              const std::string& range_end) {
  if (range_end.empty()) return candidate == key;
  return candidate >= key && candidate < range_end;
}

}  // namespace

std::vector<KeyValue> KeyValueStore::range(const std::string& key,
                                           const std::string& range_end) const {
  std::vector<KeyValue> found;
  for (auto it = keys_.lower_bound(key); it != keys_.end(); ++it) {
    if (!in_range(it->first, key, range_end)) break;
    found.push_back(it->second);
  }
  return found;
}

std::int64_t KeyValueStore::mod_revision(const std::string& key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? 0 : found->second.mod_revision;
}

void KeyValueStore::put(const std::string& key, const std::string& value,
                        std::int64_t lease) {
  revision_ += 1;
  KeyValue& kv = keys_[key];
  kv.key = key;
  kv.value = value;
  kv.lease = lease;
  if (kv.create_revision == 0) kv.create_revision = revision_;
  kv.mod_revision = revision_;
  history_.push_back({kv, false});
}

void KeyValueStore::erase(const std::string& key) {
  const auto found = keys_.find(key);
  if (found == keys_.end()) return;
  revision_ += 1;
  KeyValue kv = found->second;
  kv.mod_revision = revision_;
  kv.value.clear();
  history_.push_back({kv, true});
  keys_.erase(found);
}

std::int64_t KeyValueStore::grant_lease(std::int64_t ttl_seconds, Millis now) {
  last_lease_ += 1;
  leases_[last_lease_] = {ttl_seconds, now + ttl_seconds * kSecond};
  return last_lease_;
}

std::int64_t KeyValueStore::keep_alive(std::int64_t lease, Millis now) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return 0;
  found->second.expires_at = now + found->second.ttl_seconds * kSecond;
  return found->second.ttl_seconds;
}

void KeyValueStore::revoke(std::int64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> bound;
  for (const auto& [key, kv] : keys_) {
    if (kv.lease == lease) bound.push_back(key);
  }
  for (const std::string& key : bound) erase(key);
}

void KeyValueStore::expire_leases(Millis now) {
  std::vector<std::int64_t> expired;
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at <= now) expired.push_back(id);
  }
  for (const std::int64_t id : expired) revoke(id);
}

std::vector<KeyChange> KeyValueStore::changes_since(
    std::int64_t revision, const std::string& key,
    const std::string& range_end) const {
  std::vector<KeyChange> changes;
  const auto first = std::partition_point(
      history_.begin(), history_.end(), [&](const KeyChange& change) {
        return change.kv.mod_revision <= revision;
      });
  for (auto it = first; it != history_.end(); ++it) {
    if (in_range(it->kv.key, key, range_end)) changes.push_back(*it);
  }
  return changes;
}

}  // namespace peridotreach::standin
