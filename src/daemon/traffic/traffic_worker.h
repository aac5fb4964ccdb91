// Handles the HTTP requests of callers on one traffic thread.

#ifndef MANGOYOKE_DAEMON_TRAFFIC_TRAFFIC_WORKER_H_
#define MANGOYOKE_DAEMON_TRAFFIC_TRAFFIC_WORKER_H_

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>

#include "daemon/traffic/completion.h"
#include "daemon/traffic/service_runner.h"
#include "daemon/traffic/traffic_context.h"
#include "http/http_dispatcher.h"

namespace mangoyoke {

// Routes requests by path, checks admission limits, and owns active completions
// until they end.
class TrafficWorker : public ServerRequestHandler {
 public:
  // `name` must be unique within the instance; request ids contain it.
  TrafficWorker(boost::asio::io_context& io,
                std::string name,
                const Settings& settings,
                Metrics& metrics,
                ControlInterface& control,
                AccountRequestLimiter& accounts);

  void OnRequest(ServerRequest request,
                 std::shared_ptr<ResponseStream> stream) override;
  void OnDisconnect(uint64_t connection_id) override;

  ServiceRunner& service_runner() { return services_; }
  // Number of active requests. Thread-safe.
  size_t open() const { return active_requests_; }

 private:
  struct ActiveCompletion {
    std::shared_ptr<Completion> completion;
    AccountId account;
    uint64_t connection_id = 0;
  };

  void HandleCompletion(const ServerRequest& request,
                        const std::shared_ptr<ResponseStream>& stream);
  void HandleService(const ServerRequest& request,
                     const std::shared_ptr<ResponseStream>& stream);
  // Serves /v1/entries: the instances of a zone and their tickets.
  void HandleInstanceList(const ServerRequest& request,
                          const std::shared_ptr<ResponseStream>& stream);
  void HandleModels(const std::shared_ptr<ResponseStream>& stream);
  // Checks the limits of the instance and of the client account. If it returns
  // no error, the request is counted for the account.
  std::optional<Error> Admit(const Plan& plan, const AccountId& account);
  void SendServiceResponse(const std::shared_ptr<ResponseStream>& stream,
                           const Outcome& outcome);
  // Runs the periodic checks of all completions and removes those that ended.
  void Tick();
  // Schedules the next Tick. The timer runs only while completions are active.
  void StartTimer();
  // Updates `active_requests_` for readers on other threads.
  void UpdateActiveCount();

  std::string name_;
  HttpClient http_;
  RetryBudget retries_{kRetryShare, kRetryBurst};
  TrafficContext context_;
  ServiceRunner services_;
  boost::asio::steady_timer timer_;
  bool timer_running_ = false;
  uint64_t last_request_number_ = 0;
  std::map<std::string, ActiveCompletion> completions_;
  size_t active_calls_ = 0;  // Of plain services.
  std::atomic<size_t> active_requests_{0};
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_TRAFFIC_WORKER_H_
