// The platform's store comes back from a copy that is some seconds old, as in a
// drill, while the servers of a service are replaced one after the other: a new
// server has registered just before. Later, while the store is stable again,
// another one registers, and an old one reports that it leaves.
//
// The servers of the plain service write their heartbeats to the store. The
// callers come seldom, so that a machine learns of the leave from the store and
// not from the server's answers.

#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <vector>

#include "backend.h"
#include "caller.h"
#include "child_process.h"
#include "config.h"
#include "gateway_process.h"
#include "scenario.h"
#include "store.h"

namespace mangoyoke::review {
namespace {

constexpr char kStoreIp[] = "127.0.0.11";
constexpr char kServerIp[] = "127.0.0.12";
constexpr int kMachines = 3;
constexpr int kServers = 3;     // At the start.
constexpr int kNewServers = 2;  // That register later.
constexpr int kLeaving = 0;     // The server that leaves.
constexpr int64_t kHeartbeatMs = 1200;
constexpr int64_t kContactMs = 3000;
constexpr int64_t kDrainMs = 2000;
// Since the gateways are ready.
constexpr int64_t kFirstReplacementAtMs = 11'500;
constexpr int64_t kDrillAtMs = 12'000;
constexpr int64_t kAwayMs = 1000;
constexpr int64_t kCopyAgeMs = 10'000;
// The store has been stable for kContactMs by then.
constexpr int64_t kLeaveAtMs = kDrillAtMs + kAwayMs + kContactMs + 200;
// The first requests after the leave, and the end of the server that leaves. It
// serves for kDrainMs and a little longer.
constexpr int64_t kFirstRoundAtMs = kLeaveAtMs + kDrainMs + 300;
constexpr int64_t kExitAtMs = kFirstRoundAtMs + 40;
constexpr int kRequestsInRound = 4;  // At each machine, at the same time.
constexpr int64_t kRoundMs = 500;
constexpr int kRounds = 4;

// A server with its heartbeats.
class RegisteredServer {
 public:
  RegisteredServer(BackendOptions options, Store& store, Record& record)
      : store_(store),
        record_(record),
        backend_(std::make_unique<Backend>(options, record)) {
    Register();
  }
  ~RegisteredServer() {
    stopping_ = true;
    thread_.join();
  }

  Backend& backend() { return *backend_; }

  // Writes the row now, as at each heartbeat. No effect while the store is
  // away.
  void Register() {
    std::lock_guard lock(mutex_);
    if (*reachable_) {
      store_.Put("servers", backend_->options().id,
                 ServerRow(backend_->options(), state_, ++seq_));
    }
  }
  // Reports that the server leaves; its answers say so, too.
  void Leave() {
    {
      std::lock_guard lock(mutex_);
      state_ = "draining";
    }
    backend_->SetLeaving();
    Register();
    record_.Line("the store accepts: server " + backend_->options().id +
                 " is draining, version " + std::to_string(store_.version()));
  }

  // Ends with the requests in progress, as it has served long enough.
  void Exit() {
    backend_->Stop();
    record_.Line("server " + backend_->options().id + " has ended");
    stopping_ = true;
    store_.Delete("servers", backend_->options().id);
  }

  // Whether the store can be reached; shared by all servers.
  static inline std::atomic<bool> store_reachable = true;

 private:
  void Beat() {
    int64_t next = SteadyMillis() + kHeartbeatMs;
    while (!stopping_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      if (SteadyMillis() >= next) {
        next += kHeartbeatMs;
        Register();
      }
    }
  }

