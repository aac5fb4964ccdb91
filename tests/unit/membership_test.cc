// Tests of Membership: precedence of records, refutation, failure detection,
// probe targets.

#include "mangoyoke/membership.h"

#include <gtest/gtest.h>

#include <set>

namespace mangoyoke {
namespace {

MemberRecord Record(const std::string& id, const ZoneId& zone = "a") {
  MemberRecord record;
  record.id = id;
  record.incarnation = 1;
  record.zone = zone;
  record.peer_address = id + ":1";
  return record;
}

TimePoint At(int millis) {
  return TimePoint(Millis(1'000'000 + millis));
}

TEST(MembershipTest, NewerIncarnationAndEpochWin) {
  Membership membership(Record("me"), {});
  MemberRecord other = Record("other");
  EXPECT_EQ(membership.Merge({other}, At(0)).size(), 1U);
  other.state = MemberState::kDead;
  EXPECT_EQ(membership.Merge({other}, At(1)).size(), 1U);
  other.state = MemberState::kAlive;
  EXPECT_TRUE(membership.Merge({other}, At(2)).empty());
  other.epoch = 1;
  EXPECT_EQ(membership.Merge({other}, At(3)).size(), 1U);
  EXPECT_EQ(membership.Find("other")->state, MemberState::kAlive);
  other.epoch = 0;
  other.incarnation = 2;
  EXPECT_EQ(membership.Merge({other}, At(4)).size(), 1U);
}

TEST(MembershipTest, RefutesSuspicionAndKeepsLeaving) {
  Membership membership(Record("me"), {});
  membership.Leave();
  MemberRecord claim = membership.self();
  claim.state = MemberState::kSuspect;
  membership.Merge({claim}, At(0));
  EXPECT_GT(membership.self().epoch, claim.epoch);
  EXPECT_TRUE(membership.self().leaving);
  EXPECT_FALSE(membership.ConsumeDeclaredDead());
  claim = membership.self();
  claim.state = MemberState::kDead;
  membership.Merge({claim}, At(1));
  EXPECT_TRUE(membership.ConsumeDeclaredDead());
}

TEST(MembershipTest, SuspectBeforeDead) {
  MembershipOptions options;
  Membership membership(Record("me"), options);
  membership.Merge({Record("other")}, At(0));
  membership.RecordProbeFailure("other", At(500));
  EXPECT_EQ(membership.Find("other")->state, MemberState::kAlive);
  membership.RecordProbeFailure("other", At(1000));
  EXPECT_EQ(membership.Find("other")->state, MemberState::kSuspect);
  EXPECT_TRUE(membership.Tick(At(1500)).empty());
  EXPECT_EQ(membership.Tick(At(1750)), std::vector<InstanceId>{"other"});
  EXPECT_FALSE(membership.Find("other")->Usable());
}

TEST(MembershipTest, SuspicionAloneKillsNobodyWhoAnswers) {
  Membership membership(Record("me"), {});
  membership.Merge({Record("other")}, At(0));
  membership.RecordProbeFailure("other", At(1000));
  MemberRecord refuted = Record("other");
  refuted.epoch = 1;
  membership.Merge({refuted}, At(1100));
  EXPECT_TRUE(membership.Tick(At(5000)).empty());
}

// Each instance is probed by three others of its zone, and the number of probe
// targets is bounded by the fanout and the number of zones, not by the
// instances.
TEST(MembershipTest, ProbesCoverEveryoneAtTheTargetsSize) {
  constexpr int kInstances = 380;
  constexpr int kZones = 23;
  std::vector<MemberRecord> all;
  for (int i = 0; i < kInstances; ++i) {
    all.push_back(
        Record("i" + std::to_string(i), "z" + std::to_string(i % kZones)));
  }
  std::map<InstanceId, int> probed_in_zone;
  size_t max_targets = 0;
  for (const MemberRecord& self : all) {
    Membership membership(self, {});
    membership.Merge(all, At(0));
    auto targets = membership.ProbeTargets();
    max_targets = std::max(max_targets, targets.size());
    for (const InstanceId& target : targets) {
      if (membership.Find(target)->zone == self.zone) {
        ++probed_in_zone[target];
      }
    }
  }
  EXPECT_EQ(probed_in_zone.size(), static_cast<size_t>(kInstances));
  for (const auto& [id, count] : probed_in_zone) {
    EXPECT_EQ(count, 3) << id;
  }
  EXPECT_LE(max_targets, 3U + kZones);
}

TEST(MembershipTest, ChangesTravelInPieces) {
  Membership membership(Record("me"), {});
  for (int i = 0; i < 10; ++i) {
    membership.Merge({Record("i" + std::to_string(i))}, At(0));
  }
  std::set<InstanceId> seen;
  uint64_t version = 0;
  for (int round = 0; round < 5; ++round) {
    auto changes = membership.ChangesSince(version, 3);
    for (const MemberRecord& record : changes.records) {
      seen.insert(record.id);
    }
    version = changes.version;
  }
  EXPECT_EQ(seen.size(), 11U);
  EXPECT_TRUE(membership.ChangesSince(version, 3).records.empty());
}

// Guards against a restarted instance that its peers take for dead: after its
// wall clock jumped back, the new process has a lower incarnation than the
// record that they hold.
TEST(MembershipTest, RestartAfterTheClockJumpedBackIsSeen) {
  MemberRecord before;
  before.id = "b";
  before.incarnation = 5000;
  before.state = MemberState::kDead;
  MemberRecord self;
  self.id = "a";
  Membership other(self, MembershipOptions{});
  other.Merge({before}, TimePoint());
  MemberRecord restarted;
  restarted.id = "b";
  restarted.incarnation = 3000;
  restarted.caller_address = "127.0.0.1:1";
  Membership restarted_membership(restarted, MembershipOptions{});
  other.Merge({restarted_membership.self()}, TimePoint());
  // The first probe response brings the old record, which raises the
  // incarnation.
  restarted_membership.Merge(other.All(), TimePoint());
  other.Merge({restarted_membership.self()}, TimePoint());
  EXPECT_TRUE(other.Find("b")->AcceptsCallers());
}

}  // namespace
}  // namespace mangoyoke
