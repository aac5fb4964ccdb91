// Wiring of the gateway's parts and its orderly stop.

#include "gateway/gateway.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <future>
#include <iostream>

#include "base/log.h"
#include "base/periodic_timer.h"
#include "base/supervisor.h"
#include "gateway/control/control_handler.h"
#include "gateway/control/serving_state.h"
#include "gateway/control/store_client.h"
#include "gateway/settings.h"
#include "gateway/traffic/front_handler.h"
#include "gateway/traffic/load_reporter.h"
#include "membership/membership_service.h"
#include "peer/peer_transport.h"

namespace mangoyoke {
namespace {

constexpr int kExitSettings = 2;
constexpr int kExitListen = 3;
// How long callers may use a list of entries. Short, because the entries of
// one list change whenever an instance stops.
constexpr Seconds kEntriesTtl{2};
// After the signal to stop, new requests are taken until callers have asked
// for entries again.
constexpr Duration kLeaveNotice = Millis(2500);
// Ends this long before the kill.
constexpr Duration kKillMargin = Millis(250);
constexpr Duration kDrainPoll = Millis(50);
constexpr Duration kSettingsPoll = Seconds(2);
constexpr Duration kSweepInterval = Millis(500);

LogLevel ParseLevel(const std::string& name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  return name == "error" ? LogLevel::kError : LogLevel::kInfo;
}

std::string IpOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}

MemberRecord SelfRecord(const GatewaySettings& settings) {
  MemberRecord record;
  record.id = settings.id;
  record.incarnation = static_cast<uint64_t>(WallMillis());
  record.zone = settings.zone;
  record.region = settings.region;
  record.peer_address = settings.peers;
  return record;
}

MembershipContext MakeMembershipContext(boost::asio::io_context& io,
                                        const GatewaySettings& settings,
                                        Metrics& metrics,
                                        PeerClient& peers,
                                        Membership& membership) {
  MembershipSettings service;
  service.known_peers = settings.known_peers;
  service.own_addresses = {settings.peers};
  return MembershipContext{io, std::move(service), metrics, peers, membership};
}

// All that runs on the control thread.
class GatewayControl : public PeerHandler {
 public:
  GatewayControl(boost::asio::io_context& io,
                 const GatewaySettings& settings,
                 const GatewayPorts& ports,
                 Metrics& metrics)
      : settings_(settings),
        peer_client_(io),
        peer_server_(io, *this),
        membership_(SelfRecord(settings), MembershipOptions{}),
        members_(MakeMembershipContext(io,
                                       settings,
                                       metrics,
                                       peer_client_,
                                       membership_)),
        store_(io, settings.store, metrics),
        state_(io, settings, ports.store, store_, peer_client_, metrics),
        handler_(ports.callers,
                 membership_,
                 metrics,
                 std::min<Duration>(kEntriesTtl, settings.longest_entries_ttl),
                 [this] { return Ready(); }),
        entries_(io, handler_),
        ready_(io, handler_),
        metrics_page_(io, handler_) {
    state_.on_config.Add([this] { OnConfig(); });
    state_.on_servers.Add([this] { UpdateEntry(); });
    state_.other_instances = [this] { return OtherInstances(); };
    members_.on_newer_plan.Add([this](const std::string& address, Revision) {
      state_.PullFrom(address);
    });
  }

  Result<Unit> Start() {
    if (auto result = ListenAll(); !Ok(result)) {
      return result;
    }
    state_.Start();
    members_.Start();
    return Unit{};
  }

  void Reload(const GatewaySettings& settings) {
    store_.SetAddress(settings.store);
    members_.AddKnown(settings.known_peers);
  }

  void Leave() {
    leaving_ = true;
    members_.Leave();
  }

