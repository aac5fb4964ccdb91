// One completion: admission, prefill, KV transfer, decode, and recovery from
// whatever fails on the way. Owns the request until its one answer is whole.
//
//   Place -> Prefill -> Decode -> Finish
//     ^         |         |
//     `---------+---------' an engine failed: again, from the first token
//                           that was not delivered

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

class Completion : public std::enable_shared_from_this<Completion> {
 public:
  Completion(TrafficContext& context,
             std::shared_ptr<const Plan> plan,
             std::string id,
             CompletionParameters parameters,
             std::shared_ptr<ResponseStream> stream);
  ~Completion();

  void Start();
  // Checks time limits and back-pressure. Called often.
  void Tick(TimePoint now);
  // The caller is gone: everything is cancelled.
  void OnCallerDisconnected();

  bool done() const { return stage_ == Stage::kDone; }

 private:
  enum class Stage { kPlacing, kPrefill, kDecode, kDone };

  void Place();
  void OnGrant(const RequestId& attempt_id, Result<SlotGrant> result);
  void Prefill();
  void OnPrefill(const ClientResponse& response);
  void Decode(const std::string& handle);
  void ResumeDecode();
  void ReadStream(ClientRequest request);
  void OnStreamData(int status, std::string_view data);
  void OnStreamEnd(const ClientResponse& response);
  void OnEvent(const std::string& data);
  void Deliver(const std::string& token, int64_t index);
  void Finish();
  void Fail(const Error& error);
  void Retry(std::string_view reason, BackendId failed);
  void ObserveFailure(const BackendId& backend);
  void ObserveGap();
  void CancelEngines();
  void EndAttempt();
  void End();
  // Gives a prefill up that takes far longer than predicted.
  void GiveUpSlowPrefill(TimePoint now);
  // Whether moving the stream to another server saves more than it costs.
  bool MovePays(double gap_ms) const;
  void ControlFlow(TimePoint now);
  void LogEnd(std::string_view result) const;
  std::string UrlOf(const BackendId& backend) const;

  TrafficContext& context_;
  std::shared_ptr<const Plan> plan_;
  const Model model_;
  const std::string id_;
  const CompletionParameters parameters_;
  CompletionWriter writer_;

  Stage stage_ = Stage::kPlacing;
  const TimePoint started_;
  int attempts_ = 0;
  RequestId attempt_id_;   // Names this attempt at engines and allocators.
  bool reserved_ = false;  // A reservation is waiting or held.
  SlotGrant grant_;
  std::vector<BackendId> failed_;
  TransferId transfer_ = 0;  // The exchange under way.
  TimePoint stage_started_;
  int resumes_ = 0;        // On the same engine since the last token.
  bool decoding_ = false;  // A decode server knows this attempt.

  SseParser parser_;
  TokenSequencer sequencer_;
  int64_t total_ = -1;  // Tokens of the whole answer; -1 until known.
  TimePoint first_token_;
  TimePoint last_token_;
  TimePoint last_data_;
  int64_t delivered_ = 0;  // Tokens delivered by this process.
  TimePoint gap_since_;    // Start of the current gap measurement.
  int64_t gap_tokens_ = 0;
  bool reported_slow_ = false;
  bool moved_ = false;   // Left a slow server once; not again.
  bool paused_ = false;  // Reading stopped for a slow caller.
  TimePoint paused_since_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_H_
