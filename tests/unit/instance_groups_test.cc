// Tests of how the instances of a deployment are divided: which of them callers
// are told to use, which exchange load reports, and which read the store.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "gateway/core/instance_list.h"
#include "gateway/core/report_group.h"
#include "gateway/core/store_reader_role.h"

namespace mangoyoke {
namespace {

MemberRecord MakeMember(const std::string& id,
                        const ZoneId& zone,
                        const std::string& region = "r") {
  MemberRecord member;
  member.id = id;
  member.zone = zone;
  member.region = region;
  member.peer_address = id + ":1";
  member.caller_address = id + ":2";
  return member;
}

// `count` members of each of the zones "a", "b" ...
std::vector<MemberRecord> MakeZones(int zones, int count) {
  std::vector<MemberRecord> members;
  for (int zone = 0; zone < zones; ++zone) {
    ZoneId name(1, static_cast<char>('a' + zone));
    for (int i = 0; i < count; ++i) {
      members.push_back(MakeMember(name + std::to_string(i), name));
    }
  }
  return members;
}

class InstanceListTest : public ::testing::Test {
 protected:
  std::vector<std::string> Choose(const std::vector<MemberRecord>& members,
                                  const ZoneId& zone) {
    return ChooseInstances(members, CallerLocation{"r", zone},
                           InstanceListOptions{}, random_);
  }
  static int64_t InZone(const std::vector<std::string>& list, char zone) {
    return std::count_if(
        list.begin(), list.end(),
        [zone](const std::string& address) { return address.front() == zone; });
  }

