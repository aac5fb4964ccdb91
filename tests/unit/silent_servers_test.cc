// Requests whose sound server falls silent for a second and then goes on.

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/support/traffic_fixture.h"

namespace mangoyoke {
namespace {

constexpr Millis kSilence{1000};
// Leaves time for a silence and a move.
constexpr Millis kRouteTimeout{5000};

// Calls `action` after `delay`.
void After(boost::asio::io_context& io,
           Duration delay,
           std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io, delay);
  timer->async_wait(
      [timer, action](const boost::system::error_code&) { action(); });
}

// Handles each request with `action` after `delay`.
FakeServer::Action Delayed(boost::asio::io_context& io,
                           Duration delay,
                           FakeServer::Action action) {
  return [&io, delay, action](const HttpRequest& request, auto responder) {
    After(io, delay,
          [request, responder, action] { action(request, responder); });
  };
}

// Streams events 1 and 2, is silent for `silence` and ends with 3 and 4.
FakeServer::Action StreamWithSilence(boost::asio::io_context& io,
                                     Duration silence) {
  return [&io, silence](const HttpRequest& request, auto responder) {
    http::response_header<> head;
    head.result(200);
    head.set(kRequestIdHeader, request[kRequestIdHeader]);
    head.set(kResponseStampHeader, "stamp");
    head.set(http::field::content_type, "text/event-stream");
    responder->BeginStream(head);
    responder->Write("id: 1\ndata: t\n\nid: 2\ndata: t\n\n");
    After(io, silence, [responder] {
      responder->Write("id: 3\ndata: t\n\nid: 4\ndata: t\n\n");
      responder->EndStream();
    });
  };
}

bool IsWholeStream(const std::string& response) {
  for (int id = 1; id <= 4; ++id) {
    if (response.find("id: " + std::to_string(id) + "\n") ==
        std::string::npos) {
      return false;
    }
  }
  return HasStatus(response, 200) && response.ends_with("0\r\n\r\n");
}

class SilentServersTest : public GatewayTrafficTest {
 protected:
  // Runs `action` on the gateway's thread.
  void OnGateway(const std::function<void()>& action) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  // Starts the gateway; routes allow `max_servers` and kRouteTimeout.
  void Start(RequestKind kind, int max_servers) {
    StartGateway(kind, kind == RequestKind::kStreaming, max_servers);
    OnGateway([&] {
      RouteRule route = *context_.config->Match("h", "/x");
      route.timeout = kRouteTimeout;
      context_.config = std::make_shared<ServingConfig>(
          2, std::vector<RouteRule>{route}, std::vector<ServiceRule>{service_},
          CallerLimits{});
    });
  }

  void UseUpRetryBudget() {
    OnGateway([this] {
      while (context_.retry_budget.TryAcquire("s", SteadyClock::now())) {
      }
    });
  }

  int64_t RetriesTaken() {
    int64_t retries = 0;
    OnGateway([&] {
      retries =
          context_.retry_budget.LocalCounts(SteadyClock::now())["s"].retries;
    });
    return retries;
  }

  // A service with one prefill server and `decode_servers` of `action`.
  void AddEngines(int decode_servers, const FakeServer::Action& action) {
    AddServer(ServerStage::kPrefill, RespondWithKvHandle("h1"));
    for (int i = 0; i < decode_servers; ++i) {
      AddServer(ServerStage::kDecode, action);
    }
  }

