// A whole system of real processes on loopback, for tests of failures.

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

// One child process, killed at the latest when destroyed.
class Process {
 public:
  Process(const std::vector<std::string>& command, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void SendSignal(int signal) const;
  // Waits up to `limit`; the exit code, or -1 if it was killed or still runs.
  int WaitForExit(Millis limit);
  void Kill();
  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;  // -1 when reaped.
};

// A free port on loopback, below the ephemeral range.
int FreePort();

// One HTTP exchange.
ClientResponse SendHttpRequest(const std::string& method,
                               const std::string& url,
                               const std::string& body = "",
                               const HttpHeaders& headers = {},
                               Millis timeout = Millis(10'000));
Json SendJsonRequest(const std::string& method,
                     const std::string& url,
                     const Json& body = Json::object());

// The reason in a refusal, else "status N".
std::string ErrorReason(const ClientResponse& response);

// Polls until `condition` holds or `limit` passes.
bool Eventually(const std::function<bool()>& condition,
                Millis limit = Millis(10'000));

struct ClusterOptions {
  int instances = 3;
  int zones = 3;
  int prefill_engines = 2;
  int decode_engines = 2;
  int service_servers = 1;
  std::string engine_flags;       // Added to each engine's command line.
  std::string instance_settings;  // Added to each settings file.
  std::string plan_extra;         // Added to the plan.
  std::string service_extra = "timeout_ms = 1500\n";
  bool proxied_instances = false;  // Peer connections pass a fault proxy.
  bool proxied_services = false;
  bool submit_plan = true;
};

class Cluster {
 public:
  explicit Cluster(ClusterOptions options = {});
  ~Cluster();

  // Starts entry `index` (again).
  void StartInstance(int index);
  Process& instance(int index) { return *entries_.at(index); }
  Process& engine(const std::string& id) { return *engines_.at(id); }
  void KillInstance(int index) { entries_.at(index)->Kill(); }

  std::string CallerAddress(int index) const;
  std::string AdminUrl(int index) const;
  std::string PlatformUrl() const;
  std::string EngineUrl(const std::string& id) const;
  std::string ServiceUrl(int index) const;
  std::vector<std::string> EngineIds() const;

  // Sets the switches of a stand-in.
  void SetBehavior(const std::string& url, const Json& behavior);
  // Sets the fault of the proxy before an entry's peer port or a service.
  void SetPeerFault(int index, const Json& fault);
  void SetServiceFault(int index, const Json& fault);

  std::string PlanText(const std::string& extra = "") const;
  // Submits a plan through an entry; the HTTP answer.
  ClientResponse SubmitPlan(int index,
                            const std::string& text,
                            int base,
                            const std::string& id);
  int64_t GetPlanRevision(int index);
  // Whether all entries that run have at least `revision` in force.
  bool IsActiveEverywhere(int64_t revision);
  Json GetStatus(int index);
  double ReadCounter(int index, const std::string& name);

  // A completion that is not streamed; the HTTP answer.
  ClientResponse SendCompletion(int index,
                                const std::string& prompt,
                                int tokens,
                                const HttpHeaders& headers = {});
  // A booking with the given key.
  ClientResponse SendBooking(int index,
                             const std::string& key,
                             Millis timeout = Millis(8000));
  // A ticket of the entry's current run.
  std::string GetTicket(int index);
  // How often a key ran, over all services.
  int64_t ExecutionCount(const std::string& key);

  // Runs the load driver and returns its report. `meanwhile` runs beside it.
  Json RunLoad(const std::string& flags,
               const std::function<void()>& meanwhile = nullptr);
  // Sum of a counter over all engines that answer.
  double SumEngineStats(const std::string& name);
  // Whether all engines hold nothing.
  bool EnginesIdle();

  // Revisions that came into force at an entry, in order, one list for each
  // run of its process.
  std::vector<std::vector<int64_t>> ActivatedRevisions(int index) const;
  // The last lines of a process's log, for messages.
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
  std::vector<int> service_ports_;        // Where the service itself listens.
  std::vector<int> service_front_ports_;  // What the plan names.
  std::vector<int> service_proxy_admin_;
  std::map<int, std::unique_ptr<Process>> entries_;
  std::vector<int> caller_ports_;
  std::vector<int> admin_ports_;
  std::vector<int> peer_ports_;
  std::vector<int> peer_front_ports_;  // What other instances connect to.
  std::vector<int> entry_proxy_admin_;
  std::vector<std::unique_ptr<Process>> proxies_;
};

}  // namespace mangoyoke::testing

#endif  // MANGOYOKE_TESTS_INTEGRATION_CLUSTER_H_
