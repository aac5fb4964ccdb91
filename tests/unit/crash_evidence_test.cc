// What the gateway takes for the end of a server while it responds to a prompt.

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <functional>
#include <future>

#include "tests/support/raw_servers_fixture.h"

namespace mangoyoke {
namespace {

const std::string kEvents = "id: 1\ndata: t\n\nid: 2\ndata: t\n\n";

std::string StreamHead(const std::string& headers) {
  return "HTTP/1.1 200 OK\r\nX-Mangoyoke-Request-Id: id-1\r\n"
         "X-Mangoyoke-Response-Stamp: stamp\r\n"
         "Content-Type: text/event-stream\r\n" +
         headers + "\r\n";
}

class CrashEvidenceTest : public RawServersTest {
 protected:
  // A server that sends `bytes` and closes the connection. If `ends`, the
  // registry has its successor by then.
  void StartServer(const std::string& bytes, bool ends) {
    AddRawServer(ServerStage::kDecode, [this, bytes, ends](const RawRequest&) {
      if (ends) {
        ReplaceServer();
      }
      return RawAnswer{bytes, RawAnswer::End::kClose};
    });
    StartRaw(RequestKind::kStreaming, false, 1);
  }

  void ReplaceServer() {
    std::promise<void> replaced;
    boost::asio::post(io_, [this, &replaced] {
      ServerSnapshot snapshot = snapshot_;
      snapshot.servers["raw-0"].start_time_ms = 1;
      context_.servers = std::make_shared<ServerSnapshot>(snapshot);
      replaced.set_value();
    });
    replaced.get_future().wait();
  }

  // The number of ends recorded for the part, once checks had time to end.
  size_t RecordedEnds() {
    std::this_thread::sleep_for(Millis(150));
    std::promise<size_t> ends;
    boost::asio::post(io_, [this, &ends] {
      size_t count = 0;
      for (const auto& record :
           context_.quarantine.Records(SteadyClock::now())) {
        count += record.part == "shared" ? record.ends.size() : 0;
      }
      ends.set_value(count);
    });
    return ends.get_future().get();
  }

  // Four servers ended as soon as they got different prompts with the parts
  // "shared" and "deadly", a few seconds ago.
  void RecordPastEnds() {
    OnGateway([this] {
      TimePoint now = SteadyClock::now();
      for (int i = 0; i < 4; ++i) {
        std::string number = std::to_string(i);
        context_.quarantine.RecordServerEnd(
            "ended/" + number,
            PromptParts{{"shared", "deadly"}, "own-" + number},
            Duration::zero(), now - Seconds(3) + i * Millis(500));
      }
    });
  }

  // Whether prompts with `part` are kept from servers.
  bool IsQuarantined(const PromptPartId& part) {
    bool found = false;
    OnGateway([this, &part, &found] {
      TimePoint now = SteadyClock::now();
      context_.quarantine.Decide(now);
      PromptParts prompt{{part}, "another"};
      found = context_.quarantine.Find(prompt, now).has_value();
    });
    return found;
  }

  void OnGateway(const std::function<void()>& action) {
    std::promise<void> done;
    boost::asio::post(io_, [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  ReceivedResponse Ask() {
    return Receive("X-Mangoyoke-Prompt-Prefix: shared:800,own:100\r\n");
  }
};

TEST_F(CrashEvidenceTest, BrokenStreamOfAServerThatEndedIsEvidence) {
  StartServer(StreamHead("Transfer-Encoding: chunked\r\n"), true);
  Ask();
  EXPECT_EQ(RecordedEnds(), 1U);
}

TEST_F(CrashEvidenceTest, BrokenStreamOfAServerThatLivesIsNone) {
  StartServer(StreamHead("Transfer-Encoding: chunked\r\n"), false);
  Ask();
  EXPECT_EQ(RecordedEnds(), 0U);
}

// It looks like a whole one and would acquit the part.
TEST_F(CrashEvidenceTest, UnframedStreamThatEndsWithItsServerIsEvidence) {
  StartServer(StreamHead("") + kEvents, true);
  EXPECT_EQ(Ask().body, kEvents);
  EXPECT_EQ(RecordedEnds(), 1U);
}

TEST_F(CrashEvidenceTest, UnframedStreamOfAServerThatLivesIsNone) {
  StartServer(StreamHead("") + kEvents, false);
  EXPECT_EQ(Ask().body, kEvents);
  EXPECT_EQ(RecordedEnds(), 0U);
}

// Streams of this form acquitted no part, so that the one that all
// prompts of a route have was quarantined with the deadly one.
TEST_F(CrashEvidenceTest, WholeUnframedStreamAcquitsItsParts) {
  StartServer(StreamHead("") + kEvents, false);
  RecordPastEnds();
  EXPECT_EQ(RecordedEnds(), 4U);
  EXPECT_EQ(Ask().body, kEvents);
  EXPECT_EQ(RecordedEnds(), 0U);
}

// Where all streams have this form none counted as served, and without
// served requests no part is blamed.
TEST_F(CrashEvidenceTest, WholeUnframedStreamsShowThatAnotherPartIsDeadly) {
  StartServer(StreamHead("") + kEvents, false);
  RecordPastEnds();
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(Ask().body, kEvents);
  }
  EXPECT_TRUE(IsQuarantined("deadly"));
  EXPECT_FALSE(IsQuarantined("shared"));
}

}  // namespace
}  // namespace mangoyoke