  std::mt19937_64 random_{1};
};

TEST_F(InstanceListTest, CallersGetTheirOwnZoneAndOneSpareOfAnother) {
  std::vector<std::string> list = Choose(MakeZones(3, 3), "b");
  EXPECT_EQ(list.size(), 4U);
  EXPECT_EQ(InZone(list, 'b'), 3);
  list = Choose(MakeZones(5, 59), "c");
  EXPECT_EQ(list.size(), 60U);
  EXPECT_EQ(InZone(list, 'c'), 59);
}

TEST_F(InstanceListTest, SmallZoneIsFilledUpWithOthers) {
  std::vector<MemberRecord> members = MakeZones(3, 3);
  members.erase(members.begin(), members.begin() + 2);  // One is left in "a".
  std::vector<std::string> list = Choose(members, "a");
  EXPECT_EQ(list.size(), 4U);
  EXPECT_EQ(InZone(list, 'a'), 1);
}

TEST_F(InstanceListTest, EmptyZoneAndUnknownZoneGetAllOthers) {
  EXPECT_EQ(Choose(MakeZones(3, 3), "x").size(), 9U);
  EXPECT_EQ(Choose(MakeZones(3, 3), "").size(), 9U);
  EXPECT_EQ(Choose(MakeZones(5, 59), "x").size(), 64U);
  EXPECT_TRUE(Choose({}, "a").empty());
}

TEST_F(InstanceListTest, OwnRegionGoesBeforeOthers) {
  std::vector<MemberRecord> members = MakeZones(1, 2);
  members.push_back(MakeMember("f0", "f", "far"));
  members.push_back(MakeMember("b0", "b"));
  members.push_back(MakeMember("b1", "b"));
  std::vector<std::string> list = Choose(members, "a");
  EXPECT_EQ(InZone(list, 'b'), 2);
  EXPECT_EQ(InZone(list, 'f'), 0);
}

TEST_F(InstanceListTest, OnlyInstancesThatAcceptCallersAreListed) {
  std::vector<MemberRecord> members = MakeZones(1, 6);
  members[0].leaving = true;
  members[1].state = MemberState::kSuspect;
  members[2].state = MemberState::kDead;
  members[3].caller_address.clear();
  EXPECT_EQ(Choose(members, "a").size(), 2U);
}

TEST_F(InstanceListTest, ZoneLargerThanAListIsUsedAsAWhole) {
  std::vector<MemberRecord> members = MakeZones(2, 200);
  std::map<std::string, int> listed;
  for (int answer = 0; answer < 100; ++answer) {
    std::vector<std::string> list = Choose(members, "a");
    EXPECT_EQ(list.size(), 64U);
    EXPECT_EQ(InZone(list, 'b'), 1);
    for (const std::string& address : list) {
      ++listed[address];
    }
  }
  int64_t own = std::count_if(listed.begin(), listed.end(), [](auto& entry) {
    return entry.first.front() == 'a';
  });
  EXPECT_EQ(own, 200);
}

TEST(ReportGroupTest, SmallDeploymentIsOneCell) {
  std::vector<MemberRecord> members = MakeZones(3, 8);
  ReportGroup group = ChooseReportGroup(members[0], members);
  EXPECT_EQ(group.cell_peers.size(), 23U);
  EXPECT_TRUE(group.zone_peers.empty());
  EXPECT_TRUE(group.remote_peers.empty());
  EXPECT_EQ(group.instance_count(), 24U);
}

TEST(ReportGroupTest, LargeDeploymentIsDividedByZoneAndHash) {
  std::vector<MemberRecord> members = MakeZones(5, 59);
  std::map<std::string, std::set<InstanceId>> cells;
  for (const MemberRecord& self : members) {
    ReportGroup group = ChooseReportGroup(self, members);
    EXPECT_EQ(group.instance_count(), members.size());
    EXPECT_EQ(group.remote_peers.size(), 4 * 59U);
    EXPECT_EQ(group.cell_peers.size() + group.zone_peers.size(), 58U);
    EXPECT_LE(group.cell_peers.size(), kMaxCellInstances);
    std::set<InstanceId> ids{self.id};
    for (const MemberRecord& peer : group.cell_peers) {
      EXPECT_EQ(peer.zone, self.zone);
      ids.insert(peer.id);
    }
    // All of a cell agree on it.
    auto [cell, inserted] = cells.try_emplace(group.cell, ids);
    EXPECT_EQ(cell->second, ids);
  }
}

TEST(ReportGroupTest, GrowingZoneSplitsCellsAndMovesNobodyElse) {
  std::vector<MemberRecord> members = MakeZones(1, 48);  // Two cells.
  std::map<InstanceId, std::string> before;
  for (const MemberRecord& self : members) {
    before[self.id] = ChooseReportGroup(self, members).cell;
  }
  std::vector<MemberRecord> grown = MakeZones(1, 90);  // Four cells.
  std::map<std::string, std::set<std::string>> origins;
  for (const MemberRecord& self : members) {
    origins[ChooseReportGroup(self, grown).cell].insert(before[self.id]);
  }
  for (const auto& [cell, cells_before] : origins) {
    EXPECT_EQ(cells_before.size(), 1U) << cell;
  }
}

TEST(ReportGroupTest, DeadInstancesAreInNoCell) {
  std::vector<MemberRecord> members = MakeZones(1, 4);
  members[1].state = MemberState::kDead;
  EXPECT_EQ(ChooseReportGroup(members[0], members).cell_peers.size(), 2U);
}

TEST(StoreReadersTest, FewInstancesOfEachZoneReadTheStore) {
  std::vector<MemberRecord> members = MakeZones(5, 59);
  for (const ZoneId& zone : {"a", "e"}) {
    std::vector<MemberRecord> readers = ChooseStoreReaders(zone, members);
    ASSERT_EQ(readers.size(), kReadersPerZone);
    for (const MemberRecord& reader : readers) {
      EXPECT_EQ(reader.zone, zone);
    }
  }
  // One that fails or leaves is replaced, the other one stays.
  std::vector<MemberRecord> before = ChooseStoreReaders("b", members);
  for (MemberRecord& member : members) {
    if (member.id == before[0].id) {
      member.state = MemberState::kSuspect;
    }
  }
  std::vector<MemberRecord> after = ChooseStoreReaders("b", members);
  EXPECT_EQ(after.size(), kReadersPerZone);
  EXPECT_EQ(after[0].id, before[1].id);
}

}  // namespace
}  // namespace mangoyoke
