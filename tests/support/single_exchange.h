// One exchange with a scripted server on a connection of its own.

#ifndef MANGOYOKE_TESTS_SUPPORT_SINGLE_EXCHANGE_H_
#define MANGOYOKE_TESTS_SUPPORT_SINGLE_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "gateway/net/timed_exchange.h"
#include "tests/support/check_id.h"

namespace mangoyoke {

// Sends a request with `body` to a server at 127.0.0.1:`port` that accepts the
// connection and runs `serve`. Returns when both have ended.
inline ExchangeOutcome RunSingleExchange(
    uint16_t port,
    const std::string& body,
    Duration timeout,
    const std::function<void(Tcp::socket&)>& serve) {
  boost::asio::io_context server_io;
  Tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), port);
  Tcp::acceptor acceptor(server_io, endpoint);
  std::thread server([&] {
    Tcp::socket socket = acceptor.accept();
    serve(socket);
  });
  boost::asio::io_context io;
  ConnectionPool pool(io, CheckId);
  TimedExchange exchange(io, pool);
  ExchangeOutcome result;
  ExchangeCallbacks callbacks;
  callbacks.on_end = [&](ExchangeOutcome outcome) {
    result = std::move(outcome);
    io.stop();
  };
  HttpRequest request(http::verb::post, "/", 11);
  request.body() = body;
  request.prepare_payload();
  exchange.Start("127.0.0.1:" + std::to_string(port), std::move(request), {},
                 {.timeout = timeout}, std::move(callbacks));
  io.run();
  server.join();
  return result;
}

}  // namespace mangoyoke

#endif  // MANGOYOKE_TESTS_SUPPORT_SINGLE_EXCHANGE_H_
