// The use of accounts that peers reported: the instances of the own cell each
// for itself, other cells and zones as sums. Each instance's use is in one
// report of each scope.
//
// - Reports of an instance name the accounts that had requests since its last
//   report, with a total. What it grew by counts as admitted when the report
//   came, so that nothing is missed by reports that are late or lost. In
//   between the rates decay here as they do there.
// - Sums stay as they are until the next one: they come at a steady pace, and a
//   rate that is known late has the same integral as one known at once.

#ifndef MANGOYOKE_GATEWAY_CORE_PEER_ACCOUNT_USE_H_
#define MANGOYOKE_GATEWAY_CORE_PEER_ACCOUNT_USE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "gateway/core/account_use.h"
#include "gateway/core/server_load.h"

namespace mangoyoke {

// Use of one account in all reports.
struct ReportedUse {
  AccountUse decaying;  // Of the instances of the own cell.
  AccountUse held;      // Of other cells and zones.

  bool operator==(const ReportedUse&) const = default;
};

class PeerAccountUse {
 public:
  // How long a report shows that its instances are in touch.
  static constexpr ReportTtls kTtls{Millis(1200), Millis(1600), Millis(2200)};

  // Takes over a report of the instance `source` of the own cell. Accounts that
  // are not in `use` had no requests since its last report.
  void UpdateInstance(const InstanceId& source,
                      const OwnUseReport& own,
                      TimePoint now);
  // Takes over a sum for the cell or zone `source`. If it is not complete,
  // accounts that are not in it keep what an earlier one said. Returns false if
  // it is ignored, since the last one is recent and covers more instances.
  bool UpdateSum(ReportScope scope,
                 const std::string& source,
                 const AccountUseReport& report,
                 TimePoint now);
  // Removes outdated reports. Returns whether there were any.
  bool RemoveExpired(TimePoint now);
  void Clear();

  ReportedUse Of(const AccountId& account, TimePoint now) const;
  // Instances in all reports.
  size_t instances() const;
  // The use in reports of up to `max_scope`.
  AccountUseReport Sum(ReportScope max_scope, TimePoint now) const;
  // When the oldest of the last reports came; `now` if there are none.
  TimePoint OldestReport(TimePoint now) const;
  // When the last sum for `source` came; nothing if none did.
  std::optional<TimePoint> LastSum(ReportScope scope,
                                   const std::string& source) const;

 private:
  using Key = std::pair<ReportScope, std::string>;
  struct Entry {
    AccountUse use;
    TimePoint at;
    double admitted = 0;  // In total, as an instance reported.
  };
  struct Report {
    size_t instances = 0;
    uint32_t process = 0;  // Of an instance.
    TimePoint at;
    std::map<AccountId, Entry> use;
  };

  static AccountUse UseAt(ReportScope scope, const Entry& entry, TimePoint now);

  std::map<Key, Report> reports_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_PEER_ACCOUNT_USE_H_
