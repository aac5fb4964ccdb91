// Rows of the store that another writer left: each of them may be unreadable,
// and the other rows have to be followed all the same.

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "platform/store_codec.h"
#include "tests/support/serving_instance.h"

namespace mangoyoke {
namespace {

constexpr char kStoreAddress[] = "127.0.0.1:19400";
// What JSON parsers usually follow by recursion.
constexpr size_t kDeepNesting = 60'000;

std::string Nested(size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

std::string Page(const std::string& rows) {
  return "{\"Rows\":[" + rows + "],\"HasMore\":false,\"SchemaVersion\":9}";
}

std::string Row(const std::string& key, const std::string& more) {
  return "{\"Key\":\"" + key + "\"" + more + "}";
}

const std::string kSoundRow = Row("sound", ",\"Value\":\"aGVsbG8=\"");

// The value of `key` in a page of two sound rows and `row`; nothing if the
// sound rows are lost or the key is missing.
std::optional<StoreRow> DecodeAmongSoundRows(const std::string& row,
                                             const std::string& key) {
  auto decoded = platform::PlatformStoreCodec().DecodeRows(
      Page(kSoundRow + "," + row + "," + kSoundRow));
  if (!Ok(decoded)) {
    ADD_FAILURE() << "page lost: " << row.substr(0, 100);
    return std::nullopt;
  }
  std::optional<StoreRow> found;
  int sound_rows = 0;
  for (const StoreRow& decoded_row : std::get<StoreRows>(decoded).rows) {
    if (decoded_row.key == "sound") {
      EXPECT_EQ(decoded_row.value, "hello");
      ++sound_rows;
    }
    if (decoded_row.key == key) {
      found = decoded_row;
    }
  }
  EXPECT_EQ(sound_rows, 2) << row.substr(0, 100);
  return found;
}

// What stood under the key before must not stay in use, so the row is reported
// with a value that describes nothing.
TEST(OddRowsTest, RowThatCannotBeReadCostsThePage) {
  const std::string members[] = {
      "",
      ",\"Value\":\"not base64!\"",
      ",\"Value\":7",
      ",\"Value\":null",
      ",\"Value\":1e999",
      ",\"Value\":NaN",
      ",\"Value\":\"\\ud800\"",
      ",\"Value\":\"\xff\"",
      ",\"Value\":\"aGVsbG8=\",\"Removed\":\"yes\"",
      ",\"Value\":\"aGVsbG8=\",\"Removed\":1e999",
      ",\"Value\":" + Nested(kDeepNesting),
      ",\"Value\":\"aGVsbG8=\",\"Removed\":" + Nested(kDeepNesting)};
  for (const std::string& member : members) {
    auto row = DecodeAmongSoundRows(Row("odd", member), "odd");
    ASSERT_TRUE(row) << member.substr(0, 100);
    EXPECT_EQ(row->value, "") << member.substr(0, 100);
  }
}

TEST(OddRowsTest, MembersThatNobodyReadsCostThePage) {
  for (const std::string& value :
       {std::string("1e999"), std::string("-1e999"), std::string("NaN"),
        std::string("\"\\udc80\""), std::string("\"\xff\""),
        Nested(kDeepNesting), "{\"a\":" + Nested(kDeepNesting) + "}"}) {
    auto row = DecodeAmongSoundRows(
        Row("odd", ",\"Value\":\"aGVsbG8=\",\"Table\":" + value), "odd");
    ASSERT_TRUE(row) << value.substr(0, 100);
    EXPECT_EQ(row->value, "hello") << value.substr(0, 100);
  }
}

TEST(OddRowsTest, RowWithoutAReadableKeyCostsThePage) {
  for (const std::string& row :
       {std::string("7"), std::string("null"), std::string("1e999"),
        std::string("\"text\""), std::string("[]"), std::string("{}"),
        std::string("{\"Key\":7,\"Value\":\"aGVsbG8=\"}"),
        std::string("{\"Key\":\"\\ud800\",\"Value\":\"aGVsbG8=\"}"),
        std::string("{\"Key\":\"\xff\",\"Value\":\"aGVsbG8=\"}"),
        "{\"Key\":" + Nested(kDeepNesting) + "}", Nested(kDeepNesting)}) {
    EXPECT_FALSE(DecodeAmongSoundRows(row, "odd"));
  }
}

// What the store itself says of the page has to be right.
TEST(OddRowsTest, PageWithoutAVersionIsTaken) {
  platform::PlatformStoreCodec codec;
  for (const char* body :
       {"", "{}", "[]", "{\"Rows\":[]}", "{\"Rows\":[],\"SchemaVersion\":-1}",
        "{\"Rows\":[],\"SchemaVersion\":1e999}",
        "{\"Rows\":[],\"SchemaVersion\":\"1\"}",
        "{\"Rows\":{},\"SchemaVersion\":1}",
        "{\"Rows\":[,],\"SchemaVersion\":1}",
        "{\"Rows\":[{]},\"SchemaVersion\":1}",
        "{\"Rows\":[],\"SchemaVersion\":1",
        "{\"Rows\":[],\"SchemaVersion\":1}}",
        "{\"Rows\":[],\"SchemaVersion\":1,\"HasMore\":7}"}) {
    EXPECT_FALSE(Ok(codec.DecodeRows(body))) << body;
  }
}

// One instance alone, which reads the store.
class OddRowsFollowTest : public ::testing::Test {
 protected:
  OddRowsFollowTest()
      : endpoint_(io_, store_, kStoreAddress),
        client_(io_, kStoreAddress, metrics_),
        peers_(io_),
        state_(io_, settings_, codec_, client_, peers_, metrics_) {}

  bool Has(const BackendId& id) const {
    return state_.servers()->Find(id) != nullptr;
  }
  bool WaitUntil(const std::function<bool()>& done) {
    return RunUntil(io_, Seconds(3), done);
  }
  // Starts with the servers "a" and "z" and waits until they are known.
  void StartWithTwoServers() {
    PutConfig(store_, 1);
    PutServer(store_, "a");
    PutServer(store_, "z");
    state_.Start();
    ASSERT_TRUE(WaitUntil([this] { return Has("a") && Has("z"); }));
  }

  boost::asio::io_context io_{1};
  GatewaySettings settings_;
  Metrics metrics_;
  platform::PlatformStoreCodec codec_;
  FakeStore store_{io_};
  FakeStoreEndpoint endpoint_;
  StoreClient client_;
  PeerClient peers_;
  ServingState state_;
};

TEST_F(OddRowsFollowTest, ServersAreNeverReadBesideAnOddRow) {
  store_.PutRaw("servers", "b", Row("b", ",\"Value\":7"));
  store_.PutRaw("servers", "c", "1e999");
  StartWithTwoServers();
}

TEST_F(OddRowsFollowTest, ServerChangesAreNoLongerFollowedAfterAnOddRow) {
  StartWithTwoServers();
  store_.PutRaw("servers", "b", Row("b", ",\"Value\":7"));
  store_.Put("servers", "a", std::nullopt);
  EXPECT_TRUE(WaitUntil([this] { return !Has("a"); }));
  PutServer(store_, "c");
  EXPECT_TRUE(WaitUntil([this] { return Has("c"); }));
  EXPECT_TRUE(Has("z"));
}

TEST_F(OddRowsFollowTest, ServerStaysInUseAfterItsRowBecameOdd) {
  StartWithTwoServers();
  store_.PutRaw("servers", "a", Row("a", ",\"Value\":\"not base64!\""));
  EXPECT_TRUE(WaitUntil([this] { return !Has("a"); }));
  EXPECT_TRUE(Has("z"));
  PutServer(store_, "a");
  EXPECT_TRUE(WaitUntil([this] { return Has("a"); }));
}

// Which row was replaced cannot be told from the change.
TEST_F(OddRowsFollowTest, ServerStaysInUseAfterItsRowLostItsKey) {
  StartWithTwoServers();
  store_.PutRaw("servers", "a", "{\"Key\":\"\\ud800\"}");
  EXPECT_TRUE(WaitUntil([this] { return !Has("a"); }));
  EXPECT_TRUE(Has("z"));
}

// A row that is there did not expire.
TEST_F(OddRowsFollowTest, ServerWithAnOddRowIsKeptAsLapsedAfterAnOutage) {
  StartWithTwoServers();
  endpoint_.SetUnavailable(true);
  ASSERT_TRUE(WaitUntil([this] {
    return client_.reachability() == StoreReachability::kUnreachable;
  }));
  RunUntil(io_, Seconds(1), [] { return false; });
  store_.Put("servers", "a", "{}");
  PutServer(store_, "b");
  endpoint_.SetUnavailable(false);
  ASSERT_TRUE(WaitUntil([this] { return Has("b"); }));
  EXPECT_FALSE(Has("a"));
  EXPECT_TRUE(Has("z"));
}

TEST_F(OddRowsFollowTest, LapsedServerIsKeptAlthoughItsRowIsBackAndOdd) {
  StartWithTwoServers();
  endpoint_.SetUnavailable(true);
  ASSERT_TRUE(WaitUntil([this] {
    return client_.reachability() == StoreReachability::kUnreachable;
  }));
  RunUntil(io_, Seconds(1), [] { return false; });
  store_.Put("servers", "a", std::nullopt);
  PutServer(store_, "b");
  endpoint_.SetUnavailable(false);
  ASSERT_TRUE(WaitUntil([this] { return Has("b"); }));
  ASSERT_TRUE(Has("a"));
  store_.Put("servers", "a", "{}");
  PutServer(store_, "c");
  ASSERT_TRUE(WaitUntil([this] { return Has("c"); }));
  EXPECT_FALSE(Has("a"));
}

// They would exceed what a message between instances may hold.
TEST_F(OddRowsFollowTest, BytesOfOddRowsFillTheUpdatesOfFollowers) {
  constexpr size_t kRowBytes = 60'000;
  StartWithTwoServers();
  store_.Put("servers", "odd1", std::string(kRowBytes, '['));
  store_.Put("servers", "odd2", std::string(kRowBytes, '\xff'));
  PutServer(store_, "b");
  ASSERT_TRUE(WaitUntil([this] { return Has("b"); }));
  for (int known : {0, 1}) {
    std::vector<uint8_t> update;
    state_.HandlePoll(Json{{"w", 0}, {"g", known}},
                      [&update](Result<Json> response) {
                        update = Json::to_msgpack(std::get<Json>(response));
                      });
    EXPECT_GT(update.size(), 0U);
    EXPECT_LT(update.size(), kRowBytes);
  }
}

// The next page begins after the last key, which may be that of an odd row.
TEST_F(OddRowsFollowTest, PagesEndAtAnOddRow) {
  store_.SetPageRows(2);
  store_.PutRaw("servers", "b", Row("b", ",\"Value\":7"));
  PutServer(store_, "c");
  store_.PutRaw("servers", "d", "{\"Key\":7}");
  StartWithTwoServers();
  EXPECT_TRUE(Has("c"));
}

TEST_F(OddRowsFollowTest, ConfigurationIsNotFollowedBesideAnOddRow) {
  StartWithTwoServers();
  store_.PutRaw("op", "another", Row("another", ",\"Value\":7"));
  for (const std::string& row :
       {Row("config", ",\"Value\":7"), Row("config", ",\"Removed\":1e999"),
        std::string("[]")}) {
    store_.PutRaw("op", "config", row);
    RunUntil(io_, Millis(100), [] { return false; });
    ASSERT_TRUE(state_.config());
    Revision next = state_.config()->revision() + 1;
    PutConfig(store_, next);
    EXPECT_TRUE(WaitUntil([this, next] {
      return state_.config()->revision() == next;
    })) << row;
  }
}

// After that, no configuration would count as newer.
TEST_F(OddRowsFollowTest, ConfigurationWithAVersionBelowZeroIsTakenForEver) {
  StartWithTwoServers();
  for (const char* version : {"-1", "18446744073709551615", "1e300"}) {
    Revision active = state_.config()->revision();
    store_.Put("op", "config",
               std::string("{\"Version\":") + version +
                   ",\"Routes\":[],\"Services\":[]}");
    RunUntil(io_, Millis(200), [] { return false; });
    EXPECT_EQ(state_.config()->revision(), active) << version;
    PutConfig(store_, active + 1);
    EXPECT_TRUE(WaitUntil([this, active] {
      return state_.config()->revision() == active + 1;
    })) << version;
  }
}

}  // namespace
}  // namespace mangoyoke
