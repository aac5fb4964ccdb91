// Tests of SlotAllocator: capacity, queue order, early refusal, recovery after
// a change of allocator, stragglers.

#include "mangoyoke/slot_allocator.h"

#include <gtest/gtest.h>

namespace mangoyoke {
namespace {

TimePoint At(int millis) {
  return TimePoint(Millis(1'000'000 + millis));
}

class SlotAllocatorTest : public ::testing::Test {
 protected:
  SlotAllocatorTest() {
    model_.id = "m";
    Add("p0", BackendRole::kPrefill);
    Add("d0", BackendRole::kDecode, 2);
  }

  void Add(const BackendId& id, BackendRole role, int64_t slots = 20) {
    Backend backend;
    backend.id = id;
    backend.role = role;
    backend.model = "m";
    backend.zone = "a";
    backend.slots = slots;
    allocator_.SetBackend(backend, model_, At(0));
    allocator_.UpdateRunningRequests(id, {}, At(0));
  }

  SlotRequest Request(const RequestId& id,
                      const AccountId& account = "x",
                      int deadline_ms = 60'000) {
    SlotRequest request;
    request.id = id;
    request.owner = {"entry", 1};
    request.model = "m";
    request.account = account;
    request.deadline = At(deadline_ms);
    request.prompt_tokens = 500;  // 100 ms of prefill.
    return request;
  }

  // Processes the queue once. Returns the granted ids; refusals go to
  // `refused_`.
  std::vector<RequestId> Granted(int now_ms) {
    std::vector<RequestId> ids;
    for (const SlotDecision& decision : allocator_.ProcessQueue(At(now_ms))) {
      if (Ok(decision.result)) {
        ids.push_back(decision.id);
      } else {
        refused_[decision.id] = std::get<Error>(decision.result).code;
      }
    }
    return ids;
  }

