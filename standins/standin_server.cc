// HTTP server and JSON helpers shared by the simulated systems.

#include "standin_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

namespace mangoyoke::standin {

int RunServer(boost::asio::io_context& io,
              ServerRequestHandler& handler,
              const std::string& address,
              int threads) {
  HttpDispatcher dispatcher({DispatchTarget{&io, &handler}});
  HttpServerOptions options;
  options.address = address;
  options.threads = threads;
  HttpServer server(options, dispatcher);
  auto started = server.Start();
  if (const auto* error = std::get_if<Error>(&started)) {
    std::cerr << error->detail << "\n";
    return 1;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait(
      [&io](const boost::system::error_code&, int) { io.stop(); });
  auto guard = boost::asio::make_work_guard(io);
  io.run();
  server.Stop();
  return 0;
}

Json ReadBody(const ServerRequest& request) {
  Json body = Json::parse(request.body, nullptr, false);
  return body.is_object() ? body : Json::object();
}

void Reply(const std::shared_ptr<ResponseStream>& stream,
           int status,
           const Json& body) {
  SendJson(stream, status, body.dump());
}

}  // namespace mangoyoke::standin
