// Checks servers by the registry and by connecting to them.

#include "gateway/traffic/server_end_detector.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/log.h"
#include "base/run_guarded.h"

namespace mangoyoke {
namespace {

constexpr Duration kConnectTimeout = Millis(300);
// A server that has too many connections may refuse one, so a refusal counts
// only if it is repeated after this time.
constexpr Duration kSecondConnectAfter = Millis(30);

}  // namespace

std::string_view ServerFateName(ServerFate fate) {
  switch (fate) {
    case ServerFate::kEnded:
      return "ended";
    case ServerFate::kAlive:
      return "alive";
    case ServerFate::kUnknown:
      return "unknown";
  }
  return "unknown";
}

// Connects to one server, twice if it refuses.
class ServerEndDetector::ConnectCheck
    : public std::enable_shared_from_this<ConnectCheck> {
 public:
  ConnectCheck(ServerEndDetector& detector, const BackendServer& server)
      : detector_(detector),
        server_(server),
        socket_(detector.io_),
        timer_(detector.io_) {}

  // A connection that was begun before tells nothing about the time since.
  void AddCallback(Callback callback) {
    (started_ ? late_callbacks_ : callbacks_).push_back(std::move(callback));
  }

  void Start() {
    started_ = true;
    if (detector_.HasSuccessor(server_)) {
      EndLater(ServerFate::kEnded);
      return;
    }
    auto endpoint = ParseEndpoint(server_.address);
    if (!Ok(endpoint)) {
      EndLater(ServerFate::kUnknown);
      return;
    }
    endpoint_ = std::get<Tcp::endpoint>(endpoint);
    Connect();
  }

  // No callback is called any more.
  void Cancel() {
    done_ = true;
    boost::system::error_code ignored;  // There is nothing left to close.
    socket_.close(ignored);
    timer_.cancel();
  }

  std::vector<Callback> TakeCallbacks() { return std::move(callbacks_); }
  std::vector<Callback> TakeLateCallbacks() {
    return std::move(late_callbacks_);
  }

 private:
  void Connect() {
    After(kConnectTimeout, [this] { End(ServerFate::kUnknown); });
    socket_.async_connect(endpoint_,
                          [this, self = shared_from_this()](
                              const boost::system::error_code& error) {
                            if (!done_) {
                              OnConnect(error);
                            }
                          });
  }

  void OnConnect(const boost::system::error_code& error) {
    if (!error) {
      End(detector_.HasSuccessor(server_) ? ServerFate::kEnded
                                          : ServerFate::kAlive);
    } else if (error != boost::asio::error::connection_refused) {
      End(ServerFate::kUnknown);
    } else if (refused_) {
      End(ServerFate::kEnded);
    } else {
      refused_ = true;
      boost::system::error_code ignored;  // The socket is not connected.
      socket_.close(ignored);
      After(kSecondConnectAfter, [this] { Connect(); });
    }
  }

  void EndLater(ServerFate fate) {
    boost::asio::post(detector_.io_, [this, self = shared_from_this(), fate] {
      if (!done_) {
        End(fate);
      }
    });
  }

  void End(ServerFate fate) {
    Cancel();
    detector_.Finish(server_, fate);
  }

  void After(Duration time, std::function<void()> action) {
    timer_.expires_after(time);
    timer_.async_wait(
        [this, self = shared_from_this(),
         action = std::move(action)](const boost::system::error_code& error) {
          if (!error && !done_) {
            action();
          }
        });
  }

  ServerEndDetector& detector_;  // Cancels this check when it is destroyed.
  BackendServer server_;
  Tcp::endpoint endpoint_;
  Tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::vector<Callback> callbacks_;
  std::vector<Callback> late_callbacks_;  // Added after the start.
  bool started_ = false;
  bool refused_ = false;  // Once.
  bool done_ = false;
};

ServerEndDetector::ServerEndDetector(boost::asio::io_context& io,
                                     Registry registry)
    : io_(io), registry_(std::move(registry)) {}

ServerEndDetector::~ServerEndDetector() {
  for (auto& [incarnation, check] : checks_) {
    check->Cancel();
  }
}

void ServerEndDetector::Check(const BackendServer& server, Callback callback) {
  std::string incarnation = IncarnationOf(server);
  if (auto found = checks_.find(incarnation); found != checks_.end()) {
    found->second->AddCallback(std::move(callback));
    return;
  }
  auto check = std::make_shared<ConnectCheck>(*this, server);
  checks_[incarnation] = check;
  check->AddCallback(std::move(callback));
  check->Start();
}

bool ServerEndDetector::HasSuccessor(const BackendServer& server) const {
  const auto& servers = registry_().servers;
  return std::any_of(servers.begin(), servers.end(), [&](const auto& entry) {
    const BackendServer& other = entry.second;
    bool same_place = other.id == server.id || other.address == server.address;
    return same_place && other.start_time_ms > server.start_time_ms;
  });
}

void ServerEndDetector::Finish(const BackendServer& server, ServerFate fate) {
  std::string incarnation = IncarnationOf(server);
  auto check = checks_.extract(incarnation);
  std::vector<Callback> callbacks = check.mapped()->TakeCallbacks();
  for (Callback& callback : check.mapped()->TakeLateCallbacks()) {
    if (fate == ServerFate::kEnded) {
      callbacks.push_back(std::move(callback));
    } else {
      Check(server, std::move(callback));
    }
  }
  bool alive = fate == ServerFate::kAlive;
  LogEvent("server_checked", alive ? LogLevel::kInfo : LogLevel::kWarning)
      .Field("server", incarnation)
      .Field("fate", ServerFateName(fate))
      .Field("responses", static_cast<int64_t>(callbacks.size()));
  for (const Callback& callback : callbacks) {
    RunGuarded("server_check", [&] { callback(fate); });
  }
}

}  // namespace mangoyoke
