// This instance's view of the backend servers, built from the server rows in
// the store.
//
// A row that is removed while the store works means that its server is gone.
// During a store outage servers cannot renew their rows and the rows expire, so
// ready servers whose rows disappear during or just after an outage ("lapsed"
// servers) are kept until they had time to renew them.
//
// In a new era the store may hold rows that servers have changed or removed
// since, and lacks rows that they have written. A server that was known to be
// leaving or gone then stays so, whatever its row says, unless it starts again;
// one whose row is missing, or is that of an earlier start, counts as lapsed.

#ifndef MANGOYOKE_GATEWAY_CORE_BACKEND_REGISTRY_H_
#define MANGOYOKE_GATEWAY_CORE_BACKEND_REGISTRY_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/core/backend_server.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

// One changed row. No server: the row was removed or describes no server.
struct RegistryChange {
  BackendId id;
  std::optional<BackendServer> server;
  // For a removed row: another instance keeps the server, since its row may
  // have expired because of a store outage.
  bool lapsed = false;
  // The row is there and names no server to use, so that the one that it named
  // before is not kept, whatever the state of the store.
  bool names_no_server = false;
};

// Tracks the known backend servers and publishes them as immutable snapshots.
class BackendRegistry {
 public:
  // `renewal_timeout`: how long a server may take to renew its row after the
  // store has recovered.
  explicit BackendRegistry(Duration renewal_timeout)
      : renewal_timeout_(renewal_timeout) {}

  // Replaces the registry by all rows as of store version `version`. Servers
  // without a change in `rows` count as removed. Logs and ignores a version
  // lower than the known one.
  void Replace(const StoreVersion& version,
               const std::vector<RegistryChange>& rows,
               TimePoint now);
  // Applies the changes after the known version, up to `version`.
  void Apply(const StoreVersion& version,
             const std::vector<RegistryChange>& changes,
             TimePoint now);
  // Reports that a call to the store failed, or succeeded.
  void OnStoreFailure();
  void OnStoreSuccess(TimePoint now);
  // Removes lapsed servers that did not renew their rows in time. Does nothing
  // while the store fails. True if any server was removed.
  bool RemoveLapsedServers(TimePoint now);

  // The store is in another era, `era`, since `now` at the latest. The rows of
  // the one before stand until Replace.
  void BeginEra(StoreEra era, TimePoint now);
  // Takes the server out of `change` if its row is one from before the era: of
  // a server that was known to be leaving or gone when the era began, which
  // then names no server, or of an earlier start of a server, which then counts
  // as removed. To be asked before the change is applied.
  void DropEarlierRow(RegistryChange& change) const;
  // Lifts the bars that have stood long enough for the store to drop the rows
  // of servers that are gone. True if there were any: rows that are still there
  // are to be read again.
  bool LiftBars(TimePoint now);

  // The highest store version applied.
  const StoreVersion& version() const { return version_; }
  // All known servers, lapsed ones included. Replaced by a new value at every
  // change.
  std::shared_ptr<const ServerSnapshot> Snapshot() const { return snapshot_; }
  // The ids of the lapsed servers, which are kept for the time being.
  std::vector<BackendId> LapsedServers() const;

 private:
  // Whether a row that disappears now may have expired because of an outage.
  bool RowMayHaveExpired(TimePoint now) const;
  // Handles a row without a server: marks the server as lapsed or removes it.
  void Remove(const RegistryChange& change, TimePoint now);
  // Whether `server` was known to be leaving or gone when the era began.
  bool IsBarred(const BackendServer& server) const;
  // Whether a later start of `server` was known when the era began.
  bool IsOutdated(const BackendServer& server) const;
  // Remembers that the incarnation `server` is leaving or gone.
  void RecordDeparture(const BackendServer& server, TimePoint now);
  void ForgetOldDepartures(TimePoint now);
  void Publish();

  // An incarnation that is leaving or gone.
  struct Departure {
    int64_t start_time_ms = 0;
    TimePoint at;
    bool barred = false;  // Known when the current era began.
  };

  Duration renewal_timeout_;
  StoreVersion version_;
  std::map<BackendId, BackendServer> servers_;
  // Ids of the lapsed servers, which are still in `servers_`, with the time at
  // which each is removed unless its row is back.
  std::map<BackendId, TimePoint> lapsed_;
  std::map<BackendId, Departure> departures_;
  std::optional<TimePoint> era_began_at_;  // If it has changed.
  bool store_failing_ = false;
  std::optional<TimePoint> store_recovered_at_;
  std::shared_ptr<const ServerSnapshot> snapshot_ =
      std::make_shared<ServerSnapshot>();
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_BACKEND_REGISTRY_H_
