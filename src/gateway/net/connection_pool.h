// Pool of idle keep-alive connections to backend servers. The most recently
// used connection is reused first, because it is the least likely to be closed
// by the server and opening a new one is expensive.

#ifndef MANGOYOKE_GATEWAY_NET_CONNECTION_POOL_H_
#define MANGOYOKE_GATEWAY_NET_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/net/http_connection.h"
#include "gateway/net/memory_budget.h"

namespace mangoyoke {

// Not thread-safe: used on the event loop's thread only.
class ConnectionPool {
 public:
  // Limit of body_memory(), for instances of the smallest size.
  static constexpr size_t kDefaultBodyMemoryBytes = 22 << 20;

  // `check_response`: see HttpConnection.
  ConnectionPool(boost::asio::io_context& io,
                 HttpConnection::ResponseCheck check_response)
      : io_(io),
        check_response_(std::move(check_response)),
        body_memory_(kDefaultBodyMemoryBytes) {}

  // Returns an idle connection to `address` ("IP:port") that has carried no
  // exchange for `request_id`, or a new one that is not connected yet. With
  // `avoid_stale`, skips connections that the server may be about to close.
  // Returns null if the address cannot be parsed.
  std::shared_ptr<HttpConnection> Take(const std::string& address,
                                       const std::string& request_id,
                                       bool avoid_stale);
  // Returns `connection` to the pool, or closes it if it is not reusable.
  void Return(const std::string& address,
              std::shared_ptr<HttpConnection> connection);
  // Closes idle connections that are not reusable or that the server may soon
  // close, and all idle connections to addresses for which `in_use` returns
  // false.
  void Sweep(const std::function<bool(const std::string&)>& in_use);

  // The memory of what is collected of responses.
  MemoryBudget& body_memory() { return body_memory_; }

  // Number of connections created since the start.
  uint64_t opened() const { return opened_; }

 private:
  // Removes the connection for Take from the idle ones. Null if there is none.
  std::shared_ptr<HttpConnection> TakeIdle(const std::string& address,
                                           const std::string& request_id,
                                           bool avoid_stale);
  // Whether `connection` is reusable and idle for less than the permitted share
  // of the server's idle timeout.
  bool IsUsable(const HttpConnection& connection,
                bool avoid_stale,
                TimePoint now) const;

  boost::asio::io_context& io_;
  HttpConnection::ResponseCheck check_response_;
  // By address, the most recently used connection last.
  std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>> idle_;
  uint64_t opened_ = 0;
  MemoryBudget body_memory_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_CONNECTION_POOL_H_
