// A request to a model:
//
// 1. Admission: chooses a decode server with capacity and reserves KV memory
//    there, if the engines support that; else waits in the admission queue.
// 2. Prefill: a prefill server reads the prompt and returns a KV handle.
// 3. Decode: the decode server fetches the KV cache behind the handle and
//    streams events, which are relayed to the caller. A broken stream may be
//    resumed at another decode server, if the route allows it.
//
// If the prefill servers are too slow or fail, the decode server prefills the
// prompt itself. A request is late when its target latency cannot be met any
// more because the caller spent that time on earlier tries.

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

  // Tries to admit the request to a decode server. Returns false if none has
  // capacity and the request has to wait; true if it was admitted, failed or
  // has ended already.
  bool TryAdmit();
  // The request passed its wait deadline in the admission queue. Ends it with
  // an error.
  void OnWaitExpired();
  void OnQuarantine() override;

 private:
  // Expected time from admission to the first event, in milliseconds, besides
  // the estimated prefill time.
  static constexpr double kFirstEventMs = 80;
  // Longest wait for capacity on routes without a target latency.
  static constexpr Duration kMaxWait = Seconds(1);
  // Failed connections to servers after which the request is rejected.
  static constexpr int kMaxUnreachable = 4;
  // Prefill attempts before the decode server prefills the prompt itself.
  static constexpr int kMaxPrefills = 2;

  void Begin() override;
  void AddLogFields(LogEvent& line) const override;
  int64_t EventsReceived() const override { return framer_.event_count(); }
  bool UsedServers() const override {
    return prefills_ > 0 || ActiveRequest::UsedServers();
  }

  // Whether the target latency could not be met any more when the request
  // arrived, because of the caller's earlier tries.
  bool MissedTarget() const;
  QueueRank Rank() const;
  // How long the request may wait for capacity from now on.
  Duration MaxWait() const;
  // How long the request may wait for capacity in the admission queue.
  TimePoint WaitDeadline() const;
  // Puts the request into the admission queue.
  void WaitForCapacity();
  // Releases what was taken at the chosen decode server and chooses again, or
  // waits for capacity.
  void RetryAdmission();
  // Logs `admission_wait` once: the figures of the best server, for which the
  // request has to wait.
  void LogAdmissionWait(const PlacementChoice& choice);
  // `excluded`: servers besides those that failed the request.
  PlacementChoice ChooseDecodeServer(std::set<BackendId> excluded = {});
  // `excluded`: servers besides those that failed the prefill.
  PlacementChoice ChoosePrefillServer(std::set<BackendId> excluded = {});
  // Estimated prefill time of the prompt at a prefill server, without queueing,
  // in milliseconds.
  double PrefillMillis() const;
  // Whether a prefill server can prefill the prompt in time for the first
  // event. True as well if nothing depends on it: for requests in progress, and
  // without a prefill server or target latency.
  bool PrefillInTime();
  // Whether the service's engines support KV reservations.
  bool SupportsKvReservation() const;
  // Drops the KV handle if its server may have freed it.
  void DropExpiredHandle();
  // Whether the decode server can prefill the prompt itself in time.
  bool DecodePrefillInTime(const PlacementChoice& decode) const;
  // Whether the record of `server` (state, address, incarnation ...) has not
  // changed since it was chosen.
  bool IsCurrent(const BackendServer& server) const;
  // The decode server has capacity, with a KV reservation if supported.
  void OnAdmitted();
  // Requests a KV reservation at `server`.
  void ReserveKv(const BackendServer& server);
  void OnReserveEnd(const BackendServer& server, AttemptOutcome outcome);
  // The response of `server` names no reservation. Another server is tried.
  void OnReservationMalformed(const BackendServer& server, const Error& error);
  void ReleaseKvReservation();
  // Starts the prefill, or goes on to decode if there is nothing to prefill at
  // a prefill server.
  void Prefill();
  // Why the prefill may not be taken from the silent `server` now.
  MoveObstacle PrefillMoveObstacle(const BackendServer& server);
  void OnPrefillEnd(const BackendServer& server, AttemptOutcome outcome);
  void RecordPrefillSpeed(const BackendServer& server, double ms);
  // Frees the prefill result at its server and forgets the KV handle.
  void DropHandle();
  // How long after a prefill its KV handle may be used.
  Duration HandleTtl() const;
  // Sends the request to the chosen decode server; chooses again if the record
  // of that server has changed.
  void Decode();
  void StartDecode(const BackendServer& server);
  // Returns whether the body is an event stream to relay.
  bool OnDecodeHead(const http::response_header<>& head,
                    const BackendResponse& response);
  void OnDecodeData(std::string data);
  // Accounts for the memory of an event that is not complete yet. Returns
  // whether there is enough.
  bool HoldPartialEvent();
  // Passes on complete events. `events_before`: the number before them.
  void RelayEvents(std::string events, int64_t events_before);
  // Ends the attempt in progress, if any: its server sends too much.
  void AbortAttempt();
  void LogStreamFault() const;
  // Raises the load charge of the stream with its memory.
  void UpdateDecodeCharge();
  // Updates the latency figures when events arrived; `first`: the first ones.
  void RecordEvent(bool first);
  // Records the mean time for an event of the attempt that ended.
  void RecordDecodeSpeed(const BackendServer& server);
  void OnDecodeEnd(const BackendServer& server, AttemptOutcome outcome);
  // The decode server stated that it did not execute the request.
  void OnDecodeNotExecuted();
  // Whether a request that was taken from a silent server waits for a server
  // instead of failing.
  bool MayAskAgain() const;
  // Admits such a request again, to any server.
  void RetryMovedRequest();
  // The stream broke or the server failed: resumes or ends the request.
  void OnDecodeFailed(bool timed_out);
  // An attempt at `server` ended. If its response broke off, or may have, finds
  // out whether the server ended with it. Such ends are the evidence of the
  // quarantine.
  void CheckBrokenServer(const BackendServer& server,
                         const AttemptOutcome& outcome);
  // A server served the request whole, in `time`.
  void RecordServed(Duration time);
  // Ends the request if its prompt has a quarantined part, or if it would be
  // repeated though it may be what ended a server. Returns whether it did.
  bool EndIfQuarantined();
  // Why the stream may not be resumed at another server, apart from the retry
  // budget, when `executions` servers may have executed it.
  MoveObstacle ResumeObstacle(int executions) const;
  // Why the stream may not be taken from the silent `server` now.
  MoveObstacle DecodeMoveObstacle(const BackendServer& server);
  // Ends the request with an error. `code` is replaced if a server may have
  // executed the request, since `code` may say that none did. `earliest`: see
  // SendErrorResponse.
  void FailRequest(ErrorCode code,
                   std::string_view why,
                   std::optional<TimePoint> earliest = std::nullopt);
  // Output tokens generated so far.
  int64_t GeneratedTokens() const;
  // KV memory of the request at a decode server, in tokens: prompt, generated
  // tokens, and those that it will soon generate.
  int64_t KvTokens() const;
  // KV memory that the request is expected to need at its end, in tokens. By
  // this it is placed and counted.
  int64_t ExpectedKvTokens() const;
  // Adds a load charge for this request at `server`; replaces the last one.
  void ChargeLoad(const BackendId& server);
  void ReleaseLoad();
  // How long the decode server may be silent before another one is looked for.
  Duration EventTimeout() const;
  // Null if the service has no engine data in the configuration.
  const EngineSpec* Engine() const;

  EventStreamFramer framer_;
  MemoryBudget::Share partial_event_memory_;
  // Estimated time that the caller spent on earlier tries.
  Duration caller_time_spent_{};
  bool late_ = false;        // The target latency can no longer be met.
  TimePoint wait_deadline_;  // In the admission queue.
  bool waited_ = false;
  std::optional<BackendServer> decode_server_;   // Chosen; not yet used.
  uint64_t load_charge_id_ = 0;                  // At decode_server_; 0: none.
  int64_t charged_kv_tokens_ = 0;                // Of the decode attempt.
  std::optional<KvReservation> kv_reservation_;  // At decode_server_.
  std::optional<PrefillHandle> handle_;          // Not yet fetched.
  TimePoint handle_deadline_;       // handle_ is not used after it.
  bool prefill_at_decode_ = false;  // By the decode server itself.
  std::set<BackendId> failed_prefills_;
  // The prefill server had no other known prompt, so that the time of the
  // prefill shows its speed.
  bool prefill_server_idle_ = false;
  LoadCharge prefill_load_;  // There, without this request.
  int prefills_ = 0;         // Prefill attempts that reached a server.
  int unreachable_ = 0;      // Servers that could not be reached.
  int decode_rejections_ = 0;
  // Whether the last decode attempt used a KV reservation.
  bool reservation_confirmed_ = false;
  int resumes_ = 0;
  double admitted_ms_ = 0;
  double prefill_ms_ = 0;
  double first_event_ms_ = 0;
  TimePoint last_event_;
  // First event of the decode attempt, and the number of events by then.
  std::optional<TimePoint> attempt_first_event_;
  int64_t attempt_first_count_ = 0;
  // The caller read so slowly that the attempt had to wait.
  bool slow_reader_ = false;
  double longest_gap_ms_ = 0;  // Between events.
  double memory_share_ = 0;    // Of the decode server when it was chosen.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_ENGINE_REQUEST_H_
