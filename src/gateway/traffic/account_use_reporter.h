// Exchanges the use of client accounts between instances.
//
// - Within the cell: each instance adds the accounts that had requests to its
//   reports of load (OwnPart), which come soon after each request.
// - Sums of the cell and of the zone go to one random instance of the zone's
//   other cells and of the other zones, at a slow pace, faster while the use of
//   an account is about to exceed its quota. An instance that receives one
//   passes it on to its cell, unless the cell has had one for the same source
//   lately.
//
// Nothing is sent while there are no accounts.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_ACCOUNT_USE_REPORTER_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_ACCOUNT_USE_REPORTER_H_

#include <functional>
#include <string>
#include <vector>

#include "gateway/core/account_quotas.h"
#include "gateway/traffic/peer_reporter.h"

namespace mangoyoke {

// Used on the traffic thread only.
class AccountUseReporter : public PeerReporter {
 public:
  // `random` must return numbers in [0, 1). `quotas` must outlive the object.
  AccountUseReporter(AccountQuotas& quotas,
                     std::function<double()> random,
                     SendFunction send);

  PeerReportKind kind() const override { return PeerReportKind::kAccountUse; }
  void SetPeers(ReportEndpoints endpoints) override;
  void Tick(TimePoint now) override;
  void Apply(const nlohmann::json& report, TimePoint now) override;
  bool OwnPartDue(TimePoint now) const override;
  nlohmann::json OwnPart(TimePoint now) override;
  void ApplyOwnPart(const InstanceId& source,
                    const nlohmann::json& part,
                    TimePoint now) override;

 private:
  // Sends the sum of all reports up to `max_scope` to one random peer of
  // `peers`, as a report on `source`.
  void SendSum(ReportScope max_scope,
               ReportScope scope,
               const std::string& source,
               const ReportEndpoints::Endpoints& peers,
               TimePoint now);
  // Leaves the accounts in `report` whose use matters most, and the next of the
  // others, as many as fit into a datagram.
  void Shorten(AccountUseReport& report, TimePoint now);
  std::vector<uint8_t> Encode(ReportScope scope,
                              const std::string& source,
                              const AccountUseReport& report,
                              bool relayed) const;

  AccountQuotas& quotas_;
  std::function<double()> random_;
  SendFunction send_;
  ReportEndpoints endpoints_;
  TimePoint last_own_part_{};
  TimePoint last_cell_sum_{};
  TimePoint last_zone_sum_{};
  AccountId last_sent_;  // Where the next sum goes on.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_ACCOUNT_USE_REPORTER_H_
