// Responses with neither a length nor chunks, which end with their connection:
// those of a server that lives on are whole, those of one that ended are not.

#include <gtest/gtest.h>

#include <string>

#include "tests/support/raw_servers_fixture.h"

namespace mangoyoke {
namespace {

constexpr auto kClose = RawAnswer::End::kClose;
constexpr auto kEndServer = RawAnswer::End::kEndServer;

std::string Events(int first, int last) {
  std::string events;
  for (int id = first; id <= last; ++id) {
    events += "id: " + std::to_string(id) + "\ndata: t\n\n";
  }
  return events;
}

std::string Unframed(const std::string& headers, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Mangoyoke-Request-Id: id-1\r\n"
         "X-Mangoyoke-Response-Stamp: stamp\r\n" +
         headers + "\r\n" + body;
}

std::string UnframedStream(int first, int last) {
  return Unframed("Content-Type: text/event-stream\r\n", Events(first, last));
}

class UnframedAnswersTest : public RawServersTest {
 protected:
  // The first attempt gets `bytes` and then `end`. Further ones get `next`,
  // from a server that lives on.
  void Start(RequestKind kind,
             const std::string& bytes,
             RawAnswer::End end,
             const std::string& next) {
    ServerStage stage = kind == RequestKind::kStreaming
                            ? ServerStage::kDecode
                            : ServerStage::kCombined;
    auto script = [this, bytes, end, next](const RawRequest&) {
      return ++attempts_ == 1 ? RawAnswer{bytes, end} : RawAnswer{next, kClose};
    };
    AddRawServer(stage, script);
    AddRawServer(stage, script);
    StartRaw(kind, kind == RequestKind::kStreaming && !next.empty(), 2);
  }

  std::atomic<int> attempts_{0};
};

// The kernel closes the connections of a killed process in order, so
// that its streams arrived as complete ones with a part of their events.
TEST_F(UnframedAnswersTest, StreamOfAServerThatEndedIsCutOff) {
  Start(RequestKind::kStreaming, UnframedStream(1, 3), kEndServer, "");
  ReceivedResponse response = Receive();
  EXPECT_EQ(response.body, Events(1, 3)) << response.bytes;
  EXPECT_FALSE(response.complete) << response.bytes;
  EXPECT_EQ(attempts_, 1);
}

TEST_F(UnframedAnswersTest, StreamOfAServerThatEndedIsResumedElsewhere) {
  Start(RequestKind::kStreaming, UnframedStream(1, 2), kEndServer,
        UnframedStream(3, 5));
  ReceivedResponse response = Receive();
  EXPECT_EQ(response.body, Events(1, 5)) << response.bytes;
  EXPECT_TRUE(response.complete) << response.bytes;
  EXPECT_EQ(attempts_, 2);
}

// The same for a plain response that breaks off.
TEST_F(UnframedAnswersTest, PlainAnswerOfAServerThatEndedIsNoSuccess) {
  Start(RequestKind::kNonIdempotent, Unframed("", "half of"), kEndServer, "");
  ReceivedResponse response = Receive();
  EXPECT_TRUE(HasStatus(response.bytes, 502)) << response.bytes;
  EXPECT_EQ(attempts_, 1);
}

TEST_F(UnframedAnswersTest, PlainAnswerOfAServerThatEndedIsAskedForElsewhere) {
  Start(RequestKind::kIdempotent, Unframed("", "half of"), kEndServer,
        Unframed("", "half of it and the rest"));
  ReceivedResponse response = Receive();
  EXPECT_TRUE(HasStatus(response.bytes, 200)) << response.bytes;
  EXPECT_EQ(response.body, "half of it and the rest");
  EXPECT_EQ(attempts_, 2);
}

TEST_F(UnframedAnswersTest, AnswersOfAServerThatLivesAreWhole) {
  Start(RequestKind::kNonIdempotent, Unframed("", "all of it"), kClose, "");
  ReceivedResponse response = Receive();
  EXPECT_TRUE(HasStatus(response.bytes, 200)) << response.bytes;
  EXPECT_EQ(response.body, "all of it");
}

TEST_F(UnframedAnswersTest, StreamOfAServerThatLivesIsWhole) {
  Start(RequestKind::kStreaming, UnframedStream(1, 3), kClose, "");
  ReceivedResponse response = Receive();
  EXPECT_EQ(response.body, Events(1, 3)) << response.bytes;
  EXPECT_TRUE(response.complete) << response.bytes;
}

// A response without a body is whole at its blank line.
TEST_F(UnframedAnswersTest, ResponseWithoutABodyNeedsNoServer) {
  Start(RequestKind::kNonIdempotent,
        "HTTP/1.1 204 No Content\r\nX-Mangoyoke-Request-Id: id-1\r\n"
        "X-Mangoyoke-Response-Stamp: stamp\r\n\r\n",
        kEndServer, "");
  ReceivedResponse response = Receive();
  EXPECT_TRUE(HasStatus(response.bytes, 204)) << response.bytes;
}

}  // namespace
}  // namespace mangoyoke
