// Configurations with values that are out of range, and with bytes that cannot
// be read.

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "platform/store_codec.h"

namespace mangoyoke::platform {
namespace {

using Json = nlohmann::json;

const char kConfig[] =
    R"({"Version":7,"Routes":[{"Name":"r","Host":"h","Prefix":"/p/",)"
    R"("Kind":"streaming","TimeoutMs":14000,"TargetLatencyMs":900,)"
    R"("Priority":1,"MaxAttempts":2,"Resumable":true,"TargetGapMs":300,)"
    R"("TrafficSplit":[{"Service":"s","Weight":90}]}],)"
    R"("Services":[{"Name":"s","MaxConnections":370,"Engine":{"Slots":64,)"
    R"("KvTokens":39418,"Stride":16,"KvTtlS":0.5,"SwitchS":6.0,)"
    R"("HoldMs":2000.0}}],"Limits":{"MaxHeaderBytes":16384,)"
    R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

std::string Nested(size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

// `json` with the value at `pointer` replaced by the text `value`.
std::string Replaced(const char* json,
                     const std::string& pointer,
                     const std::string& value) {
  constexpr char kMark[] = "mark";
  Json changed = Json::parse(json);
  changed[Json::json_pointer(pointer)] = kMark;
  std::string text = changed.dump();
  std::string mark = std::string("\"") + kMark + "\"";
  return text.replace(text.find(mark), mark.size(), value);
}

bool IsConfig(const std::string& value) {
  return Ok(PlatformStoreCodec().DecodeConfig(StoreRow{"config", value}));
}

TEST(OddConfigsTest, NumberOutOfRangeWrapsAroundInAConfiguration) {
  ASSERT_TRUE(IsConfig(kConfig));
  for (const char* pointer :
       {"/Version", "/Routes/0/TimeoutMs", "/Routes/0/TargetLatencyMs",
        "/Routes/0/TargetGapMs", "/Routes/0/Priority", "/Routes/0/MaxAttempts",
        "/Routes/0/TrafficSplit/0/Weight", "/Services/0/MaxConnections",
        "/Services/0/Engine/Slots", "/Services/0/Engine/KvTokens",
        "/Services/0/Engine/Stride", "/Services/0/Engine/KvTtlS",
        "/Services/0/Engine/SwitchS", "/Services/0/Engine/HoldMs",
        "/Limits/MaxHeaderBytes", "/Limits/MaxBodyBytes",
        "/Limits/HeaderTimeoutMs", "/Limits/IdleTimeoutMs"}) {
    for (const char* number :
         {"-1", "-9223372036854775808", "9223372036854775808",
          "18446744073709551615", "1e300", "-1e300", "1e999", "true", "\"4\"",
          "null", "[]"}) {
      EXPECT_FALSE(IsConfig(Replaced(kConfig, pointer, number)))
          << pointer << " " << number;
    }
  }
  for (const char* pointer : {"/Routes/0/Priority", "/Routes/0/MaxAttempts",
                              "/Services/0/MaxConnections"}) {
    EXPECT_FALSE(IsConfig(Replaced(kConfig, pointer, "2147483648"))) << pointer;
  }
  for (const char* pointer :
       {"/Routes/0/TrafficSplit/0/Weight", "/Limits/MaxHeaderBytes"}) {
    EXPECT_FALSE(IsConfig(Replaced(kConfig, pointer, "4294967296"))) << pointer;
  }
}

// A limit of 0 would end all of the callers' connections.
TEST(OddConfigsTest, LimitThatLetsNothingThroughIsTaken) {
  for (const char* pointer :
       {"/Routes/0/TimeoutMs", "/Limits/MaxHeaderBytes",
        "/Limits/HeaderTimeoutMs", "/Limits/IdleTimeoutMs"}) {
    EXPECT_FALSE(IsConfig(Replaced(kConfig, pointer, "0"))) << pointer;
  }
}

TEST(OddConfigsTest, ConfigurationWithoutListsRemovesAllRoutes) {
  for (const char* pointer : {"/Routes", "/Services"}) {
    for (const char* value : {"null", "{}", "\"\"", "7"}) {
      EXPECT_FALSE(IsConfig(Replaced(kConfig, pointer, value)))
          << pointer << " " << value;
    }
  }
  EXPECT_FALSE(IsConfig(Replaced(kConfig, "/Limits", "7")));
  EXPECT_FALSE(IsConfig(Replaced(kConfig, "/Routes/0/TrafficSplit", "null")));
}

// On threads like those of the event loops.
TEST(OddConfigsTest, DeepNestingInAConfigurationEndsTheProcess) {
  constexpr size_t kLevels = 200'000;
  std::thread([] {
    std::string nested = Nested(kLevels);
    EXPECT_FALSE(IsConfig(nested));
    for (const char* pointer :
         {"/Version", "/Routes", "/Routes/0", "/Routes/0/Name",
          "/Routes/0/TrafficSplit", "/Services", "/Services/0", "/Limits",
          "/Limits/MaxHeaderBytes"}) {
      EXPECT_FALSE(IsConfig(Replaced(kConfig, pointer, nested))) << pointer;
    }
  }).join();
}

TEST(OddConfigsTest, DeepNestingInTheLimitsEndsTheProcess) {
  constexpr size_t kLevels = 200'000;
  std::string limits =
      "{\"MaxHeaderBytes\":1,\"Other\":" + Nested(kLevels) + "}";
  std::string config = Replaced(kConfig, "/Limits", limits);
  bool decoded = false;
  std::thread([&] { decoded = IsConfig(config); }).join();
  EXPECT_TRUE(decoded);
}

}  // namespace
}  // namespace mangoyoke::platform
