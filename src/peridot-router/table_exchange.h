#pragma once

// Exchange of the shared tables between router processes: changes are pushed by
// the processes that read them from the store, and a process that is behind
// requests the whole table.

#include <array>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "libperidotreach/routing/table_lag.h"
#include "libperidotreach/time.h"
#include "peridot-router/shared_table.h"
#include "peridot-router/unpublished_changes.h"

namespace peridotreach {

class PeerLink;

namespace proto {
class Envelope;
class SharedItem;
class SharedTable;
class TableChange;
}  // namespace proto

// Names of the shared tables.
inline constexpr const char* kManifestTable = "manifest";
inline constexpr const char* kEndpointTable = "endpoints";
inline constexpr std::array<const char*, 2> kSharedTables = {kManifestTable,
                                                             kEndpointTable};

// Callbacks for changes that peers sent. `source` is the peer's VM.
struct TableHandlers {
  std::function<void(const std::string& table, const SharedTableState&,
                     const std::string& source)>
      on_snapshot;
  std::function<void(const std::string& table,
                     const std::vector<ItemChange>& changes,
                     const std::string& source)>
      on_changes;
  // Returns this process's copy of a shared table.
  std::function<const SharedTableState&(const std::string& table)> table;
};

// Sends and receives tables and their changes.
class TableExchange {
 public:
  TableExchange(PeerLink& link, TableHandlers handlers);

  // Records changes that were read from the store when the table had
  // `table_revision`.
  void record_changes(const std::string& table,
                      const std::vector<ItemChange>& changes,
                      const StoreRevision& table_revision);

  // Sends the recorded changes to the peers that this process reads the store
  // for.
  void publish_changes(bool store_reachable, Millis now);

  void handle_change(const std::string& sender,
                     const proto::TableChange& change, Millis now);
  void handle_request(const std::string& sender, const std::string& table,
                      Millis now);
  void handle_table(const std::string& sender,
                    const proto::SharedTable& message);

  // Records the revision of the copy that `vm` has.
  void record_peer_revision(const std::string& table,
                            const StoreRevision& peer_revision,
                            const std::string& vm, Millis now);

  // Requests the tables that have been behind a peer's copy for a while.
  void request_missing(Millis now);

  const StoreRevision& revision(const std::string& table) const;

 private:
  // A value as it was last sent in compressed form.
  struct CompressedValue {
    std::string original;
    std::string compressed;
  };

  // Writes an item into a message; compresses large values.
  void encode_item(const std::string& key, const std::string& value,
                   proto::SharedItem& item);
  bool publishes(const std::string& table, bool store_reachable,
                 Millis now) const;
  void send_to_zone(const proto::Envelope& message, Millis now);

  PeerLink& link_;
  TableHandlers handlers_;
  std::map<std::string, TableLag> lags_;
  std::map<std::string, UnpublishedChanges> unpublished_;
  std::map<std::string, CompressedValue> compressed_;
};

}  // namespace peridotreach
