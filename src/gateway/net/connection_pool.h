// Kept connections to backend servers. New connections cost, so the most
// recently used one is taken first.

#ifndef MANGOYOKE_GATEWAY_NET_CONNECTION_POOL_H_
#define MANGOYOKE_GATEWAY_NET_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/net/http_connection.h"

namespace mangoyoke {

class ConnectionPool {
 public:
  ConnectionPool(boost::asio::io_context& io,
                 HttpConnection::RequestIdExtractor answer_id)
      : io_(io), answer_id_(std::move(answer_id)) {}

  // A connection to `address`. With `careful`, one that the server may be
  // about to close is not taken. Null if the address cannot be parsed.
  std::shared_ptr<HttpConnection> Take(const std::string& address,
                                       bool careful);
  // Keeps `connection` for later if it can be used again.
  void Give(const std::string& address,
            std::shared_ptr<HttpConnection> connection);
  // Closes idle connections that outlived their use, and those to addresses
  // for which `in_use` is false.
  void Sweep(const std::function<bool(const std::string&)>& in_use);

  uint64_t opened() const { return opened_; }

 private:
  bool StillGood(const HttpConnection& connection,
                 bool careful,
                 TimePoint now) const;

  boost::asio::io_context& io_;
  HttpConnection::RequestIdExtractor answer_id_;
  std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>> idle_;
  uint64_t opened_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_CONNECTION_POOL_H_
