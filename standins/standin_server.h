// HTTP server and JSON helpers shared by the simulated systems.

#ifndef MANGOYOKE_STANDINS_STANDIN_SERVER_H_
#define MANGOYOKE_STANDINS_STANDIN_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "http/http_dispatcher.h"
#include "mangoyoke/clock.h"

namespace mangoyoke::standin {

using Json = nlohmann::json;

// Serves `handler` on `address` ("IP:port") until SIGTERM or SIGINT. Returns
// the exit code: 0, or 1 if the server cannot start.
int RunServer(boost::asio::io_context& io,
              ServerRequestHandler& handler,
              const std::string& address,
              int threads = 1);

// Parses the body of a request. Returns an empty object if it is not a JSON
// object.
Json ReadBody(const ServerRequest& request);

// Sends a JSON response.
void Reply(const std::shared_ptr<ResponseStream>& stream,
           int status,
           const Json& body);

// Main functions of the simulated systems. Each parses its own command line and
// returns the exit code.
int RunEngine(int argc, char** argv);
int RunService(int argc, char** argv);
int RunPlatform(int argc, char** argv);
int RunProxy(int argc, char** argv);
int RunLoad(int argc, char** argv);

}  // namespace mangoyoke::standin

#endif  // MANGOYOKE_STANDINS_STANDIN_SERVER_H_
