// One accepted request, from its arrival to its single final response: the base
// class of the requests to plain services and to models, and the table of all
// active requests.
//
// Timers and the caller's connection find a request by its id in the table, so
// an event that arrives after the request ended has no effect. Each request
// counts the backend servers that may have executed it; that count decides
// which errors, retries and resumes are allowed.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_ACTIVE_REQUEST_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_ACTIVE_REQUEST_H_

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/log.h"
#include "base/run_guarded.h"
#include "gateway/net/http_listener.h"
#include "gateway/traffic/account_gate.h"
#include "gateway/traffic/server_attempt.h"
#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

class ActiveRequest;

// Why a request may not go on at another server.
enum class MoveObstacle {
  kNone,        // It may.
  kRoute,       // The route allows one execution only.
  kMaxServers,  // No further server may execute it.
  kMaxResumes,  // Its stream was resumed too often.
  kNoTime,      // Its deadline is too close.
  kBudget,      // The retry budget is used up.
  kNoRoom,      // No other server has room, as far as known.
};

// The name of `obstacle` in logs; empty for kNone.
std::string_view MoveObstacleName(MoveObstacle obstacle);

// All active requests by id. Ids are never reused.
class ActiveRequestTable {
 public:
  explicit ActiveRequestTable(boost::asio::io_context& io) : io_(io) {}

  uint64_t NextId() { return next_id_++; }
  // Takes ownership of `request` and starts it.
  void Add(std::unique_ptr<ActiveRequest> request);
  // Returns null if the request has ended and was removed.
  ActiveRequest* Find(uint64_t id);
  // Calls `action` with the request, unless it was removed. If that throws,
  // ends the request with an error.
  template <typename Action>
  void Run(uint64_t id, const Action& action);
  // Ends the request later, since the handler that failed may belong to it.
  void EndAfterFailure(uint64_t id);
  // Destroys an ended request after the current callback has returned, since
  // that callback may belong to the request.
  void ScheduleRemoval(uint64_t id);
  // Ends every active request with an error, since the process stops.
  void EndAll();
  // Tells every active request that a part of prompts was quarantined.
  void NotifyQuarantine();
  // Tells every active request that another configuration is in force.
  void NotifyConfig();
  size_t size() const { return requests_.size(); }

 private:
  boost::asio::io_context& io_;
  std::map<uint64_t, std::unique_ptr<ActiveRequest>> requests_;
  uint64_t next_id_ = 1;
};

// A decoded request with the route and service chosen for it.
struct RoutedRequest {
  HttpRequest request;
  CallerRequest caller_request;
  std::shared_ptr<HttpResponder> responder;
  std::shared_ptr<const ServingConfig> config;  // Keeps `route` alive.
  const RouteRule* route = nullptr;
  ServiceId service;
  CallerIdentity identity;
  int priority = 0;  // Of the account or the route; 0 is the most urgent.
  QuotaCharge quota_charge;
};

// Base class. Derived classes send the request to backend servers; this class
// handles the timeout, the caller's connection, the final response, metrics and
// the `request_end` log line.
class ActiveRequest {
 public:
  ActiveRequest(TrafficContext& context,
                ActiveRequestTable& table,
                RoutedRequest input);
  virtual ~ActiveRequest();

  uint64_t id() const { return id_; }
  // Starts the timeout and the first attempt. Called once, by the table.
  void Start();
  // Ends the request with the error that fits what may have been executed; no
  // effect if it has ended.
  void EndNow(std::string_view why);
  // The same, after a handler of the request failed.
  void EndAfterFailure();
  // A part of prompts was quarantined.
  virtual void OnQuarantine() {}
  // Another configuration is in force.
  void OnConfigChanged();

 protected:
  // Starts serving the request; called by Start().
  virtual void Begin() = 0;
  // The caller closed its connection. The default cancels the request;
  // overridden where an attempt must not be cancelled.
  virtual void OnCallerDisconnected();
  // The request reached its deadline. Ends it with an error.
  virtual void OnTimeout();
  // Adds the fields of the derived class to the `request_end` log line.
  virtual void AddLogFields(LogEvent& line) const;
  // Whether a server may have worked for the request.
  virtual bool UsedServers() const { return possible_executions_ > 0; }
  // Events of a stream received so far.
  virtual int64_t EventsReceived() const { return 0; }

  // Time until the request's deadline; negative once it has passed.
  Duration TimeLeft() const;
  // Time since the request arrived.
  Duration Age() const { return SteadyClock::now() - arrived_; }
  // The timeout to state to a backend server, at least 1 ms. Ends when the
  // caller's own timeout or that of the route ends, whichever is first.
  Millis ServerTimeout() const;

  // Final responses. Each call ends the request, and only one may be made.

