// Simulated plain service (bookings, orders). Counts the executions of each
// idempotency key, so that tests can detect duplicates.

#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>
#include <map>

#include "standin_server.h"

namespace mangoyoke::standin {
namespace {

// Executes every request whose path is not an /admin path.
class Service : public ServerRequestHandler {
 public:
  Service(boost::asio::io_context& io, double latency_ms)
      : io_(io), latency_ms_(latency_ms) {}

  void OnRequest(ServerRequest request,
                 std::shared_ptr<ResponseStream> stream) override {
    if (request.path == "/admin/executions") {
      Reply(stream, 200, Json{{"total", total_}, {"keys", executions_}});
      return;
    }
    if (request.path == "/admin/behavior") {
      Json body = ReadBody(request);
      latency_ms_ = body.value("latency_ms", latency_ms_);
      drop_replies_ = body.value("drop_replies", drop_replies_);
      Reply(stream, 200, Json::object());
      return;
    }
    Execute(request, stream);
  }

  void OnDisconnect(uint64_t) override {}

 private:
  void Execute(const ServerRequest& request,
               const std::shared_ptr<ResponseStream>& stream) {
    ++total_;
    std::string key(request.Header("idempotency-key"));
    int64_t number = key.empty() ? 0 : ++executions_[key];
    if (drop_replies_ > 0) {
      --drop_replies_;
      stream->Abort();  // The request was executed; its response is lost.
      return;
    }
    Json response{{"confirmed", true},
                  {"path", request.path},
                  {"key", key},
                  {"execution", number},
                  {"total", total_}};
    auto timer = std::make_shared<boost::asio::steady_timer>(io_);
    timer->expires_after(FromMillis(latency_ms_));
    timer->async_wait(
        [timer, stream, response](const boost::system::error_code&) {
          Reply(stream, 200, response);
        });
  }

  boost::asio::io_context& io_;
  double latency_ms_;
  int64_t drop_replies_ = 0;  // Requests to come whose response is lost.
  std::map<std::string, int64_t> executions_;  // Count by idempotency key.
  int64_t total_ = 0;
};

}  // namespace

int RunService(int argc, char** argv) {
  cxxopts::Options parser("standin service", "Simulated plain service");
  std::string listen;
  double latency_ms = 5;
  parser.add_options()("listen", "IP:port", cxxopts::value(listen))(
      "latency-ms", "time of one call, ms", cxxopts::value(latency_ms));
  parser.parse(argc, argv);
  boost::asio::io_context io(1);
  Service service(io, latency_ms);
  return RunServer(io, service, listen);
}

}  // namespace mangoyoke::standin
