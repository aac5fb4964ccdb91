// Test harness that runs a complete system on loopback, each part in its own
// process, so that tests can kill processes and inject faults.

#ifndef MANGOYOKE_TESTS_INTEGRATION_CLUSTER_H_
#define MANGOYOKE_TESTS_INTEGRATION_CLUSTER_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http/http_client.h"

namespace mangoyoke::testing {

using Json = nlohmann::json;

// A child process. It is killed when the object is destroyed.
class Process {
 public:
  // Starts `command` (path and arguments). Its output is appended to the file
  // `log`.
  Process(const std::vector<std::string>& command, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void SendSignal(int signal) const;
  // Waits up to `timeout`. Returns the exit code, or -1 if the process was
  // killed by a signal or is still running.
  int WaitForExit(Millis timeout);
  // Sends SIGKILL and waits until the process is gone.
  void Kill();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;  // -1 once it is reaped.
};

// Returns a free loopback port below the ephemeral range.
int FreePort();

// Sends an HTTP request and waits for the response.
ClientResponse SendHttpRequest(const std::string& method,
                               const std::string& url,
                               const std::string& body = "",
                               const HttpHeaders& headers = {},
                               Millis timeout = Millis(10'000));
// Sends `body` and returns the response body, or an empty object if that is not
// a JSON object.
Json SendJsonRequest(const std::string& method,
                     const std::string& url,
                     const Json& body = Json::object());

// Returns the reason in the body of an error response, else "status N".
std::string ErrorReason(const ClientResponse& response);

// Polls until `condition` holds or `timeout` passes. Returns whether it held.
bool Eventually(const std::function<bool()>& condition,
                Millis timeout = Millis(10'000));

// Size and configuration of a Cluster.
struct ClusterOptions {
  int instances = 3;
  int zones = 3;
  int prefill_engines = 2;
  int decode_engines = 2;
  int service_servers = 1;
  std::string engine_flags;       // Appended to each engine's command line.
  std::string instance_settings;  // Appended to each settings file.
  std::string plan_extra;         // Appended to the plan.
  // Lines of the plan's [service bookings] section.
  std::string service_extra = "timeout_ms = 1500\n";
  bool proxied_instances = false;  // Peers connect through a fault proxy.
  bool proxied_services = false;   // Service calls pass a fault proxy.
  bool submit_plan = true;  // Submit PlanText() and wait until it is active.
};

// A platform, engines, services and instances, started by the constructor and
// killed by the destructor. Instance `i` has the id "entry<i>"; prefill engines
// have the ids "p<i>", decode engines "d<i>".
class Cluster {
 public:
  explicit Cluster(ClusterOptions options = {});
  ~Cluster();

  // Starts or restarts instance `index`. Throws if it does not come up.
  void StartInstance(int index);
  Process& instance(int index) { return *instances_.at(index); }
  Process& engine(const std::string& id) { return *engines_.at(id); }
  void KillInstance(int index) { instances_.at(index)->Kill(); }

  std::string CallerAddress(int index) const;
  std::string AdminUrl(int index) const;
  std::string PlatformUrl() const;
  std::string EngineUrl(const std::string& id) const;
  std::string ServiceUrl(int index) const;
  std::vector<std::string> EngineIds() const;

  // Sets the fault switches of the simulated system at `url`.
  void SetBehavior(const std::string& url, const Json& behavior);
  // Sets the fault of the proxy in front of an instance's peer port or of a
  // service.
  void SetPeerFault(int index, const Json& fault);
  void SetServiceFault(int index, const Json& fault);

  // The plan of all engines and services, followed by `extra`.
  std::string PlanText(const std::string& extra = "") const;
  // Submits a plan, based on revision `base`, through an instance. Returns the
  // HTTP response.
  ClientResponse SubmitPlan(int index,
                            const std::string& text,
                            int base,
                            const std::string& id);
  // The active plan revision of an instance, -1 if it does not respond.
  int64_t GetPlanRevision(int index);
  // Whether `revision` or a later one is active on all running instances.
  bool IsActiveEverywhere(int64_t revision);
  // The body of /admin/status, or an empty object.
  Json GetStatus(int index);
  // The value of a metric of an instance, 0 if it has none of that name.
  double ReadCounter(int index, const std::string& name);

  // Sends a completion request without streaming. Returns the HTTP response.
  ClientResponse SendCompletion(int index,
                                const std::string& prompt,
                                int tokens,
                                const HttpHeaders& headers = {});
  // Sends a booking with the given idempotency key.
  ClientResponse SendBooking(int index,
                             const std::string& key,
                             Millis timeout = Millis(8000));
  // A ticket for the current incarnation of an instance, as listed by that
  // instance; empty if there is none.
  std::string GetTicket(int index);
  // How often an idempotency key was executed, summed over all services.
  int64_t ExecutionCount(const std::string& key);

  // Runs the load generator and returns its report; throws if there is none.
  // `meanwhile` is called once while the load runs.
  Json RunLoad(const std::string& flags,
               const std::function<void()>& meanwhile = nullptr);
  // Sum of a field of /admin/stats over all running engines.
  double SumEngineStats(const std::string& name);
  // Whether no engine has queued or active requests or holds KV cache.
  bool EnginesIdle();

  // The plan revisions that became active on an instance, in order, one list
  // for each start of its process. Read from its log.
  std::vector<std::vector<int64_t>> ActivatedRevisions(int index) const;
  // The last 4000 bytes of a process's log, for error messages.
  std::string ReadLogTail(const std::string& name) const;

 private:
  void StartEngines();
  void StartServices();
  std::vector<std::string> KnownPeers() const;

  ClusterOptions options_;
  std::string directory_;
  int platform_port_ = 0;
  std::unique_ptr<Process> platform_;
  std::map<std::string, std::unique_ptr<Process>> engines_;
  std::map<std::string, int> engine_ports_;
  std::vector<std::unique_ptr<Process>> services_;
  std::vector<int> service_ports_;             // Where the services listen.
  std::vector<int> advertised_service_ports_;  // The ports in the plan: the
                                               // services' or their proxies'.
  std::vector<int> service_proxy_admin_ports_;
  std::map<int, std::unique_ptr<Process>> instances_;
  std::vector<int> caller_ports_;
  std::vector<int> admin_ports_;
  std::vector<int> peer_ports_;
  std::vector<int> advertised_peer_ports_;  // Where peers connect.
  std::vector<int> instance_proxy_admin_ports_;
  std::vector<std::unique_ptr<Process>> proxies_;
};

}  // namespace mangoyoke::testing

#endif  // MANGOYOKE_TESTS_INTEGRATION_CLUSTER_H_
