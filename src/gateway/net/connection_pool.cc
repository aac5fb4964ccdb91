// Taking, giving back and sweeping of kept connections.

#include "gateway/net/connection_pool.h"

#include <algorithm>

namespace mangoyoke {
namespace {

// Idle time after which a connection without a stated limit is not used.
constexpr Duration kDefaultIdleLimit = Seconds(4);
// The share of the server's limit after which a request that must not get
// lost avoids the connection.
constexpr double kCarefulShare = 0.6;
constexpr double kUsableShare = 0.85;

}  // namespace

bool ConnectionPool::StillGood(const HttpConnection& connection,
                               bool careful,
                               TimePoint now) const {
  if (!connection.Reusable()) {
    return false;
  }
  double limit = ToMillis(connection.idle_limit().value_or(kDefaultIdleLimit)) *
                 (careful ? kCarefulShare : kUsableShare);
  return ToMillis(connection.IdleTime(now)) < limit;
}

std::shared_ptr<HttpConnection> ConnectionPool::Take(const std::string& address,
                                                     bool careful) {
  TimePoint now = SteadyClock::now();
  auto& kept = idle_[address];
  while (!kept.empty()) {
    std::shared_ptr<HttpConnection> connection = kept.back();
    if (StillGood(*connection, careful, now)) {
      kept.pop_back();
      connection->SetIdleCloseCallback(nullptr);
      return connection;
    }
    if (StillGood(*connection, false, now)) {
      break;  // Older ones are no better; keep them for others.
    }
    connection->Close();
    kept.pop_back();
  }
  auto endpoint = ParseEndpoint(address);
  if (!Ok(endpoint)) {
    return nullptr;
  }
  ++opened_;
  return std::make_shared<HttpConnection>(
      io_, std::get<Tcp::endpoint>(endpoint), answer_id_);
}

void ConnectionPool::Give(const std::string& address,
                          std::shared_ptr<HttpConnection> connection) {
  if (!connection->Reusable()) {
    connection->Close();
    return;
  }
  HttpConnection* raw = connection.get();
  connection->SetIdleCloseCallback([this, address, raw] {
    std::erase_if(idle_[address],
                  [raw](const auto& kept) { return kept.get() == raw; });
  });
  idle_[address].push_back(std::move(connection));
}

void ConnectionPool::Sweep(
    const std::function<bool(const std::string&)>& in_use) {
  TimePoint now = SteadyClock::now();
  for (auto it = idle_.begin(); it != idle_.end();) {
    auto& [address, kept] = *it;
    bool wanted = in_use(address);
    std::erase_if(kept, [this, wanted, now](const auto& connection) {
      if (wanted && StillGood(*connection, false, now)) {
        return false;
      }
      connection->Close();
      return true;
    });
    it = kept.empty() ? idle_.erase(it) : std::next(it);
  }
}

}  // namespace mangoyoke
