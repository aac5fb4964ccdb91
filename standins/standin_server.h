// Runs one stand-in: an HTTP server in front of one event loop.

#ifndef MANGOYOKE_STANDINS_STANDIN_SERVER_H_
#define MANGOYOKE_STANDINS_STANDIN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "http/http_dispatcher.h"
#include "mangoyoke/clock.h"

namespace mangoyoke::standin {

using Json = nlohmann::json;

// Serves `sink` on `address` until SIGTERM. Returns the exit code.
int RunServer(boost::asio::io_context& io,
              ServerRequestHandler& handler,
              const std::string& address,
              int threads = 1);

// Parses a request's body; an object in any case.
Json ReadBody(const ServerRequest& request);

void Reply(const std::shared_ptr<ResponseStream>& stream,
           int status,
           const Json& body);

// Entry points of the roles. Each takes its own command line.
int RunEngine(int argc, char** argv);
int RunService(int argc, char** argv);
int RunPlatform(int argc, char** argv);
int RunProxy(int argc, char** argv);
int RunLoad(int argc, char** argv);

}  // namespace mangoyoke::standin

#endif  // MANGOYOKE_STANDINS_STANDIN_SERVER_H_
