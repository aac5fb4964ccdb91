// One accepted request, from its arrival to its one final answer.
//
// A run is in the run table until it ended; callbacks reach it by its id, so a
// late event meets nothing. What may have run is a fact of the run, set in one
// place, from which refusals, repeats and resumes follow.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_ACTIVE_REQUEST_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_ACTIVE_REQUEST_H_

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/log.h"
#include "gateway/net/http_listener.h"
#include "gateway/traffic/server_attempt.h"
#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

class ActiveRequest;

// All runs under way, by id. Ids are never used twice.
class ActiveRequestTable {
 public:
  explicit ActiveRequestTable(boost::asio::io_context& io) : io_(io) {}

  uint64_t NextId() { return next_id_++; }
  void Add(std::unique_ptr<ActiveRequest> request);
  ActiveRequest* Find(uint64_t id);
  // Removes an ended run once the current callback has returned.
  void Retire(uint64_t id);
  size_t size() const { return requests_.size(); }

 private:
  boost::asio::io_context& io_;
  std::map<uint64_t, std::unique_ptr<ActiveRequest>> requests_;
  uint64_t next_id_ = 1;
};

// What a run is made of.
struct RoutedRequest {
  HttpRequest request;
  CallerRequest caller_request;
  std::shared_ptr<HttpResponder> responder;
  std::shared_ptr<const ServingConfig> config;  // Keeps `route` alive.
  const RouteRule* route = nullptr;
  ServiceId service;
};

class ActiveRequest {
 public:
  ActiveRequest(TrafficContext& context,
                ActiveRequestTable& table,
                RoutedRequest input);
  virtual ~ActiveRequest();

  uint64_t id() const { return id_; }
  // Called once, when the run is in the table.
  void Start();

 protected:
  virtual void Begin() = 0;
  // The caller left. What must not be cut off overrides this.
  virtual void OnCallerDisconnected();
  // The longest time is over.
  virtual void OnTimeout();
  // Writes what the kind of run knows into its last log line.
  virtual void DescribeEnd(LogEvent& line) const;

  Duration TimeLeft() const;
  Duration Age() const { return SteadyClock::now() - arrived_; }
  // Time that a backend server may be given.
  Millis ServerTime() const;

  // Final answers. Each ends the run.
  void SendErrorResponse(ErrorCode code, std::string_view why);
  void Reply(const http::response_header<>& head, std::string body);
  void EndStream();
  void BreakStream(ErrorCode code, std::string_view why);
  void EndSilently(std::string_view outcome);

  // Whether one more send is allowed; takes it from the budget.
  bool TryAcquireRetry();
  PlacementChoice Place(PlacementQuery query);
  // Starts a send to `server` in place of the current one.
  void Send(const BackendServer& server,
            const BackendRequestOptions& call,
            const LoadCharge& charge,
            Duration limit,
            AttemptCallbacks callbacks);
  // Records what an ended send says of its server.
  void RecordServerOutcome(const BackendServer& server,
                           const AttemptOutcome& outcome,
                           double slowness);
  // Calls `action` on this run unless it ended meanwhile.
  template <typename Request>
  std::function<void()> Later(void (Request::*action)()) {
    return [&table = table_, id = id_, action] {
      if (auto* request = static_cast<Request*>(table.Find(id))) {
        (request->*action)();
      }
    };
  }

  TrafficContext& context_;
  ActiveRequestTable& table_;
  RoutedRequest input_;
  std::unique_ptr<ServerAttempt> attempt_;  // The current send.
  std::set<BackendId> excluded_;            // Servers that failed this run.
  int sends_ = 0;                           // Sends that reached a server.
  int possible_executions_ = 0;  // Servers that may have run the request.
  bool streaming_ = false;       // The head of a streamed answer was written.
  bool ended_ = false;

 private:
  void End(std::string_view outcome, std::string_view why, int status);

  uint64_t id_;
  TimePoint arrived_;
  TimePoint deadline_;
  boost::asio::steady_timer timer_;
  BackendId last_server_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_ACTIVE_REQUEST_H_
