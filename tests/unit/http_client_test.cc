// The HTTP client against this project's HTTP server.

#include "http/http_client.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>

#include "http/http_dispatcher.h"

namespace mangoyoke {
namespace {

constexpr char kAddress[] = "127.0.0.1:14987";

// Responds with the path of the request.
class Echo : public ServerRequestHandler {
 public:
  void OnRequest(ServerRequest request,
                 std::shared_ptr<ResponseStream> stream) override {
    stream->Send(200, "text/plain", request.path);
  }
  void OnDisconnect(uint64_t) override {}
};

// libcurl rejects new handles inside its callbacks. A request that was started
// there was lost and its DoneCallback never called.
TEST(HttpClientTest, RequestStartedFromADataCallbackCompletes) {
  boost::asio::io_context io(1);
  Echo echo;
  HttpDispatcher dispatcher({DispatchTarget{&io, &echo}});
  HttpServerOptions options;
  options.address = kAddress;
  HttpServer server(options, dispatcher);
  ASSERT_TRUE(Ok(server.Start()));
  HttpClient client(io);
  std::string second;
  bool started = false;
  auto url = [](const std::string& path) {
    return std::string("http://") + kAddress + path;
  };
  client.Start(
      {.url = url("/first")}, [](ClientResponse) {},
      [&](int, std::string_view) {
        if (std::exchange(started, true)) {
          return;
        }
        client.Start({.url = url("/second")}, [&](ClientResponse response) {
          second = response.body;
          io.stop();
        });
      });
  io.run_for(std::chrono::seconds(10));
  EXPECT_EQ(second, "/second");
  server.Stop();
}

}  // namespace
}  // namespace mangoyoke
