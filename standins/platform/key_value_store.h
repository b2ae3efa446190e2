#pragma once

// The stand-in's key-value store: keys, revisions, leases and watches as the
// published etcd v3 interface describes them, in memory.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/time.h"

namespace peridotreach::standin {

// A stored key.
struct KeyValue {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t lease = 0;
};

// A change, in the order of revisions.
struct KeyChange {
  KeyValue kv;
  bool deleted = false;
};

// The store. Not thread-safe.
class KeyValueStore {
 public:
  std::int64_t revision() const { return revision_; }

  // Returns the keys in [key, range_end), or `key` alone if the end is empty.
  std::vector<KeyValue> range(const std::string& key,
                              const std::string& range_end) const;

  // Returns the revision that last changed `key`, 0 if it is absent.
  std::int64_t mod_revision(const std::string& key) const;

  void put(const std::string& key, const std::string& value,
           std::int64_t lease);
  void erase(const std::string& key);

  std::int64_t grant_lease(std::int64_t ttl_seconds, Millis now);

  // Returns the time to live, 0 if the lease is gone.
  std::int64_t keep_alive(std::int64_t lease, Millis now);
  void revoke(std::int64_t lease);
  void expire_leases(Millis now);

  // Returns the changes after `revision` under the range.
  std::vector<KeyChange> changes_since(std::int64_t revision,
                                       const std::string& key,
                                       const std::string& range_end) const;

 private:
  struct Lease {
    std::int64_t ttl_seconds = 0;
    Millis expires_at = 0;
  };

  std::int64_t revision_ = 1;
  std::int64_t last_lease_ = 1000;
  std::map<std::string, KeyValue> keys_;
  std::map<std::int64_t, Lease> leases_;
  std::vector<KeyChange> history_;
};

}  // namespace peridotreach::standin
