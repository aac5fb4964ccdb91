// Responses on kept connections to servers that belong to no request or to an
// earlier one.

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "gateway/net/timed_exchange.h"
#include "tests/support/check_id.h"
#include "tests/support/raw_server.h"

namespace mangoyoke {
namespace {

std::string Answer(const std::string& status,
                   const std::string& id,
                   const std::string& body) {
  std::string id_line = id.empty() ? "" : "Id: " + id + "\r\n";
  return "HTTP/1.1 " + status + "\r\n" + id_line +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Exchanges on the pooled connections to one server.
class StaleResponsesTest : public ::testing::Test {
 protected:
  StaleResponsesTest() : pool_(io_, CheckId) {}

  // Sends a request and waits for the end of its exchange. What happens on the
  // socket is looked at only after `pause`.
  ExchangeOutcome Send(const RawServer& server,
                       const std::string& id,
                       Duration pause = Millis(0)) {
    TimedExchange exchange(io_, pool_);
    std::optional<ExchangeOutcome> outcome;
    ExchangeCallbacks callbacks;
    callbacks.on_end = [&](ExchangeOutcome ended) {
      outcome = std::move(ended);
    };
    HttpRequest request(http::verb::get, "/", 11);
    request.set("X-Mangoyoke-Request-Id", id);
    exchange.Start(server.address(), std::move(request), {id},
                   {.timeout = Millis(500)}, std::move(callbacks));
    std::this_thread::sleep_for(pause);
    while (!outcome) {
      io_.run_one();
    }
    return std::move(*outcome);
  }

  boost::asio::io_context io_;
  ConnectionPool pool_;
};

const char kRefusal[] = "503 Full";

// Answers every request properly, after `stale` bytes unless the request is the
// first one on its connection.
RawServer::Script AnswerAfter(std::string stale) {
  return [stale](const RawRequest& request) {
    return RawAnswer{(request.on_connection > 1 ? stale : "") +
                     Answer("200 OK", request.id(),
                            "answer " + std::to_string(request.number))};
  };
}

// The server wrote the refusal of the first try once more where the answer to
// the second try of the same request is due.
TEST_F(StaleResponsesTest, CopyOfARefusalIsNotTheAnswerToTheNextTry) {
  RawServer server(0, [](const RawRequest& request) {
    return request.number == 1
               ? RawAnswer{Answer(kRefusal, "a", "full")}
               : AnswerAfter(Answer(kRefusal, "a", "full"))(request);
  });
  EXPECT_EQ(Send(server, "a").body, "full");
  EXPECT_EQ(Send(server, "a").body, "answer 2");
}

TEST_F(StaleResponsesTest, CopyIsNotTakenAfterOtherRequestsEither) {
  RawServer server(0, [](const RawRequest& request) {
    return request.number < 4
               ? AnswerAfter("")(request)
               : AnswerAfter(Answer(kRefusal, "a", "full"))(request);
  });
  for (const char* id : {"a", "b", "c"}) {
    Send(server, id);
  }
  EXPECT_EQ(Send(server, "a").body, "answer 4");
}

TEST_F(StaleResponsesTest, OrdinaryRequestsShareOneConnection) {
  RawServer server(0, AnswerAfter(""));
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Send(server, std::to_string(i)).result,
              ExchangeResult::kComplete);
  }
  EXPECT_EQ(server.connections(), 1);
}

// The ids that a connection remembers are bounded, and none is forgotten.
TEST_F(StaleResponsesTest, ConnectionEndsWithItsLastRememberedId) {
  RawServer server(0, AnswerAfter(""));
  for (int i = 0; i < 1025; ++i) {
    Send(server, std::to_string(i));
  }
  EXPECT_EQ(server.connections(), 2);
}

// Who sends one response too many may send the next one too late.
TEST_F(StaleResponsesTest, ConnectionThatBroughtAForeignAnswerIsNotUsedAgain) {
  RawServer server(0, AnswerAfter(Answer(kRefusal, "a", "full")));
  EXPECT_EQ(Send(server, "a").body, "answer 1");
  EXPECT_EQ(Send(server, "b").body, "answer 2");
  EXPECT_EQ(Send(server, "c").body, "answer 3");
  EXPECT_EQ(server.connections(), 2);
}

TEST_F(StaleResponsesTest, InterimResponsesLeaveTheConnectionInUse) {
  RawServer server(0, AnswerAfter("HTTP/1.1 103 Early Hints\r\n\r\n"));
  for (const char* id : {"a", "b", "c"}) {
    EXPECT_EQ(Send(server, id).result, ExchangeResult::kComplete);
  }
  EXPECT_EQ(server.connections(), 1);
}

// A reservation of KV memory, for example, has no request id.
TEST_F(StaleResponsesTest, AnswerToAnEarlierIdIsNotForARequestWithoutId) {
  RawServer server(0, AnswerAfter(Answer(kRefusal, "a", "full")));
  EXPECT_EQ(Send(server, "a").body, "answer 1");
  EXPECT_EQ(Send(server, "").body, "answer 2");
}

// The copy lies in the socket when the next request takes the connection.
TEST_F(StaleResponsesTest, BytesThatCameBeforeTheRequestAreNoAnswer) {
  RawServer server(0, [](const RawRequest& request) {
    std::string copy = request.number == 1 ? Answer(kRefusal, "", "full") : "";
    return RawAnswer{Answer("200 OK", "", std::to_string(request.number)),
                     RawAnswer::End::kKeep, copy};
  });
  EXPECT_EQ(Send(server, "").body, "1");
  std::this_thread::sleep_for(Millis(100));
  EXPECT_EQ(Send(server, "").body, "2");
  EXPECT_EQ(server.connections(), 2);
}

// The server closed the connection, which was not noticed before the next
// request takes it.
TEST_F(StaleResponsesTest, RequestIsNotSentOnAConnectionThatTheServerClosed) {
  RawServer server(0, [](const RawRequest& request) {
    RawAnswer answer = AnswerAfter("")(request);
    answer.end = RawAnswer::End::kClose;
    return answer;
  });
  EXPECT_EQ(Send(server, "a").body, "answer 1");
  std::this_thread::sleep_for(Millis(50));
  EXPECT_EQ(Send(server, "b").body, "answer 2");
}

TEST_F(StaleResponsesTest, ServerThatSpeaksFirstHasAnsweredNothing) {
  RawServer server(0, AnswerAfter(""), Answer("200 OK", "", "greeting"));
  ExchangeOutcome outcome = Send(server, "a", Millis(50));
  EXPECT_EQ(outcome.result, ExchangeResult::kNotSent);
  EXPECT_EQ(outcome.body, "");
  EXPECT_EQ(server.requests(), 0);
}

TEST_F(StaleResponsesTest, CopyOnARestingConnectionClosesIt) {
  RawServer server(0, [](const RawRequest& request) {
    return RawAnswer{Answer("200 OK", request.id(), "answer"),
                     RawAnswer::End::kKeep, Answer("200 OK", request.id(), "")};
  });
  Send(server, "a");
  io_.run_for(Millis(100));
  io_.restart();
  EXPECT_EQ(Send(server, "b").body, "answer");
  EXPECT_EQ(server.connections(), 2);
}

TEST_F(StaleResponsesTest, CopyInTheReadOfTheAnswerClosesTheConnection) {
  RawServer server(0, [](const RawRequest& request) {
    std::string answer = Answer("200 OK", request.id(), "answer");
    return RawAnswer{answer + answer};
  });
  EXPECT_EQ(Send(server, "a").body, "answer");
  EXPECT_EQ(Send(server, "b").body, "answer");
  EXPECT_EQ(server.connections(), 2);
}

}  // namespace
}  // namespace mangoyoke
