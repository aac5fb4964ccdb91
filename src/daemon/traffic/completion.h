// Serves one completion request: reserves slots, runs prefill and decode, and
// retries on other servers until the response is complete or has failed.
//
//   ReserveSlots -> Prefill -> Decode -> Finish
//        ^             |         |
//        `-------------+---------' an engine failed: the next attempt continues
//                                  at the first token not yet delivered

#ifndef MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_H_
#define MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_H_

#include <memory>
#include <string>
#include <vector>

#include "daemon/traffic/completion_parameters.h"
#include "daemon/traffic/completion_writer.h"
#include "daemon/traffic/sse_parser.h"
#include "daemon/traffic/traffic_context.h"
#include "mangoyoke/token_sequencer.h"

namespace mangoyoke {

// A state machine that runs on the event loop of its traffic thread and must be
// held by a shared_ptr: callbacks keep weak references to it.
class Completion : public std::enable_shared_from_this<Completion> {
 public:
  // `id` is the request id that the caller sees; the id of each attempt is
  // derived from it.
  Completion(TrafficContext& context,
             std::shared_ptr<const Plan> plan,
             std::string id,
             CompletionParameters parameters,
             std::shared_ptr<ResponseStream> stream);
  ~Completion();

  // Begins the first attempt, or resumes a stream that broke off.
  void Start();
  // Checks timeouts and applies backpressure. Called periodically.
  void Tick(TimePoint now);
  // Cancels the attempt in progress, because the caller has disconnected.
  void OnCallerDisconnected();

  // True once the response has ended and everything is released.
  bool done() const { return stage_ == Stage::kDone; }

 private:
  enum class Stage { kReserving, kPrefill, kDecode, kDone };

  // Begins a new attempt: requests a prefill and a decode slot.
  void ReserveSlots();
  void OnGrant(const RequestId& attempt_id, Result<SlotGrant> result);
  void Prefill();
  void OnPrefill(const ClientResponse& response);
  void Decode(const std::string& handle);
  // Reconnects to the stream of this attempt at the same decode server.
  void ResumeDecode();
  void StartDecodeStream(ClientRequest request);
  void OnStreamData(int status, std::string_view data);
  void OnStreamEnd(const ClientResponse& response);
  // Handles one event of the decode server: a token or the end.
  void OnEvent(const std::string& data);
  // Passes one token, in order, to the caller.
  void Deliver(const std::string& token, int64_t index);
  // Ends the response successfully.
  void Finish();
  // Ends the response with an error.
  void Fail(const Error& error);
  // Ends the attempt and begins the next one, without the server `failed`.
  // Fails the request if no attempt is left.
  void Retry(std::string_view reason, BackendId failed);
  // Reports to the slot allocator that `backend` failed.
  void ReportFailure(const BackendId& backend);
  // Reports the mean time between tokens of the last window, and moves the
  // stream to another server if that is worthwhile.
  void ObserveTokenGap();
  // Cancels the attempt at the servers that may hold memory for it.
  void CancelOnEngines();
  // Cancels the attempt in progress and releases its reservation.
  void EndAttempt();
  // Releases everything and enters kDone.
  void Cleanup();
  // Retries elsewhere if the prefill takes far longer than predicted.
  void RetrySlowPrefill(TimePoint now);
  // Returns whether moving the stream to another server saves more time than
  // the new prefill costs. `gap_ms` is the current time between tokens.
  bool IsMoveWorthwhile(double gap_ms) const;
  // Pauses reading from the decode server while the caller reads too slowly,
  // and drops a caller that takes nothing for too long.
  void ApplyBackpressure(TimePoint now);
  // Logs the outcome of the request.
  void LogEnd(std::string_view result) const;
  // Returns an empty string if the plan has no such server.
  std::string BackendUrl(const BackendId& backend) const;

  TrafficContext& context_;
  std::shared_ptr<const Plan> plan_;
  const Model model_;
  const std::string id_;
  const CompletionParameters parameters_;
  CompletionWriter writer_;

  Stage stage_ = Stage::kReserving;
  const TimePoint start_time_;
  int attempts_ = 0;
  RequestId attempt_id_;   // Id of this attempt at engines and allocators.
  bool reserved_ = false;  // A reservation is queued or granted.
  SlotGrant grant_;
  std::vector<BackendId> failed_backends_;
  TransferId http_transfer_ = 0;  // HTTP request in flight; 0 if none.
  TimePoint stage_start_time_;
  int resumes_ = 0;        // On the same server since the last token.
  bool decoding_ = false;  // A decode server may hold this attempt.

  SseParser parser_;
  TokenSequencer sequencer_;
  int64_t total_tokens_ = -1;  // Of the complete response; -1 until known.
  TimePoint first_token_time_;
  TimePoint last_token_time_;
  TimePoint last_data_time_;
  int64_t delivered_tokens_ = 0;  // Tokens delivered by this instance.
  TimePoint gap_window_start_;    // Start of the current measuring window.
  int64_t gap_window_tokens_ = 0;
  bool reported_slow_ = false;
  bool moved_once_ = false;  // Left a slow server; at most once per request.
  bool paused_ = false;      // Reading is stopped for a slow caller.
  TimePoint pause_start_time_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_H_
