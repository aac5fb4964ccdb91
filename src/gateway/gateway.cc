// The gateway process: its two threads, signal handling, reload of the settings
// and graceful shutdown.

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
#include "gateway/settings.h"
#include "gateway/traffic/gateway_traffic.h"

namespace mangoyoke {
namespace {

// After the signal to stop, new requests are still accepted for this long, so
// that callers have time to fetch an instance list without this instance.
constexpr Duration kDrainNotice = Millis(2500);
// Requests that are still active this long before drain_timeout, at which the
// process is killed, get an error.
constexpr Duration kKillMargin = Millis(250);
// After that the process exits as soon as the errors are written, or after this
// time.
constexpr Duration kFlushTimeout = Millis(100);
constexpr Duration kDrainPollInterval = Millis(50);
constexpr Duration kSettingsPollInterval = Seconds(2);

// Owns both threads and everything that runs on them. Handles SIGHUP (reload)
// and SIGTERM or SIGINT (drain, then stop).
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
        settings_timer_(control_io_, kSettingsPollInterval, [this] {
          ReloadIfChanged();
        }) {
    control_.serving_state().on_config_changed.Add([this] {
      boost::asio::post(traffic_io_,
                        [this, config = control_.serving_state().config(),
                         posted = SteadyClock::now()] {
                          UseConfig(config, SteadyClock::now() - posted);
                        });
    });
    control_.serving_state().on_servers_changed.Add([this] {
      boost::asio::post(traffic_io_,
                        [this, servers = control_.serving_state().servers()] {
                          traffic_.SetServers(servers);
                        });
    });
    control_.SetPreview(
        [this](PreviewQuery query, OperatorHandler::Respond respond) {
          MakePreview(std::move(query), std::move(respond));
        });
    control_.on_members_changed().Add([this](const std::vector<InstanceId>&) {
      boost::asio::post(traffic_io_,
                        [this, group = control_.PeersToReportTo()] {
                          traffic_.SetPeers(group);
                        });
    });
  }

  // Returns the exit code of the process.
  int Run() {
    std::error_code ignored;  // The first poll reads the time again.
    settings_mtime_ = std::filesystem::last_write_time(settings_path_, ignored);
    if (auto result = traffic_.Start(); !Ok(result)) {
      return PrintListenError(result);
    }
    if (auto result = control_.Start(); !Ok(result)) {
      return PrintListenError(result);
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
  // Called on the control thread; responds there.
  void MakePreview(PreviewQuery query, OperatorHandler::Respond respond) {
    boost::asio::post(traffic_io_, [this, query = std::move(query),
                                    respond = std::move(respond)]() mutable {
      boost::asio::post(control_io_,
                        [preview = traffic_.Preview(query),
                         respond = std::move(respond)] { respond(preview); });
    });
  }

  static int PrintListenError(const Result<Unit>& result) {
    std::cerr << std::get<Error>(result).detail << "\n";
    return kExitListenFailed;
  }

  void WaitForSignal() {
    signals_.async_wait([this](const boost::system::error_code& error,
                               int signal) {
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
      drain_started_ = SteadyClock::now();
      TimePoint stops_at =
          drain_started_ + settings_.drain_timeout - kKillMargin;
      boost::asio::post(traffic_io_,
                        [this, stops_at] { traffic_.StartDraining(stops_at); });
      PollOpenWork();
    });
  }

  // On the traffic thread. `waited`: since the control thread handed it over.
  void UseConfig(std::shared_ptr<const ServingConfig> config, Duration waited) {
    LogEvent("config_used")
        .Field("revision", static_cast<int64_t>(config->revision()))
        .Field("waited_ms", ToMillis(waited));
    metrics_.Observe("mangoyoke_config_handover_ms", ToMillis(waited));
    traffic_.SetConfig(std::move(config));
  }

  // Reloads when the settings file was modified, since a change may come
  // without SIGHUP.
  void ReloadIfChanged() {
    std::error_code error;
    auto modified = std::filesystem::last_write_time(settings_path_, error);
    if (!error && modified != settings_mtime_) {
      settings_mtime_ = modified;
      Reload();
    }
  }

  // Applies the store address, seed addresses and retry budget. The other
  // settings take effect only after a restart. Invalid settings are ignored.
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

  // Polls what is still open. The process stops once nothing is and the drain
  // notice has elapsed.
  void PollOpenWork() {
    drain_timer_.expires_after(kDrainPollInterval);
    drain_timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) {
        return;
      }
      Duration waited = SteadyClock::now() - drain_started_;
      bool notice_elapsed = waited >= kDrainNotice;
      boost::asio::post(traffic_io_, [this, notice_elapsed] {
        if (notice_elapsed) {
          traffic_.Stop();
        }
        OpenWork open = traffic_.open_work();
        boost::asio::post(control_io_, [this, open, notice_elapsed] {
          StopIfDrained(open, notice_elapsed);
        });
      });
    });
  }

  void StopIfDrained(const OpenWork& open, bool notice_elapsed) {
    Duration waited = SteadyClock::now() - drain_started_;
    Duration until_end = settings_.drain_timeout - kKillMargin - waited;
    if ((notice_elapsed && open.None()) || until_end < -kFlushTimeout) {
      LogEvent("drained")
          .Field("open", static_cast<int64_t>(open.requests))
          .Field("connections", static_cast<int64_t>(open.connections))
          .Field("waited_ms", ToMillis(waited));
      stopped_.set_value();
      return;
    }
    if (until_end <= Duration::zero()) {
      boost::asio::post(traffic_io_, [this] { traffic_.EndAllRequests(); });
    }
    PollOpenWork();
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
  std::filesystem::file_time_type settings_mtime_;
  PeriodicTimer settings_timer_;
  TimePoint drain_started_;
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
