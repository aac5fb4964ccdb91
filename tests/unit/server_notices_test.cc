// Tests of what servers say of themselves: the notices, their effect on
// placement, and the decoding of responses.

#include "gateway/core/server_notices.h"

#include <gtest/gtest.h>

#include <limits>
#include <random>

#include "gateway/core/placement.h"
#include "platform/http_codec.h"
#include "platform/wire_names.h"

namespace mangoyoke {
namespace {

const TimePoint kStart = TimePoint() + Seconds(1000);

BackendServer Server(const BackendId& id, int64_t start_time_ms = 1) {
  BackendServer server;
  server.id = id;
  server.start_time_ms = start_time_ms;
  server.service = "s";
  server.zone = "z";
  return server;
}

BackendResponse Draining() {
  BackendResponse response;
  response.status = 200;
  response.draining = true;
  return response;
}

BackendResponse Paused(Duration pause) {
  BackendResponse response;
  response.status = 503;
  response.not_executed = true;
  response.pause = pause;
  return response;
}

ServerSnapshot SnapshotOf(const std::vector<BackendServer>& servers) {
  ServerSnapshot snapshot;
  for (const BackendServer& server : servers) {
    snapshot.servers[server.id] = server;
  }
  return snapshot;
}

TEST(ServerNoticesTest, DrainingEndsWithTheIncarnation) {
  ServerNotices notices;
  notices.RecordResponse(Server("a", 1), Draining(), "r", kStart);
  EXPECT_EQ(notices.StateOf(Server("a", 1), kStart + Seconds(600)),
            WorkState::kDraining);
  EXPECT_EQ(notices.StateOf(Server("a", 2), kStart), WorkState::kAccepting);
  EXPECT_EQ(notices.StateOf(Server("b", 1), kStart), WorkState::kAccepting);
}

TEST(ServerNoticesTest, LateResponseOfAFormerIncarnationChangesNothing) {
  ServerNotices notices;
  notices.RecordResponse(Server("a", 2), Paused(Seconds(1)), "r", kStart);
  notices.RecordResponse(Server("a", 1), Draining(), "r", kStart);
  EXPECT_EQ(notices.StateOf(Server("a", 2), kStart), WorkState::kPaused);
  EXPECT_EQ(notices.StateOf(Server("a", 2), kStart + Seconds(1)),
            WorkState::kAccepting);
}

// A row may lapse with the store and come back as it was, or an older view of
// the registry may name the server as ready again.
TEST(ServerNoticesTest, RowThatComesBackDoesNotUndoDraining) {
  ServerNotices notices;
  notices.RecordResponse(Server("a"), Draining(), "r", kStart);
  notices.KeepOnly(SnapshotOf({Server("b")}), kStart + Seconds(10));
  notices.KeepOnly(SnapshotOf({Server("a")}), kStart + Seconds(20));
  EXPECT_EQ(notices.StateOf(Server("a"), kStart + Seconds(20)),
            WorkState::kDraining);
}

TEST(ServerNoticesTest, NoticesOfServersThatAreGoneAreDeletedInTheEnd) {
  ServerNotices notices;
  notices.RecordResponse(Server("a"), Draining(), "r", kStart);
  notices.KeepOnly(SnapshotOf({}), kStart + Seconds(120));
  EXPECT_EQ(notices.StateOf(Server("a"), kStart + Seconds(120)),
            WorkState::kAccepting);
}

TEST(ServerNoticesTest, PauseIsNotShortenedAndEndsByItself) {
  ServerNotices notices;
  notices.RecordResponse(Server("a"), Paused(Seconds(3)), "r", kStart);
  notices.RecordResponse(Server("a"), Paused(Seconds(1)), "r", kStart);
  EXPECT_EQ(notices.PausedUntil(Server("a"), kStart), kStart + Seconds(3));
  EXPECT_EQ(notices.StateOf(Server("a"), kStart + Millis(2999)),
            WorkState::kPaused);
  EXPECT_EQ(notices.StateOf(Server("a"), kStart + Seconds(3)),
            WorkState::kAccepting);
  EXPECT_EQ(notices.StateOf(Server("a", 2), kStart), WorkState::kAccepting);
}

TEST(ServerNoticesTest, OneResponseCannotPauseAServerForGood) {
  ServerNotices notices;
  notices.RecordResponse(Server("a"), Paused(Seconds(1'000'000)), "r", kStart);
  EXPECT_EQ(notices.StateOf(Server("a"), kStart + ServerNotices::kMaxPause),
            WorkState::kAccepting);
}

class NoticePlacementTest : public ::testing::Test {
 protected:
  NoticePlacementTest()
      : snapshot_(SnapshotOf({Server("a"), Server("b"), Server("c")})),
        load_(ReportTtls{}),
        placement_([] { return 0.0; }) {}

