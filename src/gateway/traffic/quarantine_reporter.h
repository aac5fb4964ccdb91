// Exchanges what the instances know of prompt parts that crash servers, in
// datagrams of the load reporter.
//
// - What changed is sent soon: to all others of the cell, unless it was learned
//   there, and to one random instance of other cells and of other zones.
// - Everything is sent again at a slow pace, for instances that have just
//   started or missed a datagram.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_QUARANTINE_REPORTER_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_QUARANTINE_REPORTER_H_

#include <set>
#include <vector>

#include "gateway/traffic/peer_reporter.h"
#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

// Used on the traffic thread only.
class QuarantineReporter : public PeerReporter {
 public:
  QuarantineReporter(TrafficContext& context, SendFunction send);

  PeerReportKind kind() const override { return PeerReportKind::kQuarantine; }
  void SetPeers(ReportEndpoints endpoints) override;
  void Tick(TimePoint now) override;
  void Apply(const nlohmann::json& report, TimePoint now) override;

 private:
  void SendChanges(TimePoint now);
  // Sends the verdicts, and the next of the other records.
  void SendAll(TimePoint now);
  void SendToCell(const std::vector<PartRecord>& records, TimePoint now);
  // Sends to one random instance of other cells, and to one of other zones.
  void SendOutside(const std::vector<PartRecord>& records, TimePoint now);
  void SendToOneOf(const ReportEndpoints::Endpoints& peers,
                   const std::vector<uint8_t>& report);
  // One report, or several if the records do not fit in one.
  std::vector<std::vector<uint8_t>> Encode(
      const std::vector<PartRecord>& records,
      TimePoint now) const;

  TrafficContext& context_;
  SendFunction send_;
  ReportEndpoints endpoints_;
  TimePoint last_full_report_{};
  // Parts whose last change came from the own cell, since the last tick.
  std::set<PromptPartId> learned_in_cell_;
  PromptPartId last_sent_;  // Where the next full report goes on.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_QUARANTINE_REPORTER_H_