  int RequestsFrom(size_t first_server) {
    int requests = 0;
    for (size_t i = first_server; i < servers_.size(); ++i) {
      requests += servers_[i]->requests_received();
    }
    return requests;
  }
};

TEST_F(SilentServersTest, StreamIsNotCutIfTheRetryBudgetIsUsedUp) {
  AddEngines(2, StreamWithSilence(io_, kSilence * 3 / 2));
  Start(RequestKind::kStreaming, 3);
  UseUpRetryBudget();
  std::string response = SendRequest();
  EXPECT_TRUE(IsWholeStream(response)) << response;
  EXPECT_EQ(RequestsFrom(1), 1);
}

TEST_F(SilentServersTest, StreamIsNotCutIfThereIsNoOtherServer) {
  AddEngines(1, StreamWithSilence(io_, kSilence * 3 / 2));
  Start(RequestKind::kStreaming, 3);
  std::string response = SendRequest();
  EXPECT_TRUE(IsWholeStream(response)) << response;
  EXPECT_EQ(RetriesTaken(), 0);
}

TEST_F(SilentServersTest, StreamIsNotCutIfNoOtherServerHasRoom) {
  AddEngines(2, [this](const HttpRequest& request, auto responder) {
    for (const char* id : {"server-1", "server-2"}) {
      context_.load.Charge(id, LoadCharge{1, 0, 3000});
    }
    StreamWithSilence(io_, kSilence * 3 / 2)(request, responder);
  });
  service_.engine = EngineSpec{};
  service_.engine->kv_tokens = 3000;
  Start(RequestKind::kStreaming, 3);
  std::string response = SendRequest();
  EXPECT_TRUE(IsWholeStream(response)) << response;
  EXPECT_EQ(RequestsFrom(1), 1);
  EXPECT_EQ(RetriesTaken(), 0);
}

// Before their first event the servers are silent in turn, so that the stream
// has been moved as often as it may be when the last one is silent for a while.
TEST_F(SilentServersTest, StreamIsNotCutIfItWasMovedTooOften) {
  auto decodes = std::make_shared<std::atomic<int>>(0);
  FakeServer::Action silent = NeverRespond();
  AddEngines(5, [=, this](const HttpRequest& request, auto responder) {
    if ((*decodes)++ < 3) {
      silent(request, responder);
    } else {
      Delayed(io_, kSilence, StreamEvents(io_, 1, 4, true))(request, responder);
    }
  });
  Start(RequestKind::kStreaming, 6);
  std::string response = SendRequest();
  EXPECT_TRUE(IsWholeStream(response)) << response;
  EXPECT_EQ(*decodes, 4);
}

TEST_F(SilentServersTest, StreamMovesOnceAnotherServerHasRoom) {
  uint64_t charge = 0;
  FakeServer::Action silent = NeverRespond();
  auto decodes = std::make_shared<std::atomic<int>>(0);
  AddEngines(2, [=, &charge, this](const HttpRequest& request, auto responder) {
    if ((*decodes)++ > 0) {
      StreamEvents(io_, 1, 4, true)(request, responder);
      return;
    }
    silent(request, responder);
    // The other server gets room after a while.
    bool first = context_.load.At("server-1", SteadyClock::now()).requests > 0;
    charge = context_.load.Charge(first ? "server-2" : "server-1",
                                  LoadCharge{1, 0, 3000});
    After(io_, kSilence,
          [responder, &charge, this] { context_.load.Release(charge); });
  });
  service_.engine = EngineSpec{};
  service_.engine->kv_tokens = 3000;
  Start(RequestKind::kStreaming, 3);
  TimePoint start = SteadyClock::now();
  std::string response = SendRequest();
  EXPECT_TRUE(IsWholeStream(response)) << response;
  EXPECT_GE(SteadyClock::now() - start, kSilence);
  EXPECT_LT(SteadyClock::now() - start, 2 * kSilence);
  EXPECT_EQ(RetriesTaken(), 1);
}

// Both the gap target is missed and the work so far is lost by a move, while
// the caller still waits.
TEST_F(SilentServersTest, StreamIsNotMovedForASecondOfSilence) {
  AddEngines(2, StreamWithSilence(io_, kSilence));
  Start(RequestKind::kStreaming, 3);
  std::string response = SendRequest();
  EXPECT_TRUE(IsWholeStream(response)) << response;
  EXPECT_EQ(RequestsFrom(1), 1);
  EXPECT_EQ(RetriesTaken(), 0);
}

TEST_F(SilentServersTest, IdempotentRequestIsAnsweredThoughTheBudgetIsUsedUp) {
  FakeServer::Action late =
      Delayed(io_, kSilence, RespondWith(http::status::ok, "done"));
  AddServer(ServerStage::kCombined, late);
  AddServer(ServerStage::kCombined, late);
  Start(RequestKind::kIdempotent, 3);
  UseUpRetryBudget();
  std::string response = SendRequest("GET");
  EXPECT_TRUE(HasStatus(response, 200)) << response;
  EXPECT_EQ(RequestsFrom(0), 1);
}

TEST_F(SilentServersTest, IdempotentRequestIsAnsweredByTheOnlyServer) {
  AddServer(ServerStage::kCombined,
            Delayed(io_, kSilence, RespondWith(http::status::ok, "done")));
  Start(RequestKind::kIdempotent, 3);
  std::string response = SendRequest("GET");
  EXPECT_TRUE(HasStatus(response, 200)) << response;
  EXPECT_EQ(RetriesTaken(), 0);
}

TEST_F(SilentServersTest, IdempotentRequestIsNotSentToAFullServer) {
  auto runs = std::make_shared<std::atomic<int>>(0);
  FakeServer::Action late = [=, this](const HttpRequest& request,
                                      auto responder) {
    for (const char* id : {"server-0", "server-1"}) {
      context_.load.Charge(id, LoadCharge{4, 0, 0});
    }
    if ((*runs)++ == 0) {
      Delayed(io_, kSilence, RespondWith(http::status::ok, "done"))(request,
                                                                    responder);
    } else {
      RespondNotExecuted()(request, responder);
    }
  };
  AddServer(ServerStage::kCombined, late);
  AddServer(ServerStage::kCombined, late);
  Start(RequestKind::kIdempotent, 3);
  std::string response = SendRequest("GET");
  EXPECT_TRUE(HasStatus(response, 200)) << response;
  EXPECT_EQ(RetriesTaken(), 0);
}

TEST_F(SilentServersTest, PrefillIsWaitedForIfTheRetryBudgetIsUsedUp) {
  FakeServer::Action late =
      Delayed(io_, kSilence * 2, RespondWithKvHandle("h1"));
  AddServer(ServerStage::kPrefill, late);
  AddServer(ServerStage::kPrefill, late);
  AddServer(ServerStage::kDecode, StreamEvents(io_, 1, 4, true));
  Start(RequestKind::kStreaming, 3);
  UseUpRetryBudget();
  std::string response = SendRequest();
  EXPECT_TRUE(IsWholeStream(response)) << response;
  EXPECT_EQ(RequestsFrom(0), 2);
}

// Events come every two target gaps until the deadline.
TEST_F(SilentServersTest, ServerIsNotTakenForSilentSinceTheDeadlineIsNear) {
  AddEngines(2, [this](const HttpRequest& request, auto responder) {
    http::response_header<> head;
    head.result(200);
    head.set(kRequestIdHeader, request[kRequestIdHeader]);
    head.set(kResponseStampHeader, "stamp");
    head.set(http::field::content_type, "text/event-stream");
    responder->BeginStream(head);
    for (int id = 1; id <= 5; ++id) {
      After(io_, (id - 1) * Millis(200), [responder, id] {
        responder->Write("id: " + std::to_string(id) + "\ndata: t\n\n");
        if (id == 5) {
          responder->EndStream();
        }
      });
    }
  });
  Start(RequestKind::kStreaming, 3);
  std::string response =
      SendRequest("POST", "X-Mangoyoke-Deadline-Ms: 900\r\n");
  EXPECT_TRUE(IsWholeStream(response)) << response;
  OnGateway([this] {
    TimePoint now = SteadyClock::now();
    EXPECT_EQ(context_.health.FailureRate(servers_[1]->record(), now), 0);
    EXPECT_EQ(context_.health.FailureRate(servers_[2]->record(), now), 0);
  });
}

// A server that has gone must not cost the stream either: the caller waits for
// two seconds for the next event.
TEST_F(SilentServersTest, StreamOfAServerThatStaysSilentMovesInTime) {
  auto decodes = std::make_shared<std::atomic<int>>(0);
  AddEngines(2, [=, this](const HttpRequest& request, auto responder) {
    if ((*decodes)++ == 0) {
      StreamWithSilence(io_, kRouteTimeout)(request, responder);
    } else {
      StreamEvents(io_, 3, 4, true)(request, responder);
    }
  });
  Start(RequestKind::kStreaming, 3);
  TimePoint start = SteadyClock::now();
  std::string response = SendRequest();
  EXPECT_TRUE(IsWholeStream(response)) << response;
  EXPECT_LT(SteadyClock::now() - start, Millis(1800));
}

// A request must not run on at two servers.
TEST_F(SilentServersTest, MovedStreamIsClosedAtTheSilentServerFirst) {
  std::shared_ptr<HttpResponder> first;
  std::atomic<bool> closed{false};
  std::atomic<bool> closed_before_next{false};
  AddEngines(2, [&](const HttpRequest& request, auto responder) {
    if (first == nullptr) {
      first = responder;
      first->SetDisconnectCallback([&closed] { closed = true; });
      return;
    }
    closed_before_next = closed.load();
    StreamEvents(io_, 1, 4, true)(request, responder);
  });
  Start(RequestKind::kStreaming, 3);
  std::string response = SendRequest();
  EXPECT_TRUE(IsWholeStream(response)) << response;
  EXPECT_TRUE(closed_before_next);
}

// The only decode server is silent twice in a row, so that it would be avoided
// until long after it has gone on.
TEST_F(SilentServersTest, NewRequestsAreNotRefusedOnceTheServerHasGoneOn) {
  TimePoint start = SteadyClock::now();
  TimePoint goes_on = start + Millis(1100);
  AddEngines(1, [this, goes_on](const HttpRequest& request, auto responder) {
    Duration left = goes_on - SteadyClock::now();
    Delayed(io_, std::max<Duration>(left, Millis(0)),
            StreamEvents(io_, 1, 4, true))(request, responder);
  });
  Start(RequestKind::kStreaming, 3);
  std::vector<std::future<std::string>> responses;
  for (Millis at : {Millis(0), Millis(720), Millis(1200)}) {
    std::this_thread::sleep_until(start + at);
    responses.push_back(
        std::async(std::launch::async, [this] { return SendRequest(); }));
  }
  for (auto& response : responses) {
    std::string received = response.get();
    EXPECT_TRUE(IsWholeStream(received)) << received;
  }
}

// All copies of a plain service are silent at the same moment.
TEST_F(SilentServersTest, ServiceWhoseServersAreAllSilentIsNotRefused) {
  for (int i = 0; i < 3; ++i) {
    AddServer(ServerStage::kCombined,
              Delayed(io_, kSilence, RespondWith(http::status::ok, "done")));
  }
  Start(RequestKind::kIdempotent, 3);
  std::vector<std::future<std::string>> responses;
  for (int i = 0; i < 10; ++i) {
    responses.push_back(
        std::async(std::launch::async, [this] { return SendRequest("GET"); }));
    std::this_thread::sleep_for(Millis(100));
  }
  for (auto& response : responses) {
    std::string received = response.get();
    EXPECT_TRUE(HasStatus(received, 200)) << received;
  }
}

// While the caller does not read, the gateway does not read from the server
// either, which is not the server's silence.
TEST_F(SilentServersTest, StreamOfACallerThatReadsLateStaysAtItsServer) {
  constexpr int kEvents = 4000;
  AddEngines(2, [](const HttpRequest& request, auto responder) {
    http::response_header<> head;
    head.result(200);
    head.set(kRequestIdHeader, request[kRequestIdHeader]);
    head.set(kResponseStampHeader, "stamp");
    head.set(http::field::content_type, "text/event-stream");
    responder->BeginStream(head);
    for (int id = 1; id <= kEvents; ++id) {
      responder->Write("id: " + std::to_string(id) +
                       "\ndata: " + std::string(4000, 't') + "\n\n");
    }
    responder->EndStream();
  });
  Start(RequestKind::kStreaming, 3);
  boost::asio::io_context io;
  Tcp::socket socket(io, Tcp::v4());
  socket.set_option(boost::asio::socket_base::receive_buffer_size(16 << 10));
  socket.connect(
      Tcp::endpoint(boost::asio::ip::address_v4::loopback(), kListenPort));
  boost::asio::write(socket, boost::asio::buffer(std::string(
                                 "POST /x HTTP/1.1\r\nHost: h\r\n"
                                 "X-Mangoyoke-Request-Id: id-1\r\n"
                                 "X-Mangoyoke-Token-Counts: 900,100\r\n"
                                 "Connection: close\r\n\r\n")));
  std::this_thread::sleep_for(2 * kSilence);
  std::string received;
  boost::system::error_code error;
  boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
  EXPECT_NE(received.find("id: " + std::to_string(kEvents) + "\n"),
            std::string::npos)
      << received.size();
  EXPECT_EQ(RequestsFrom(1), 1);
  EXPECT_EQ(RetriesTaken(), 0);
}

// The request was taken from a silent server. The next one rejects it once,
// when the retry budget is used up, and there is budget again after a while.
class MovedRequestTest : public SilentServersTest {
 protected:
  FakeServer::Action SilentThenFullThen(FakeServer::Action action) {
    auto requests = std::make_shared<std::atomic<int>>(0);
    return [this, requests, action, silent = NeverRespond()](
               const HttpRequest& request, auto responder) {
      int number = (*requests)++;
      if (number > 0) {
        (number == 1 ? RespondNotExecuted() : action)(request, responder);
        return;
      }
      silent(request, responder);
      SharedRetryBudgetOptions one_retry{0, 1 / 0.45};
      context_.retry_budget.SetOptions(one_retry);
      After(io_, 2 * kSilence, [this] {
        context_.retry_budget.SetOptions(SharedRetryBudgetOptions{});
      });
    };
  }
};

TEST_F(MovedRequestTest, StreamIsServedIfTheNextServerIsFull) {
  AddEngines(2, SilentThenFullThen(StreamEvents(io_, 1, 4, true)));
  Start(RequestKind::kStreaming, 3);
  std::string response = SendRequest();
  EXPECT_TRUE(IsWholeStream(response)) << response;
  EXPECT_EQ(RetriesTaken(), 2);
}

TEST_F(MovedRequestTest, IdempotentRequestIsAnsweredIfTheNextServerIsFull) {
  FakeServer::Action action =
      SilentThenFullThen(RespondWith(http::status::ok, "done"));
  AddServer(ServerStage::kCombined, action);
  AddServer(ServerStage::kCombined, action);
  Start(RequestKind::kIdempotent, 3);
  std::string response = SendRequest("GET");
  EXPECT_TRUE(HasStatus(response, 200)) << response;
  EXPECT_EQ(RetriesTaken(), 2);
}

}  // namespace
}  // namespace mangoyoke
