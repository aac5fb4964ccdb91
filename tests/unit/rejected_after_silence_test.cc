// Requests that were moved away from a sound, silent server to one that then
// rejects them.

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "tests/support/traffic_fixture.h"

namespace mangoyoke {
namespace {

constexpr Millis kSilence{1000};
constexpr Millis kRouteTimeout{5000};
constexpr int kMaxServers = 3;

class RejectedAfterSilenceTest : public GatewayTrafficTest {
 protected:
  // Adds two servers. The one that gets the first request is silent for
  // kSilence and serves that request and others with `serve`; the other one
  // has no capacity.
  void AddServers(ServerStage stage, const FakeServer::Action& serve) {
    auto first = std::make_shared<std::atomic<int>>(-1);
    for (int i = 0; i < 2; ++i) {
      AddServer(stage, [=, this](const HttpRequest& request, auto responder) {
        int none = -1;
        if (first->compare_exchange_strong(none, i)) {
          auto timer =
              std::make_shared<boost::asio::steady_timer>(io_, kSilence);
          timer->async_wait([=](const boost::system::error_code& error) {
            if (!error) {
              serve(request, responder);
            }
          });
          return;
        }
        *first == i ? serve(request, responder)
                    : RespondNotExecuted()(request, responder);
      });
    }
  }

  void Start(RequestKind kind) {
    StartGateway(kind, kind == RequestKind::kStreaming, kMaxServers);
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      RouteRule route = *context_.config->Match("h", "/x");
      route.timeout = kRouteTimeout;
      context_.config = std::make_shared<ServingConfig>(
          2, std::vector<RouteRule>{route}, std::vector<ServiceRule>{service_},
          CallerLimits{});
      done.set_value();
    });
    done.get_future().wait();
  }
};

TEST_F(RejectedAfterSilenceTest, IdempotentRequestIsServed) {
  AddServers(ServerStage::kCombined, RespondWith(http::status::ok, "done"));
  Start(RequestKind::kIdempotent);
  std::string response = SendRequest();
  EXPECT_TRUE(HasStatus(response, 200)) << response;
}

TEST_F(RejectedAfterSilenceTest, StreamIsServed) {
  AddServers(ServerStage::kCombined, StreamEvents(io_, 1, 4, true));
  Start(RequestKind::kStreaming);
  std::string response = SendRequest();
  EXPECT_TRUE(HasStatus(response, 200)) << response;
  EXPECT_TRUE(response.ends_with("0\r\n\r\n")) << response;
}

}  // namespace
}  // namespace mangoyoke