  Model model_;
  SlotAllocator allocator_{SlotAllocatorOptions{}};
  std::map<RequestId, ErrorCode> refused_;
};

using Ids = std::vector<RequestId>;

TEST_F(SlotAllocatorTest, NeverMoreGrantsThanSlots) {
  for (const char* id : {"a", "b", "c"}) {
    allocator_.Enqueue(Request(id));
  }
  EXPECT_EQ(Granted(0), Ids{"a"});
  allocator_.OnPrefillDone("a", At(100));
  EXPECT_EQ(Granted(100), Ids{"b"});
  allocator_.OnPrefillDone("b", At(200));
  EXPECT_EQ(Granted(200), Ids{});
  allocator_.Release("a", At(300));
  EXPECT_EQ(Granted(300), Ids{"c"});
}

TEST_F(SlotAllocatorTest, NextPromptIsGrantedJustBeforePrefillEnds) {
  allocator_.Enqueue(Request("a"));
  allocator_.Enqueue(Request("b"));
  EXPECT_EQ(Granted(0), Ids{"a"});
  EXPECT_EQ(Granted(50), Ids{});
  EXPECT_EQ(Granted(70), Ids{"b"});
}

TEST_F(SlotAllocatorTest, OverdueServerGetsNothing) {
  allocator_.Enqueue(Request("a"));
  EXPECT_EQ(Granted(0), Ids{"a"});
  allocator_.Enqueue(Request("b"));
  EXPECT_EQ(Granted(150), Ids{});
}

TEST_F(SlotAllocatorTest, AccountsShareFairlyAndPriorityGoesFirst) {
  for (const char* id : {"a1", "a2", "a3"}) {
    allocator_.Enqueue(Request(id, "greedy"));
  }
  allocator_.Enqueue(Request("b1", "modest", 61'000));
  SlotRequest urgent = Request("c1", "greedy", 62'000);
  urgent.priority = 0;
  allocator_.Enqueue(urgent);
  EXPECT_EQ(Granted(0), Ids{"c1"});
  allocator_.OnPrefillDone("c1", At(100));
  allocator_.Release("c1", At(100));
  EXPECT_EQ(Granted(100), Ids{"a1"});
  allocator_.OnPrefillDone("a1", At(200));
  // "greedy" holds one grant now, "modest" none.
  EXPECT_EQ(Granted(200), Ids{"b1"});
}

TEST_F(SlotAllocatorTest, RefusesEarlyWhatCannotBeInTime) {
  allocator_.Enqueue(Request("late", "x", 50));
  EXPECT_EQ(Granted(0), Ids{"late"});  // Granted though late: servers idle.
  for (int i = 0; i < 5; ++i) {
    allocator_.Enqueue(Request("w" + std::to_string(i), "x", 250));
  }
  Granted(1);
  EXPECT_EQ(refused_["w4"], ErrorCode::kDeadlineTooShort);
  Granted(260);
  EXPECT_EQ(refused_["w0"], ErrorCode::kDeadlineExpired);
}

TEST_F(SlotAllocatorTest, UnknownModelHasNoBackend) {
  SlotRequest request = Request("a");
  request.model = "other";
  allocator_.Enqueue(request);
  Granted(0);
  EXPECT_EQ(refused_["a"], ErrorCode::kNoBackend);
}

TEST_F(SlotAllocatorTest, NewAllocatorCountsWhatTheEngineRuns) {
  SlotAllocator fresh{SlotAllocatorOptions{}};
  Backend decode;
  decode.id = "d0";
  decode.role = BackendRole::kDecode;
  decode.model = "m";
  decode.slots = 2;
  Backend prefill = decode;
  prefill.id = "p0";
  prefill.role = BackendRole::kPrefill;
  fresh.SetBackend(decode, model_, At(0));
  fresh.SetBackend(prefill, model_, At(0));
  fresh.Enqueue(Request("a"));
  EXPECT_TRUE(fresh.ProcessQueue(At(1)).empty());  // Nothing listed yet.
  fresh.UpdateRunningRequests("d0", {"old1"}, At(2));
  fresh.RestoreGrant({SlotGrant{"old2", "p0", "d0"}, {"entry", 1}, "x", true},
                     At(3));
  EXPECT_TRUE(fresh.ProcessQueue(At(4)).empty());  // Both slots are in use.
  fresh.UpdateRunningRequests("d0", {}, At(5));
  EXPECT_EQ(fresh.ProcessQueue(At(6)).size(), 1U);
}

TEST_F(SlotAllocatorTest, DeadOwnersSlotsComeBackWhenTheEngineShowsIt) {
  allocator_.Enqueue(Request("a"));
  Granted(0);
  allocator_.OnOwnerDead({"entry", 1}, At(100));
  EXPECT_EQ(allocator_.grants(), 0U);
  EXPECT_EQ(allocator_.Summarize(At(100)).free_slots, 1);
  allocator_.UpdateRunningRequests("d0", {}, At(200));
  EXPECT_EQ(allocator_.Summarize(At(200)).free_slots, 2);
}

TEST_F(SlotAllocatorTest, PrefixHitIsPreferredUntilWaitingCostsMore) {
  Add("p1", BackendRole::kPrefill);
  SlotRequest request = Request("a");
  request.prompt_tokens = 3000;  // 600 ms, 200 ms with a hit of 2 blocks.
  request.prefix_hashes = {1, 2};
  allocator_.prefixes().Add("p1", 1);
  allocator_.prefixes().Add("p1", 2);
  allocator_.Enqueue(request);
  auto grant = std::get<SlotGrant>(allocator_.ProcessQueue(At(0)).at(0).result);
  EXPECT_EQ(grant.prefill, "p1");
  EXPECT_EQ(grant.prefix_tokens, 2000);
}

TEST_F(SlotAllocatorTest, BusyLinkHoldsPrefillBack) {
  SlotRequest large = Request("a");
  large.prompt_tokens = 10'000;  // 1 GB: one second on the link.
  large.prefix_hashes = {1, 2, 3, 4, 5, 6, 7, 8, 9};
  for (uint64_t hash : large.prefix_hashes) {
    allocator_.prefixes().Add("p0", hash);
  }
  allocator_.Enqueue(large);
  EXPECT_EQ(Granted(0), Ids{"a"});
  allocator_.OnPrefillDone("a", At(200));
  allocator_.Enqueue(Request("b"));
  EXPECT_EQ(Granted(300), Ids{});  // 800 ms of link wait.
  EXPECT_EQ(Granted(850), Ids{"b"});
}

TEST_F(SlotAllocatorTest, StragglerIsEjectedAndProbedBack) {
  Add("d1", BackendRole::kDecode, 2);
  for (int i = 0; i < 5; ++i) {
    allocator_.ObserveSlowness("d0", 5, At(i));
    allocator_.ObserveSlowness("d1", 1, At(i));
  }
  EXPECT_EQ(allocator_.HealthOf("d0", At(10)),
            StragglerDetector::Health::kEjected);
  allocator_.Enqueue(Request("a"));
  auto grant =
      std::get<SlotGrant>(allocator_.ProcessQueue(At(10)).at(0).result);
  EXPECT_EQ(grant.decode, "d1");
  EXPECT_EQ(allocator_.HealthOf("d0", At(1100)),
            StragglerDetector::Health::kProbing);
  allocator_.ObserveSlowness("d0", 1, At(1200));
  EXPECT_EQ(allocator_.HealthOf("d0", At(1201)),
            StragglerDetector::Health::kNormal);
}

TEST_F(SlotAllocatorTest, ExcludedServersAreBetterThanNone) {
  SlotRequest request = Request("a");
  request.exclude = {"d0", "p0"};
  allocator_.Enqueue(request);
  EXPECT_EQ(Granted(0), Ids{"a"});
}

}  // namespace
}  // namespace mangoyoke
