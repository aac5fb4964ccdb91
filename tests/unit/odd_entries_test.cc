// Entries of the registry with values that are out of range, and with bytes
// that cannot be read.

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "platform/store_codec.h"

namespace mangoyoke::platform {
namespace {

using Json = nlohmann::json;

const char kServer[] =
    R"({"Service":"s","Address":"10.1.0.9:8080","Zone":"z","Version":"v1",)"
    R"("Slots":64,"State":"ready","ColdRemainingMs":0,"Stage":"decode",)"
    R"("Models":[],"Seq":4,"born":17})";

// Numbers that wrap around in a narrower type, or overflow a time.
const char* const kHugeNumbers[] = {"-1",
                                    "-3",
                                    "2147483649",
                                    "5000000000",
                                    "9223372036854775807",
                                    "9223372036854775808",
                                    "18446744073709551615",
                                    "-9223372036854775808",
                                    "1e300",
                                    "-1e300"};

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

std::string Nested(size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

bool IsServer(const std::string& id, const std::string& value) {
  return PlatformStoreCodec().DecodeServer(StoreRow{id, value}).has_value();
}

TEST(OddEntriesTest, NumberOutOfRangeWrapsAroundInAServer) {
  ASSERT_TRUE(IsServer("i-1", kServer));
  for (const char* name : {"Slots", "Seq", "born"}) {
    for (const char* number :
         {"-1", "-9223372036854775808", "9223372036854775808",
          "18446744073709551615", "1e300", "1e999", "true", "\"4\"", "null"}) {
      EXPECT_FALSE(
          IsServer("i-1", Replaced(kServer, std::string("/") + name, number)))
          << name << " " << number;
    }
  }
  for (const char* number : kHugeNumbers) {
    EXPECT_FALSE(IsServer("i-1", Replaced(kServer, "/Slots", number)))
        << number;
  }
  EXPECT_FALSE(IsServer("i-1", Replaced(kServer, "/Slots", "0")));
  EXPECT_FALSE(IsServer("i-1", Replaced(kServer, "/ColdRemainingMs", "1e300")));
  EXPECT_FALSE(IsServer("i-1", Replaced(kServer, "/ColdRemainingMs", "true")));
}

TEST(OddEntriesTest, SoundNumbersAreTurnedDown) {
  EXPECT_TRUE(IsServer("i-1", Replaced(kServer, "/Seq", "9007199254740991")));
  EXPECT_TRUE(IsServer("i-1", Replaced(kServer, "/born", "1764916800000")));
  EXPECT_TRUE(IsServer("i-1", Replaced(kServer, "/Slots", "100000")));
  EXPECT_TRUE(IsServer("i-1", Replaced(kServer, "/ColdRemainingMs", "1200.5")));
  EXPECT_TRUE(IsServer("i-1", Replaced(kServer, "/Models", Nested(1000))));
}

// Addresses and ids are sent to other servers in header fields.
TEST(OddEntriesTest, AddressOfNoServerIsUsed) {
  for (const char* address :
       {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:+80",
        "10.0.0.1:4294967376", "10.0.0.1: 80", "10.0.0.1", ":80", "0.0.0.0:80",
        "255.255.255.255:80", "224.0.0.1:80", "10.0.0.256:80", "10.0.0.1:080",
        "10.0.0.1\\u0000:80", "10.0.0.1\\u0000\\r\\nX: y:80"}) {
    EXPECT_FALSE(IsServer("i-1", Replaced(kServer, "/Address",
                                          "\"" + std::string(address) + "\"")))
        << address;
  }
}

TEST(OddEntriesTest, IdThatIsNoHeaderTextIsUsed) {
  for (const std::string& id :
       {std::string(), std::string("a\r\nX: y"), std::string("a b"),
        std::string("a\0b", 3), std::string("a\x7f")}) {
    EXPECT_FALSE(IsServer(id, kServer)) << id;
  }
}

// More than a row can hold, on threads like those of the event loops.
TEST(OddEntriesTest, DeepNestingEndsTheProcess) {
  constexpr size_t kLevels = 200'000;
  std::thread([] {
    std::string nested = Nested(kLevels);
    std::string open(kLevels, '[');
    EXPECT_FALSE(IsServer("i-1", nested));
    EXPECT_FALSE(IsServer("i-1", open));
    for (const char* pointer : {"/Service", "/Slots", "/State", "/Stage",
                                "/Address", "/born", "/ColdRemainingMs"}) {
      EXPECT_FALSE(IsServer("i-1", Replaced(kServer, pointer, nested)))
          << pointer;
    }
  }).join();
}

}  // namespace
}  // namespace mangoyoke::platform
