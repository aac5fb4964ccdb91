// One traffic thread: routes callers' requests and owns them until answered.

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

class TrafficWorker : public ServerRequestHandler {
 public:
  // `name` makes request ids unique within the instance.
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
  // Requests that are not answered, from any thread.
  size_t open() const { return open_; }

 private:
  struct OpenCompletion {
    std::shared_ptr<Completion> completion;
    AccountId account;
    uint64_t connection_id = 0;
  };

  void HandleCompletion(const ServerRequest& request,
                        const std::shared_ptr<ResponseStream>& stream);
  void HandleService(const ServerRequest& request,
                     const std::shared_ptr<ResponseStream>& stream);
  void HandleEntries(const ServerRequest& request,
                     const std::shared_ptr<ResponseStream>& stream);
  void HandleModels(const std::shared_ptr<ResponseStream>& stream);
  std::optional<Error> Admit(const Plan& plan, const AccountId& account);
  void AnswerService(const std::shared_ptr<ResponseStream>& stream,
                     const Outcome& outcome);
  void Tick();
  // Starts the periodic checks, which run while completions are open.
  void Arm();
  void CountOpen();

  std::string name_;
  HttpClient http_;
  RetryBudget retries_{kRetryShare, kRetryBurst};
  TrafficContext context_;
  ServiceRunner services_;
  boost::asio::steady_timer timer_;
  bool armed_ = false;  // The timer is running.
  uint64_t last_id_ = 0;
  std::map<std::string, OpenCompletion> completions_;
  size_t open_calls_ = 0;
  std::atomic<size_t> open_{0};
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_TRAFFIC_WORKER_H_