  Store& store_;
  Record& record_;
  std::unique_ptr<Backend> backend_;
  std::atomic<bool>* reachable_ = &store_reachable;
  std::mutex mutex_;
  std::string state_ = "ready";  // Guarded by mutex_.
  int64_t seq_ = 0;              // Guarded by mutex_.
  std::atomic<bool> stopping_ = false;
  std::thread thread_{[this] { Beat(); }};
};

BackendOptions ServerOptions(int number, uint16_t port) {
  BackendOptions options;
  options.id = "i-booking-" + std::to_string(number + 1);
  options.service = kBookingsService;
  options.ip = kServerIp;
  options.port = port;
  options.born_ms = UnixMillis();
  return options;
}

// Sends a request in the background.
std::future<CallerAnswer> SendRequest(const Deployment& deployment,
                                      int machine,
                                      const std::string& id,
                                      Record& record) {
  CallerRequest request;
  request.id = id;
  request.host = kHost;
  request.path = "/deposit/2f";
  request.body = "{}";
  record.Line("client sends " + id + " to machine " +
              std::to_string(machine + 1));
  return std::async(
      std::launch::async, [&deployment, &record, machine, request] {
        CallerAnswer answer =
            Call(Deployment::IpOf(machine), deployment.PortOf(kFront), request);
        record.Line("client got status " + std::to_string(answer.status) +
                    " for " + request.id);
        return answer;
      });
}

// The store is away for a moment and comes back from a copy; then the servers
// write their rows again.
void Drill(Store& store,
           std::vector<std::unique_ptr<RegisteredServer>>& servers,
           int64_t back_at_ms,
           Record& record) {
  RegisteredServer::store_reachable = false;
  record.Line("the store goes away at version " +
              std::to_string(store.version()));
  store.GoAway();
  WaitUntil(record, back_at_ms);
  store.ComeBackFromCopy(kCopyAgeMs);
  record.Line("the store is back from a copy, at version " +
              std::to_string(store.version()));
  RegisteredServer::store_reachable = true;
  for (auto& server : servers) {
    server->Register();
  }
  record.Line("the servers have written their rows again, version " +
              std::to_string(store.version()));
}

int Run(const ScenarioOptions& options) {
  Record record(options.record, SteadyMillis());
  record.Line(TroubleName(options));
  Deployment deployment;
  deployment.program = options.gateway;
  deployment.folder = options.folder;
  deployment.machines = kMachines;
  deployment.first_port =
      FindFreePorts(kPortsPerMachine + 1 + kServers + kNewServers);
  auto store_port =
      static_cast<uint16_t>(deployment.first_port + kPortsPerMachine);
  deployment.store = std::string(kStoreIp) + ":" + std::to_string(store_port);
  Store store(kStoreIp, store_port);
  store.Put("op", "config", BookingsConfig());
  std::vector<std::unique_ptr<RegisteredServer>> servers;
  auto add_server = [&] {
    auto number = static_cast<int>(servers.size());
    BackendOptions server =
        ServerOptions(number, static_cast<uint16_t>(store_port + 1 + number));
    servers.push_back(
        std::make_unique<RegisteredServer>(server, store, record));
    record.Line("server " + server.id + " has registered, version " +
                std::to_string(store.version()));
  };
  for (int number = 0; number < kServers; ++number) {
    add_server();
  }
  auto gateways = StartGateways(deployment);

  int64_t began = record.Millis();
  WaitUntil(record, began + 1000);
  for (int machine = 0; machine < kMachines; ++machine) {
    auto answer =
        SendRequest(deployment, machine,
                    "req-before-" + std::to_string(machine + 1), record);
    if (answer.get().status != 200) {
      record.Line("a request before the disruption was not served");
      return kCouldNotRun;
    }
  }
  WaitUntil(record, began + kFirstReplacementAtMs);
  add_server();
  WaitUntil(record, began + kDrillAtMs);
  if (options.trouble) {
    Drill(store, servers, began + kDrillAtMs + kAwayMs, record);
  }
  WaitUntil(record, began + kLeaveAtMs);
  add_server();
  servers[kLeaving]->Leave();
  size_t runs_before = servers[kLeaving]->backend().Runs().size();

  std::vector<std::future<CallerAnswer>> answers;
  for (int round = 0; round < kRounds; ++round) {
    WaitUntil(record, began + kFirstRoundAtMs + round * kRoundMs);
    for (int i = 0; i < kMachines * kRequestsInRound; ++i) {
      std::string id =
          "req-" + std::to_string(round + 1) + "-" + std::to_string(i + 1);
      answers.push_back(SendRequest(deployment, i % kMachines, id, record));
    }
    if (round == 0) {
      WaitUntil(record, began + kExitAtMs);
      servers[kLeaving]->Exit();
    }
  }
  int lost = 0;
  for (auto& answer : answers) {
    lost += answer.get().status == 200 ? 0 : 1;
  }
  // All of them were sent later than kDrainMs after the leave was accepted.
  size_t late_runs = servers[kLeaving]->backend().Runs().size() - runs_before;
  record.Line(std::to_string(late_runs) +
              " requests reached the server that leaves later than DrainMs "
              "after the store had accepted that; " +
              std::to_string(lost) + " of " + std::to_string(answers.size()) +
              " were not served");
  record.Line("the server that registered at that time has run " +
              std::to_string(servers.back()->backend().Runs().size()) +
              " requests");
  bool held = late_runs == 0;
  record.Line(held ? "the rule held" : "the rule was broken");
  return held ? kHeld : kBroken;
}

}  // namespace
}  // namespace mangoyoke::review

int main(int argc, char** argv) {
  return mangoyoke::review::RunScenario(argc, argv, mangoyoke::review::Run);
}
