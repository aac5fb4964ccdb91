// A request to a plain service: one attempt, and retries at other servers where
// the route and the retry budget allow them. It waits here while no server has
// room (core/plain_queue.h).

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_PLAIN_REQUEST_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_PLAIN_REQUEST_H_

#include "gateway/core/plain_queue.h"
#include "gateway/traffic/active_request.h"
#include "gateway/traffic/plain_admission.h"

namespace mangoyoke {

class PlainRequest : public ActiveRequest {
 public:
  using ActiveRequest::ActiveRequest;
  ~PlainRequest() override;

  // Sends the request, which waits for room, if a server has room.
  QueuedAttempt TryQueued();
  // The time for which it was to wait for room has passed.
  void OnWaitExpired();

 private:
  void Begin() override;
  void OnCallerDisconnected() override;
  void AddLogFields(LogEvent& line) const override;

  // Sends the request to the next server with room, or lets it wait for room;
  // ends it if there is no server. If this is a retry, it was taken from the
  // retry budget.
  void StartNextAttempt();
  // The same if no server is known to have room and the request does not wait.
  void SendToAnyServer();
  void SendToOneOf(const std::set<BackendId>& servers);
  void SendTo(const PlacementChoice& choice);
  // What there is to decide on; servers of `excluded` get nothing.
  PlainQuery MakeQuery(std::set<BackendId> excluded) const;
  PlainOutlook Look(const PlainQuery& query);
  // Whether room may turn up at the servers of `outlook`.
  bool MayWaitForRoom(const PlainOutlook& outlook) const;
  // Adds the request to the queue of its service, or refuses it.
  void WaitForRoom();
  void LeaveQueue();
  // A server stated that it did not execute the request.
  void OnNotExecuted(const BackendServer& server,
                     const AttemptOutcome& outcome);
  // Sends a request that a full server rejected to one with room, or lets it
  // wait for room.
  void RetryOrWait();
  // `others`: requests in flight at `server` when the attempt began.
  void RecordAttemptSpeed(const BackendServer& server,
                          int64_t others,
                          const AttemptOutcome& outcome);
  void OnAttemptEnd(const BackendServer& server, AttemptOutcome outcome);
  // Why the request may not be sent again, apart from the retry budget, when
  // `sent` attempts reached a server and `executions` servers may have executed
  // it.
  MoveObstacle RetryObstacle(int sent, int executions) const;
  // Why the request may not be taken from the silent `server` now.
  MoveObstacle SilentServerObstacle(const BackendServer& server);
  // Retries if that is allowed, else fails.
  void RetryOrFail(ErrorCode code, std::string_view why);
  // Sends a request that was taken from a silent server to any server again, as
  // soon as the retry budget allows it.
  void RetryMovedRequest();
  // Whether a request that was taken from a silent server waits for a server
  // instead of failing.
  bool MayAskAgain() const;
  // Ends the request with the last error response of a server. If there is
  // none, ends it with `code`, or with kBackendBroken if `code` states that the
  // request was not executed although it may have been. `earliest`: when a
  // server is expected to accept it.
  void Fail(ErrorCode code,
            std::string_view why,
            std::optional<TimePoint> earliest = std::nullopt);
  // How long the next server may be silent before another one is looked for.
  Duration AttemptTimeout() const;

  Duration earlier_tries_{};         // Time that the caller has spent on them.
  int unreachable_ = 0;              // Servers that could not be reached.
  std::set<BackendId> rejected_by_;  // Servers that may have room later.
  int64_t known_requests_ = 0;       // At the server, when it was chosen.
  // Waited in the late part of the queue since its last attempt.
  bool waited_for_deadline_ = false;
  bool retry_paid_ = false;               // The next attempt's, while it waits.
  std::optional<uint64_t> queue_charge_;  // While it waits for room.
  TimePoint queued_since_{};
  Duration waited_{};                 // For room, in all.
  bool caller_disconnected_ = false;  // No further attempts.
  // Sent to the caller if no attempt succeeds.
  std::optional<AttemptOutcome> last_error_response_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_PLAIN_REQUEST_H_