  ServingState& state() { return state_; }
  // "IP:port" of the other usable instances.
  std::vector<std::string> OtherInstances() const {
    std::vector<std::string> addresses;
    for (const MemberRecord& record : membership_.All()) {
      if (record.id != membership_.self().id && record.Usable()) {
        addresses.push_back(record.peer_address);
      }
    }
    return addresses;
  }
  Observers<const std::vector<InstanceId>&>& on_members() {
    return members_.on_change;
  }

  void OnPeerRequest(const std::string& path,
                     const Json& message,
                     PeerResponder respond) override {
    if (path == "/members/probe") {
      respond(members_.OnProbe(message));
    } else if (path == "/serving/pull") {
      respond(state_.OnPull(message));
    } else {
      respond(Error{ErrorCode::kUnknownPath, path});
    }
  }

 private:
  bool Ready() const {
    return !leaving_ && state_.config() && state_.servers()->version > 0;
  }

  Result<Unit> ListenAll() {
    if (!settings_.peers.empty()) {
      if (auto result = peer_server_.Listen(settings_.peers); !Ok(result)) {
        return result;
      }
    }
    const std::pair<HttpListener&, const std::string&> listeners[] = {
        {entries_, settings_.entries},
        {ready_, settings_.ready},
        {metrics_page_, settings_.metrics}};
    for (const auto& [listener, address] : listeners) {
      if (address.empty()) {
        continue;
      }
      if (auto result = listener.Listen(address); !Ok(result)) {
        return result;
      }
    }
    return Unit{};
  }

  void OnConfig() {
    members_.SetRevision(state_.config()->revision());
    UpdateEntry();
    members_.ProbeNow();
  }

  // Callers are sent here only once requests can be served.
  void UpdateEntry() {
    if (Ready()) {
      membership_.SetCallerAddress(settings_.callers);
    }
  }

  const GatewaySettings& settings_;
  PeerClient peer_client_;
  PeerServer peer_server_;
  Membership membership_;
  MembershipService members_;
  StoreClient store_;
  ServingState state_;
  ControlHandler handler_;
  HttpListener entries_;
  HttpListener ready_;
  HttpListener metrics_page_;
  bool leaving_ = false;
};

// All that runs on the traffic thread.
class GatewayTraffic {
 public:
  GatewayTraffic(boost::asio::io_context& io,
                 const GatewaySettings& settings,
                 const GatewayPorts& ports,
                 Metrics& metrics)
      : settings_(settings),
        context_(io,
                 ports.callers,
                 ports.backends,
                 metrics,
                 settings.repeat_budget),
        handler_(context_),
        front_(io, handler_),
        reporter_(context_, settings.id),
        sweep_timer_(io, kSweepInterval, [this] { Sweep(); }) {}

  Result<Unit> Start() {
    if (auto result = front_.Listen(settings_.callers);
        !Ok(result) || settings_.load_port == 0) {
      return result;
    }
    return reporter_.Start(IpOf(settings_.callers), settings_.load_port);
  }
  void SetConfig(std::shared_ptr<const ServingConfig> config) {
    context_.config = std::move(config);
  }
  void SetServers(std::shared_ptr<const ServerView> servers) {
    context_.servers = std::move(servers);
    context_.health.KeepOnly(*context_.servers);
  }
  // The IPs of the other entries.
  void SetOthers(const std::vector<std::string>& ips) {
    context_.budget.SetEntries(ips.size() + 1, SteadyClock::now());
    reporter_.SetOthers(ips);
  }
  void SetBudget(const RepeatBudgetOptions& options) {
    context_.budget.SetOptions(options);
  }
  void Leave() { front_.Leave(); }
  void Stop() { front_.Stop(); }
  size_t open() const { return handler_.open(); }

 private:
  void Sweep() {
    std::set<std::string> addresses;
    for (const auto& [id, server] : context_.servers->servers) {
      addresses.insert(server.address);
    }
    context_.pool.Sweep([&addresses](const std::string& address) {
      return addresses.contains(address);
    });
  }

