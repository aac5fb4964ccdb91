// The rows of backend servers as the store holds them, and which of them have
// changed lately, for updates of other instances.
//
// The part of an update (serving_state.cc) about the servers has the fields "g"
// (number of the registry's version), and "s" (all rows) or "d" (changed rows;
// null: removed).

#ifndef MANGOYOKE_GATEWAY_CONTROL_SERVER_ROW_HISTORY_H_
#define MANGOYOKE_GATEWAY_CONTROL_SERVER_ROW_HISTORY_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "gateway/core/backend_registry.h"
#include "gateway/core/codecs.h"
#include "gateway/core/store_version.h"
#include "peer/peer_transport.h"

namespace mangoyoke {

// Not thread-safe.
class ServerRowHistory {
 public:
  // Forgets all rows. Those that are kept next are complete as of `version`.
  void Restart(const StoreVersion& version);
  // Keeps a row that was decoded to `change`. A row without a server is kept
  // without its bytes, which may be many and are of no use.
  void Keep(const StoreRow& row, const RegistryChange& change);
  // Remembers that `rows` have changed up to `version`.
  void RecordChanges(const std::vector<StoreRow>& rows,
                     const StoreVersion& version);
  // Writes the rows as of `version` into `update`, for an instance that has
  // version `known`: those that have changed since, or all if that is not known
  // or the instance does not accept changes.
  void WriteUpdate(const StoreVersion& version,
                   const StoreVersion& known,
                   bool accepts_changes,
                   Json& update) const;
  size_t size() const { return rows_.size(); }

 private:
  // One batch of changed rows.
  struct Changes {
    StoreVersion version;  // The store version up to which it is complete.
    std::vector<BackendId> ids;
  };

  Json ChangesAfter(const StoreVersion& known) const;

  std::map<BackendId, std::string> rows_;
  // The last changes of rows_, oldest first, complete from changes_start_ on.
  std::deque<Changes> recent_changes_;
  StoreVersion changes_start_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_SERVER_ROW_HISTORY_H_
