// Exchanges what instances learned of the speed of servers; see
// docs/design/learned-capacity.md. Each instance sends
//
// - its own summaries that changed to all others of its cell;
// - the sums of its cell to one random instance of the zone's other cells, and
//   the sums of its zone to one random instance of the other zones.
//
// An instance that knows nothing asks a peer, which forwards what it knows.
// Nothing is sent while nothing is known, but for a few such questions.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_SPEED_REPORTER_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_SPEED_REPORTER_H_

#include "gateway/traffic/peer_reporter.h"
#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

class SpeedReporter : public PeerReporter {
 public:
  SpeedReporter(TrafficContext& context, SendFunction send)
      : context_(context), send_(std::move(send)) {}

  PeerReportKind kind() const override { return PeerReportKind::kServerSpeed; }
  void SetPeers(ReportEndpoints endpoints) override {
    endpoints_ = std::move(endpoints);
  }
  void Tick(TimePoint now) override;
  void Apply(const nlohmann::json& report, TimePoint now) override;
  void ApplyFrom(const nlohmann::json& report,
                 const boost::asio::ip::udp::endpoint& sender,
                 TimePoint now) override;

 private:
  using Endpoint = boost::asio::ip::udp::endpoint;

  // Null if there is none.
  const Endpoint* RandomOf(const ReportEndpoints::Endpoints& peers);
  bool IsCellPeer(const Endpoint& peer) const;
  // Asks a peer of the cell for what it knows.
  void Ask();
  // Forwards all that is known, source by source.
  void Answer(const Endpoint& peer, TimePoint now);
  // Sends the sum of all records up to `max_scope` to one of `peers`.
  void SendSum(ReportScope max_scope,
               const SpeedSource& source,
               const ReportEndpoints::Endpoints& peers,
               TimePoint now);
  // Whether `source` is, or includes, this instance.
  bool IncludesSelf(const SpeedSource& source) const;
  // Counts and logs records that make no sense.
  void LogInvalidRecords(const std::string& source, int64_t records);

  TrafficContext& context_;
  SendFunction send_;
  ReportEndpoints endpoints_;
  int questions_ = 0;
  TimePoint last_question_{};
  TimePoint last_answer_{};
  TimePoint last_own_report_{};
  TimePoint last_cell_sum_{};
  TimePoint last_zone_sum_{};
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_SPEED_REPORTER_H_