  const GatewaySettings& settings_;
  TrafficContext context_;
  FrontHandler handler_;
  HttpListener front_;
  LoadReporter reporter_;
  PeriodicTimer sweep_timer_;
};

// The process: both threads, signals and the orderly stop.
class Gateway {
 public:
  Gateway(GatewaySettings settings,
          const std::string& settings_path,
          const GatewayPorts& ports)
      : settings_(std::move(settings)),
        supervisor_(metrics_),
        control_io_(supervisor_.AddLoop("control")),
        traffic_io_(supervisor_.AddLoop("traffic")),
        control_(control_io_, settings_, ports, metrics_),
        traffic_(traffic_io_, settings_, ports, metrics_),
        signals_(control_io_, SIGTERM, SIGINT, SIGHUP),
        drain_timer_(control_io_),
        settings_path_(settings_path),
        settings_timer_(control_io_, kSettingsPoll, [this] {
          ReloadIfChanged();
        }) {
    control_.state().on_config.Add([this] {
      boost::asio::post(traffic_io_,
                        [this, config = control_.state().config()] {
                          traffic_.SetConfig(config);
                        });
    });
    control_.state().on_servers.Add([this] {
      boost::asio::post(traffic_io_,
                        [this, servers = control_.state().servers()] {
                          traffic_.SetServers(servers);
                        });
    });
    control_.on_members().Add([this](const std::vector<InstanceId>&) {
      std::vector<std::string> ips;
      for (const std::string& address : control_.OtherInstances()) {
        ips.push_back(IpOf(address));
      }
      boost::asio::post(traffic_io_, [this, ips = std::move(ips)] {
        traffic_.SetOthers(ips);
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
        .Field("callers", settings_.callers)
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
    return kExitListen;
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
          control_.Leave();
          boost::asio::post(traffic_io_, [this] { traffic_.Leave(); });
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
      metrics_.Count("mangoyoke_reloads_total", "outcome", "invalid");
      return;
    }
    const auto& settings = std::get<GatewaySettings>(loaded);
    control_.Reload(settings);
    boost::asio::post(traffic_io_, [this, budget = settings.repeat_budget] {
      traffic_.SetBudget(budget);
    });
    LogEvent("settings_reloaded").Field("store", settings.store);
    metrics_.Count("mangoyoke_reloads_total", "outcome", "done");
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
        size_t open = traffic_.open();
        boost::asio::post(control_io_, [this, open, notice_over] {
          StopIfDone(open, notice_over);
        });
      });
    });
  }

  void StopIfDone(size_t open, bool notice_over) {
    Duration waited = SteadyClock::now() - leave_started_;
    bool late = waited >= settings_.leave_limit - kKillMargin;
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

int RunGateway(int argc, char** argv, const GatewayPorts& ports) {
  cxxopts::Options parser("mangoyoke-gateway",
                          "Router for prefill and decode pools");
  std::string path;
  parser.add_options()("settings", "INI file", cxxopts::value(path))(
      "check-settings", "check the settings and exit")("help", "this help");
  parser.parse_positional({"settings"});
  cxxopts::ParseResult arguments;
  try {
    arguments = parser.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& exception) {
    std::cerr << "mangoyoke-gateway: " << exception.what() << "\n";
    return kExitSettings;
  }
  if (arguments.count("help") > 0 || path.empty()) {
    std::cout << parser.help();
    return path.empty() && arguments.count("help") == 0 ? kExitSettings : 0;
  }
  auto settings = LoadGatewaySettings(path);
  if (const auto* error = std::get_if<Error>(&settings)) {
    std::cerr << error->detail << "\n";
    return kExitSettings;
  }
  if (arguments.count("check-settings") > 0) {
    std::cout << path << ": settings are valid\n";
    return 0;
  }
  const auto& valid = std::get<GatewaySettings>(settings);
  InitLog(valid.id, ParseLevel(valid.log_level), LogSink::kStandardOutput);
  return Gateway(valid, path, ports).Run();
}

}  // namespace mangoyoke
