// Takes, returns and closes pooled connections.

#include "gateway/net/connection_pool.h"

#include <algorithm>

#include "base/log.h"

namespace mangoyoke {
namespace {

// Assumed idle timeout of a server that announces none.
constexpr Duration kDefaultIdleTimeout = Seconds(4);
// Shares of the server's idle timeout after which a connection is no longer
// used. The lower one applies with `avoid_stale`, for requests that must not
// get lost because the server closes the connection at the same moment.
constexpr double kAvoidStaleIdleShare = 0.6;
constexpr double kMaxIdleShare = 0.85;

}  // namespace

bool ConnectionPool::IsUsable(const HttpConnection& connection,
                              bool avoid_stale,
                              TimePoint now) const {
  if (!connection.Reusable()) {
    return false;
  }
  double max_idle_ms =
      ToMillis(connection.server_idle_timeout().value_or(kDefaultIdleTimeout)) *
      (avoid_stale ? kAvoidStaleIdleShare : kMaxIdleShare);
  return ToMillis(connection.IdleTime(now)) < max_idle_ms;
}

std::shared_ptr<HttpConnection> ConnectionPool::TakeIdle(
    const std::string& address,
    const std::string& request_id,
    bool avoid_stale) {
  TimePoint now = SteadyClock::now();
  auto& connections = idle_[address];
  for (size_t i = connections.size(); i > 0; --i) {
    std::shared_ptr<HttpConnection> connection = connections[i - 1];
    if (!IsUsable(*connection, false, now)) {
      connection->Close();
      connections.erase(connections.begin() + static_cast<ptrdiff_t>(i) - 1);
      continue;
    }
    if (!IsUsable(*connection, avoid_stale, now)) {
      // The remaining connections have been idle longer. Keep them for requests
      // without `avoid_stale`.
      break;
    }
    if (connection->HasCarried(request_id)) {
      LogEvent("connection_avoided")
          .Field("server", address)
          .Field("request", request_id);
      continue;
    }
    connections.erase(connections.begin() + static_cast<ptrdiff_t>(i) - 1);
    if (!connection->SocketIsQuiet()) {
      connection->Close();
      continue;
    }
    connection->SetIdleCloseCallback(nullptr);
    return connection;
  }
  return nullptr;
}

std::shared_ptr<HttpConnection> ConnectionPool::Take(
    const std::string& address,
    const std::string& request_id,
    bool avoid_stale) {
  if (auto connection = TakeIdle(address, request_id, avoid_stale)) {
    return connection;
  }
  auto endpoint = ParseEndpoint(address);
  if (!Ok(endpoint)) {
    return nullptr;
  }
  ++opened_;
  return std::make_shared<HttpConnection>(
      io_, std::get<Tcp::endpoint>(endpoint), check_response_);
}

void ConnectionPool::Return(const std::string& address,
                            std::shared_ptr<HttpConnection> connection) {
  if (!connection->Reusable()) {
    connection->Close();
    return;
  }
  HttpConnection* raw = connection.get();
  connection->SetIdleCloseCallback([this, address, raw] {
    std::erase_if(idle_[address],
                  [raw](const auto& other) { return other.get() == raw; });
  });
  idle_[address].push_back(std::move(connection));
}

void ConnectionPool::Sweep(
    const std::function<bool(const std::string&)>& in_use) {
  TimePoint now = SteadyClock::now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& [address, connections] = *it;
    bool address_in_use = in_use(address);
    std::erase_if(connections,
                  [this, address_in_use, now](const auto& connection) {
                    if (address_in_use && IsUsable(*connection, false, now)) {
                      return false;
                    }
                    connection->Close();
                    return true;
                  });
    it = connections.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace mangoyoke
