// A request to a model: room is found at a decode server, the prompt is read
// by a prefill server, then the decode server takes the memory over and
// streams events.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_ENGINE_REQUEST_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_ENGINE_REQUEST_H_

#include "gateway/core/admission_queue.h"
#include "gateway/core/event_stream_framer.h"
#include "gateway/traffic/active_request.h"

namespace mangoyoke {

class EngineRequest : public ActiveRequest {
 public:
  EngineRequest(TrafficContext& context,
                ActiveRequestTable& table,
                RoutedRequest input);
  ~EngineRequest() override;

  // Goes on if a decode server has room. Returns whether it does.
  bool TryAdmit();
  // Waited for room until the target was out of reach.
  void OnWaitExpired();

 private:
  // Time from admission to the first event, beyond the prefill estimate.
  static constexpr double kFirstEventMs = 80;
  // Without a target, a request waits for room at most this long.
  static constexpr Duration kLongestWait = Seconds(1);
  // Servers that may fail to be connected before a request is refused.
  static constexpr int kMaxUnreachable = 4;
  // Prefill servers tried before the decode server reads the prompt itself.
  static constexpr int kMaxPrefills = 2;

  void Begin() override;
  void DescribeEnd(LogEvent& line) const override;

  // Whether the target was out of reach when the request arrived.
  bool MissedTarget() const;
  QueueRank Rank() const;
  // How long the request may wait for room from now on.
  Duration LongestWait() const;
  void Wait();
  // Looks for a decode server again, after the chosen one failed the request.
  void AdmitAgain();
  // Logs, once, why the request is not admitted at once.
  void LogAdmissionWait(const PlacementChoice& choice);
  PlacementChoice ChooseDecode();
  PlacementChoice ChoosePrefill();
  // Time that a prefill server needs for the prompt.
  double PrefillMillis() const;
  // Whether the prompt is read, or can be before the first event is due.
  bool PrefillInTime();
  // Whether the service's engines reserve room.
  bool SupportsKvReservation() const;
  void DropExpiredHandle();
  // Whether the decode server can read the prompt itself in time.
  bool ReadsInTime(const PlacementChoice& decode) const;
  // Whether `server` is still what it was when it was chosen.
  bool StillReady(const BackendServer& server) const;
  // The target server has room.
  void Admitted();
  void ReserveKv(const BackendServer& server);
  void OnReserveEnd(const BackendServer& server, AttemptOutcome outcome);
  void ReleaseKvReservation();
  void Prefill();
  void OnPrefillEnd(const BackendServer& server, AttemptOutcome outcome);
  void DropHandle();
  // How long after a prefill its handle may be used.
  Duration HandleTtl() const;
  void Decode();
  void SendDecode(const BackendServer& server);
  bool OnDecodeHead(const http::response_header<>& head,
                    const BackendResponse& response);
  void OnDecodeData(std::string data);
  void NoteEvent(bool first);
  void OnDecodeEnd(const BackendServer& server, AttemptOutcome outcome);
  void OnDecodeNotExecuted();
  void OnDecodeBroken(bool timed_out);
  void FailBeforeRun(ErrorCode code, std::string_view why);
  // Memory that the request occupies once it runs, and soon after.
  int64_t KvTokens() const;
  // Marks memory at `server` as this run's, in place of what was marked.
  void ChargeLoad(const BackendId& server);
  void ReleaseLoad();
  Duration EventLimit() const;
  const EngineSpec* Engine() const;

  EventStreamFramer framer_;
  Duration spent_{};         // By the caller on earlier tries, by estimate.
  bool late_ = false;        // The target was missed on an earlier try.
  TimePoint wait_deadline_;  // Until then the request may wait for room.
  bool waited_ = false;
  std::optional<BackendServer> target_;          // Decode server with room.
  uint64_t load_charge_id_ = 0;                  // Its memory; 0: none marked.
  std::optional<KvReservation> kv_reservation_;  // Confirmed by the server.
  std::optional<PrefillHandle> handle_;          // Read and not yet taken.
  TimePoint handle_until_;     // handle_ is kept at least until then.
  bool reads_itself_ = false;  // The decode server reads the prompt.
  std::set<BackendId> failed_prefills_;
  bool prefill_alone_ = false;  // No other prompt was known at its server.
  int prefills_ = 0;            // Prefill calls that reached a server.
  int unreachable_ = 0;         // Servers that could not be connected.
  int decode_refusals_ = 0;
  bool reservation_confirmed_ =
      false;  // By the server of the last decode send.
  int resumes_ = 0;
  double admitted_ms_ = 0;
  double prefill_ms_ = 0;
  double first_event_ms_ = 0;
  TimePoint last_event_;
  double longest_gap_ms_ = 0;  // Between events.
  double memory_share_ = 0;    // Of the decode server, when it was chosen.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_ENGINE_REQUEST_H_
