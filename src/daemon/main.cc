// mangoyoked: the server process of one instance.

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <future>
#include <iostream>

#include "base/command_line.h"
#include "base/log.h"
#include "base/supervisor.h"
#include "daemon/control/admin/admin_api.h"
#include "daemon/control/control_plane.h"
#include "daemon/settings.h"
#include "daemon/traffic/traffic_worker.h"
#include "http/http_dispatcher.h"

namespace mangoyoke {
namespace {

constexpr Duration kDrainPollInterval = Millis(50);

// Owns all parts of the process, declared in the order of their dependencies.
class Daemon {
 public:
  explicit Daemon(Settings settings)
      : settings_(std::move(settings)),
        supervisor_(metrics_),
        control_io_(supervisor_.AddLoop("control")),
        control_(control_io_, settings_, metrics_),
        admin_(control_, metrics_),
        signals_(control_io_, SIGTERM, SIGINT),
        drain_timer_(control_io_) {
    for (int64_t i = 0; i < settings_.traffic_threads; ++i) {
      AddWorker(static_cast<char>('a' + i % 26), i);
    }
  }

  // Serves until a signal has drained the instance. Returns the exit code.
  int Run() {
    if (auto started = control_.Start(); !Ok(started)) {
      return ReportListenError(std::get<Error>(started));
    }
    std::vector<DispatchTarget> targets;
    for (size_t i = 0; i < workers_.size(); ++i) {
      targets.push_back(DispatchTarget{worker_loops_[i], workers_[i].get()});
    }
    HttpDispatcher caller_dispatcher(targets);
    HttpDispatcher admin_dispatcher({DispatchTarget{&control_io_, &admin_}});
    HttpServer callers(CallerOptions(), caller_dispatcher);
    HttpServer admin(AdminOptions(), admin_dispatcher);
    for (HttpServer* server : {&admin, &callers}) {
      if (auto started = server->Start(); !Ok(started)) {
        return ReportListenError(std::get<Error>(started));
      }
    }
    DrainOnSignal();
    LogEvent("started")
        .Field("callers", settings_.caller_address)
        .Field("peers", settings_.peer_address);
    supervisor_.Start();
    stopped_.get_future().wait();
    callers.Stop();
    admin.Stop();
    supervisor_.Stop();
    LogEvent("stopped").Field("cpu_ms", ProcessCpuMillis());
    return 0;
  }

 private:
  // Adds a traffic thread. `letter` and `index` form its unique name.
  void AddWorker(char letter, int64_t index) {
    std::string name = std::string(1, letter) + std::to_string(index) + "-";
    auto& io = supervisor_.AddLoop("traffic-" + std::to_string(index));
    worker_loops_.push_back(&io);
    workers_.push_back(std::make_unique<TrafficWorker>(
        io, name, settings_, metrics_, control_, accounts_));
    TrafficWorker* worker = workers_.back().get();
    control_.AddRunner(
        io, [worker](ServiceRequest request,
                     ControlInterface::OutcomeCallback callback) {
          worker->service_runner().Run(std::move(request), std::move(callback));
        });
  }

  HttpServerOptions CallerOptions() const {
    HttpServerOptions options;
    options.address = settings_.caller_address;
    options.threads = static_cast<int>(settings_.traffic_threads);
    options.max_request_bytes =
        static_cast<size_t>(settings_.max_request_bytes);
    return options;
  }

  HttpServerOptions AdminOptions() const {
    HttpServerOptions options;
    options.address = settings_.admin_address;
    options.threads = 1;
    return options;
  }

  static int ReportListenError(const Error& error) {
    std::cerr << error.detail << "\n";
    return kExitListenFailed;
  }

  void DrainOnSignal() {
    signals_.async_wait([this](const boost::system::error_code& error, int) {
      if (!error) {
        control_.StartDraining();
        drain_started_ = SteadyClock::now();
        CheckDrained();
      }
    });
  }

  // Stops the process once the drain grace period has passed and no request is
  // active, at the latest after the drain timeout.
  void CheckDrained() {
    Duration waited = SteadyClock::now() - drain_started_;
    size_t open = control_.ActiveCalls();
    for (const auto& worker : workers_) {
      open += worker->open();
    }
    bool idle = open == 0 &&
                waited >= settings_.drain_grace_period + kDrainPollInterval * 2;
    if (idle || waited >= settings_.drain_timeout) {
      LogEvent("drained").Field("open", static_cast<int64_t>(open));
      stopped_.set_value();
      return;
    }
    drain_timer_.expires_after(kDrainPollInterval);
    drain_timer_.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        CheckDrained();
      }
    });
  }

  Settings settings_;
  Metrics metrics_;
  Supervisor supervisor_;
  AccountRequestLimiter accounts_;
  boost::asio::io_context& control_io_;
  ControlPlane control_;
  AdminApi admin_;
  std::vector<boost::asio::io_context*> worker_loops_;
  std::vector<std::unique_ptr<TrafficWorker>> workers_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer drain_timer_;
  TimePoint drain_started_;
  std::promise<void> stopped_;
};

int Main(int argc, char** argv) {
  DaemonCommand command = ParseDaemonCommand(
      "mangoyoked", "Router for prefill and decode pools", argc, argv);
  if (command.exit_code) {
    return *command.exit_code;
  }
  auto settings = LoadSettings(command.settings_path);
  if (const auto* error = std::get_if<Error>(&settings)) {
    std::cerr << error->detail << "\n";
    return kExitInvalidSettings;
  }
  if (command.check_only) {
    std::cout << command.settings_path << ": settings are valid\n";
    return 0;
  }
  const auto& valid = std::get<Settings>(settings);
  InitLog(valid.id, ParseLogLevel(valid.log_level));
  return Daemon(valid).Run();
}

}  // namespace
}  // namespace mangoyoke

int main(int argc, char** argv) {
  return mangoyoke::Main(argc, argv);
}