  PlacementChoice Choose(TimePoint now) {
    PlacementQuery query;
    query.service = "s";
    return placement_.Choose(
        query, PlacementContext{snapshot_, load_, health_, notices_, nullptr,
                                1.0 / 30, now});
  }

  ServerSnapshot snapshot_;
  ServerLoad load_;
  ServerHealth health_;
  ServerNotices notices_;
  LeastTimePlacement placement_;
};

TEST_F(NoticePlacementTest, ServersThatWantNoWorkGetNoneEvenIfAllDo) {
  notices_.RecordResponse(Server("a"), Draining(), "r", kStart);
  notices_.RecordResponse(Server("b"), Paused(Seconds(4)), "r", kStart);
  ASSERT_NE(Choose(kStart).server, nullptr);
  EXPECT_EQ(Choose(kStart).server->id, "c");
  notices_.RecordResponse(Server("c"), Paused(Seconds(2)), "r", kStart);
  PlacementChoice none = Choose(kStart);
  EXPECT_EQ(none.server, nullptr);
  EXPECT_EQ(none.draining_servers, 1);
  EXPECT_EQ(none.paused_servers, 2);
  EXPECT_EQ(none.pause_ends, kStart + Seconds(2));
  ASSERT_NE(Choose(kStart + Seconds(2)).server, nullptr);
  EXPECT_EQ(Choose(kStart + Seconds(2)).server->id, "c");
}

// Repeated rejections make a server avoided for seconds; the time that it names
// is shorter.
TEST_F(NoticePlacementTest, TimeThatAServerNamesReplacesAnInferredOne) {
  TimePoint now = kStart;
  for (int i = 0; i < 10; ++i) {
    health_.RecordOutcome(Server("a"), ServerOutcome::kRejected, 0, now);
    now += Millis(60);
  }
  health_.RecordOutcome(Server("a"), ServerOutcome::kPaused, 0, now);
  EXPECT_TRUE(health_.Usable(Server("a"), now));
}

BackendResponse Decode(http::status status,
                       const std::string& name,
                       const std::string& value) {
  HttpResponse response(status, 11);
  response.set(name, value);
  return platform::PlatformBackendCodec().DecodeResponse(response);
}

TEST(ServerNoticeCodecTest, EveryStatusCanSayThatTheServerDrains) {
  for (http::status status :
       {http::status::ok, http::status::misdirected_request,
        http::status::service_unavailable, http::status::not_found}) {
    EXPECT_TRUE(Decode(status, platform::kDrainingHeader, "1").draining);
  }
  EXPECT_FALSE(
      Decode(http::status::ok, platform::kDrainingHeader, "0").draining);
  EXPECT_FALSE(Decode(http::status::ok, "X-Other", "1").draining);
}

TEST(ServerNoticeCodecTest, RetryAfterIsANumberOfSeconds) {
  auto pause = [](const std::string& value) {
    return Decode(http::status::service_unavailable, "Retry-After", value)
        .pause;
  };
  EXPECT_EQ(pause("2"), Duration(Seconds(2)));
  EXPECT_EQ(pause("0.25"), Duration(Millis(250)));
  EXPECT_EQ(pause("0"), Duration::zero());
  EXPECT_GE(pause("99999999999999999999999"), Duration(Seconds(1'000'000)));
  for (const std::string value : {"", "-1", "1e3", "nan", "inf", "2s", " ",
                                  "0x10", "Fri, 04 Dec 2026 22:00:00 GMT"}) {
    BackendResponse response =
        Decode(http::status::service_unavailable, "Retry-After", value);
    EXPECT_FALSE(response.pause) << value;
    EXPECT_TRUE(response.malformed_pause) << value;
  }
}

TEST(ServerNoticeCodecTest, OnlyARejectionPausesAServer) {
  for (http::status status : {http::status::ok, http::status::too_many_requests,
                              http::status::internal_server_error}) {
    EXPECT_FALSE(Decode(status, "Retry-After", "5").pause);
  }
}

TEST(ServerNoticeCodecTest, RandomBytesGiveABoundedPauseOrNone) {
  std::mt19937 random(26);
  std::uniform_int_distribution<int> length(0, 24);
  std::uniform_int_distribution<int> byte(0x20, 0x7e);
  const std::string digits = "0123456789.-+e";
  for (int i = 0; i < 20'000; ++i) {
    std::string value(static_cast<size_t>(length(random)), ' ');
    for (char& c : value) {
      int drawn = byte(random);
      c = i % 2 == 0 ? static_cast<char>(drawn)
                     : digits[static_cast<size_t>(drawn) % digits.size()];
    }
    BackendResponse response =
        Decode(http::status::service_unavailable, "Retry-After", value);
    EXPECT_NE(response.pause.has_value(), response.malformed_pause) << value;
    if (response.pause) {
      EXPECT_GE(*response.pause, Duration::zero()) << value;
      EXPECT_LE(*response.pause, Duration(Seconds(1'000'001))) << value;
    }
  }
}

}  // namespace
}  // namespace mangoyoke