  // Sends the error response for `code`; `why` is its detail and is logged.
  // `earliest`: when a server of the service wants requests again, if none does
  // now; callers are told to come back after that.
  void SendErrorResponse(ErrorCode code,
                         std::string_view why,
                         std::optional<TimePoint> earliest = std::nullopt);
  // Whether a server's response with `status`, which did not state that the
  // server did not execute the request, would tell the caller so although the
  // request must not be executed twice.
  bool FalselyPromises(unsigned status) const;
  // Ends the request after such a response.
  void FailOnFalsePromise();
  // Rejects the request if no server may have executed it and it would hardly
  // be served before this process stops. Returns whether it did.
  bool RejectIfTooLateForStop();
  // Rejects the request if no server may have executed it and its API key was
  // withdrawn since it arrived. Returns whether it did.
  bool RejectIfKeyWithdrawn();
  // Sends a backend server's complete response. `body_memory`: of `body`.
  void Reply(const http::response_header<>& head,
             std::string body,
             MemoryBudget::Share body_memory);
  // Ends a streamed response normally.
  void EndStream();
  // Closes the caller's connection in the middle of a streamed response, so
  // that the response does not look complete.
  void AbortStream(ErrorCode code, std::string_view why);
  // Ends the request without a response, as the caller is gone.
  void EndWithoutResponse(std::string_view outcome);

  // Takes one retry from the service's retry budget, unless KeepWaiting has
  // taken it. Returns false if the budget is used up.
  bool TryAcquireRetry();
  // Whether the retry budget has a retry left. Takes none.
  bool RetryAllowed() const;
  // `server` was silent for the timeout of the current attempt. `obstacle`: why
  // the request may not go to another server now. If it may, takes a retry for
  // that and returns nothing: the attempt has to be ended. Else returns the
  // time after which to ask again; until then the server may go on.
  std::optional<Duration> KeepWaiting(const BackendServer& server,
                                      MoveObstacle obstacle);
  // Chooses a server of the request's service, without the excluded servers.
  PlacementChoice ChooseServer(PlacementQuery query);
  // Whether `server` has not said that it wants no new requests.
  bool WantsWork(const BackendServer& server) const;
  // Sends `request` of this instance itself to `server`. Cancels the current
  // attempt, if any.
  void StartOwnAttempt(const BackendServer& server,
                       HttpRequest request,
                       Duration timeout,
                       AttemptCallbacks callbacks);
  // Sends the request to `server`. Cancels the current attempt, if any.
  // `timeout`: how long the attempt may take.
  void StartAttempt(const BackendServer& server,
                    const BackendRequestOptions& options,
                    const LoadCharge& charge,
                    Duration timeout,
                    AttemptCallbacks callbacks);
  // An attempt took `ms_per_unit` milliseconds for a unit of work at `server`,
  // where `requests` others were in flight; see ServerSpeeds.
  void RecordSpeed(const BackendServer& server,
                   int64_t requests,
                   double ms_per_unit);
  // Updates the health record of `server` from an ended attempt, and logs
  // `send_failed` unless it succeeded. `slowness`: time taken divided by time
  // expected; 0 if not known.
  void RecordServerOutcome(const BackendServer& server,
                           const AttemptOutcome& outcome,
                           double slowness);
  // The retry budget is used up. Drops the ended attempt and calls `action`
  // when it is time to ask again.
  void AskAgainLater(std::function<void()> action);
  // An event or the response of the current attempt arrived.
  void RecordProgress();
  // Logs `attempt_silent`: the timeout of the last attempt ended while its
  // server was silent. `decision`: what becomes of the request; `obstacle`: why
  // it does not go to another server.
  void LogSilence(std::string_view decision, MoveObstacle obstacle) const;
  // Returns a callback that calls `action` on this request, or does nothing if
  // the request is no longer in the table.
  template <typename Request>
  std::function<void()> GuardedCallback(void (Request::*action)()) {
    return [&table = table_, id = id_, action] {
      table.Run(id, [action](ActiveRequest& request) {
        (static_cast<Request&>(request).*action)();
      });
    };
  }

  TrafficContext& context_;
  ActiveRequestTable& table_;
  RoutedRequest input_;
  std::unique_ptr<ServerAttempt> attempt_;  // The current attempt, if any.
  std::set<BackendId> excluded_;            // Servers that failed this request.
  int attempts_sent_ = 0;                   // Attempts that reached a server.
  int possible_executions_ = 0;  // Servers that may have executed it.
  bool streaming_ = false;       // The response head of a stream was written.
  bool ended_ = false;
  // Was taken from a silent server, which might have gone on.
  bool moved_ = false;

 private:
  // When the caller of a request that was not executed may come back.
  Duration RetryAfter(ErrorCode code, std::optional<TimePoint> earliest);
  // The same callbacks; one that throws ends the request with an error.
  AttemptCallbacks Guarded(AttemptCallbacks callbacks);
  // Takes back what the account was charged, unless a server may have worked
  // for the request.
  void RefundQuota();
  // Counts, logs and removes the request. `status` is 0 without a response.
  void End(std::string_view outcome, std::string_view why, int status);

  uint64_t id_;
  TimePoint arrived_;
  TimePoint deadline_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer ask_again_timer_;
  bool retry_taken_ = false;  // By KeepWaiting, and not yet used.
  // The silence of the current attempt was logged and recorded.
  bool silence_known_ = false;
  BackendId last_server_;
  ServerStage last_stage_ = ServerStage::kCombined;
  // Start of the current attempt or its last event, whichever is later.
  TimePoint last_progress_{};
};

template <typename Action>
void ActiveRequestTable::Run(uint64_t id, const Action& action) {
  if (ActiveRequest* request = Find(id)) {
    RunGuarded(
        "request", [&] { action(*request); }, [&] { EndAfterFailure(id); });
  }
}

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_ACTIVE_REQUEST_H_
