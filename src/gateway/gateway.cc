// The process of the gateway: both threads, signals and the orderly stop.

#include "gateway/gateway.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <filesystem>
#include <future>
#include <iostream>

#include "base/command_line.h"
#include "base/log.h"
#include "base/periodic_timer.h"
#include "base/supervisor.h"
#include "gateway/control/gateway_control.h"
#include "gateway/net/sockets.h"
#include "gateway/settings.h"
#include "gateway/traffic/gateway_traffic.h"

namespace mangoyoke {
namespace {

// After the signal to stop, new requests are taken until callers have asked
// for entries again.
constexpr Duration kLeaveNotice = Millis(2500);
// Ends this long before the kill.
constexpr Duration kKillMargin = Millis(250);
constexpr Duration kDrainPoll = Millis(50);
constexpr Duration kSettingsPoll = Seconds(2);

class Gateway {
 public:
  Gateway(GatewaySettings settings,
          const std::string& settings_path,
          const GatewayCodecs& codecs)
      : settings_(std::move(settings)),
        supervisor_(metrics_),
        control_io_(supervisor_.AddLoop("control")),
        traffic_io_(supervisor_.AddLoop("traffic")),
        control_(control_io_, settings_, codecs, metrics_),
        traffic_(traffic_io_, settings_, codecs, metrics_),
        signals_(control_io_, SIGTERM, SIGINT, SIGHUP),
        drain_timer_(control_io_),
        settings_path_(settings_path),
        settings_timer_(control_io_, kSettingsPoll, [this] {
          ReloadIfChanged();
        }) {
    control_.state().on_config_changed.Add([this] {
      boost::asio::post(traffic_io_,
                        [this, config = control_.state().config()] {
                          traffic_.SetConfig(config);
                        });
    });
    control_.state().on_servers_changed.Add([this] {
      boost::asio::post(traffic_io_,
                        [this, servers = control_.state().servers()] {
                          traffic_.SetServers(servers);
                        });
    });
    control_.on_members_changed().Add([this](const std::vector<InstanceId>&) {
      std::vector<std::string> ips;
      for (const std::string& address : control_.PeerAddresses()) {
        ips.push_back(ExtractIp(address));
      }
      boost::asio::post(traffic_io_, [this, ips = std::move(ips)] {
        traffic_.SetPeers(ips);
      });
    });
  }

  int Run() {
    std::error_code ignored;  // Read again at the first poll.
    settings_changed_ =
        std::filesystem::last_write_time(settings_path_, ignored);
    if (auto result = traffic_.Start(); !Ok(result)) {
      return ReportListenError(result);
    }
    if (auto result = control_.Start(); !Ok(result)) {
      return ReportListenError(result);
    }
    WaitForSignal();
    LogEvent("started")
        .Field("callers", settings_.caller_address)
        .Field("zone", settings_.zone);
    supervisor_.Start();
    stopped_.get_future().wait();
    supervisor_.Stop();
    LogEvent("stopped").Field("cpu_ms", ProcessCpuMillis());
    return 0;
  }

 private:
  static int ReportListenError(const Result<Unit>& result) {
    std::cerr << std::get<Error>(result).detail << "\n";
    return kExitListenFailed;
  }

  void WaitForSignal() {
    signals_.async_wait(
        [this](const boost::system::error_code& error, int signal) {
          if (error) {
            return;
          }
          if (signal == SIGHUP) {
            Reload();
            WaitForSignal();
            return;
          }
          LogEvent("leaving").Field("signal", static_cast<int64_t>(signal));
          control_.StartDraining();
          boost::asio::post(traffic_io_, [this] { traffic_.StartDraining(); });
          leave_started_ = SteadyClock::now();
          AskOpen();
        });
  }

  // The file may change without a signal.
  void ReloadIfChanged() {
    std::error_code error;
    auto changed = std::filesystem::last_write_time(settings_path_, error);
    if (!error && changed != settings_changed_) {
      settings_changed_ = changed;
      Reload();
    }
  }

  // Takes what may change while running; the rest needs a restart.
  void Reload() {
    auto loaded = LoadGatewaySettings(settings_path_);
    if (const auto* error = std::get_if<Error>(&loaded)) {
      LogEvent("settings_kept", LogLevel::kWarning).Field("why", error->detail);
      metrics_.Increment("mangoyoke_reloads_total", "outcome", "invalid");
      return;
    }
    const auto& settings = std::get<GatewaySettings>(loaded);
    control_.Reload(settings);
    boost::asio::post(traffic_io_,
                      [this, retry_budget = settings.retry_budget] {
                        traffic_.SetRetryBudget(retry_budget);
                      });
    LogEvent("settings_reloaded").Field("store", settings.store_address);
    metrics_.Increment("mangoyoke_reloads_total", "outcome", "done");
  }

  // Ends the process when nothing is open, after the notice.
  void AskOpen() {
    drain_timer_.expires_after(kDrainPoll);
    drain_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) {
        return;
      }
      Duration waited = SteadyClock::now() - leave_started_;
      bool notice_over = waited >= kLeaveNotice;
      boost::asio::post(traffic_io_, [this, notice_over] {
        if (notice_over) {
          traffic_.Stop();
        }
        size_t open = traffic_.active_requests();
        boost::asio::post(control_io_, [this, open, notice_over] {
          StopIfDone(open, notice_over);
        });
      });
    });
  }

  void StopIfDone(size_t open, bool notice_over) {
    Duration waited = SteadyClock::now() - leave_started_;
    bool late = waited >= settings_.drain_timeout - kKillMargin;
    if ((notice_over && open == 0) || late) {
      LogEvent("drained")
          .Field("open", static_cast<int64_t>(open))
          .Field("waited_ms", ToMillis(waited));
      stopped_.set_value();
      return;
    }
    AskOpen();
  }

  GatewaySettings settings_;
  Metrics metrics_;
  Supervisor supervisor_;
  boost::asio::io_context& control_io_;
  boost::asio::io_context& traffic_io_;
  GatewayControl control_;
  GatewayTraffic traffic_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer drain_timer_;
  std::string settings_path_;
  std::filesystem::file_time_type settings_changed_;
  PeriodicTimer settings_timer_;
  TimePoint leave_started_;
  std::promise<void> stopped_;
};

}  // namespace

int RunGateway(int argc, char** argv, const GatewayCodecs& codecs) {
  DaemonCommand command = ParseDaemonCommand(
      "mangoyoke-gateway", "Router for prefill and decode pools", argc, argv);
  if (command.exit_code) {
    return *command.exit_code;
  }
  auto settings = LoadGatewaySettings(command.settings_path);
  if (const auto* error = std::get_if<Error>(&settings)) {
    std::cerr << error->detail << "\n";
    return kExitInvalidSettings;
  }
  if (command.check_only) {
    std::cout << command.settings_path << ": settings are valid\n";
    return 0;
  }
  const auto& valid = std::get<GatewaySettings>(settings);
  InitLog(valid.id, ParseLogLevel(valid.log_level), LogSink::kStandardOutput);
  return Gateway(valid, command.settings_path, codecs).Run();
}

}  // namespace mangoyoke
