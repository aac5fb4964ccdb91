// Which part of a prompt is to blame for the ends of servers: fixed histories,
// and seeded ones of several instances that exchange reports.

#include "gateway/core/prompt_quarantine.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <random>

namespace mangoyoke {
namespace {

PromptParts Prompt(std::vector<PromptPartId> shared, PromptPartId own) {
  return PromptParts{std::move(shared), std::move(own)};
}

class PromptQuarantineTest : public ::testing::Test {
 protected:
  bool Quarantined(const PromptPartId& part) const {
    return quarantine_.Find(Prompt({part}, ""), now_).has_value();
  }
  // A server ends under `prompt`, at a moment of its own.
  void End(const PromptParts& prompt) {
    now_ += Seconds(1);
    quarantine_.RecordServerEnd("server-" + std::to_string(++servers_), prompt,
                                kShort, now_);
    quarantine_.Decide(now_);
  }
  void Serve(const PromptParts& prompt) {
    now_ += Millis(10);
    quarantine_.RecordSuccess(prompt, kLong, now_);
    quarantine_.Decide(now_);
  }
  // Requests that have nothing in common with the prompts of the test.
  void ServeOthers() {
    for (int i = 0; i < 3; ++i) {
      Serve(Prompt({"other"}, "o"));
    }
  }

  static constexpr Duration kShort = Millis(80);
  static constexpr Duration kLong = Seconds(2);

  PromptQuarantine quarantine_;
  TimePoint now_{Seconds(1000)};
  int servers_ = 0;
};

TEST_F(PromptQuarantineTest, PartUnderWhichThreeServersEndedIsBlamed) {
  End(Prompt({"feed", "bad"}, "1"));
  ServeOthers();
  Serve(Prompt({"feed"}, "s"));
  End(Prompt({"feed", "bad"}, "2"));
  EXPECT_FALSE(Quarantined("bad"));
  End(Prompt({"feed", "bad"}, "3"));
  EXPECT_TRUE(Quarantined("bad"));
  EXPECT_FALSE(Quarantined("feed"));
}

TEST_F(PromptQuarantineTest, PartOfServedRequestsIsNotBlamed) {
  for (int i = 0; i < 20; ++i) {
    End(Prompt({"feed"}, std::to_string(i)));
    ServeOthers();
    Serve(Prompt({"feed"}, "s"));
  }
  EXPECT_FALSE(Quarantined("feed"));
}

TEST_F(PromptQuarantineTest, ServersThatEndTogetherCountOnce) {
  Serve(Prompt({"popular"}, "s"));
  for (int i = 0; i < 6; ++i) {
    quarantine_.RecordServerEnd("server-" + std::to_string(i),
                                Prompt({"popular", "rare"}, std::to_string(i)),
                                kShort, now_ + Millis(10 * i));
  }
  ServeOthers();
  EXPECT_FALSE(Quarantined("popular"));
  EXPECT_FALSE(Quarantined("rare"));
}

TEST_F(PromptQuarantineTest, RepeatsOfOneRequestBlameNoneOfItsParts) {
  for (int i = 0; i < 4; ++i) {
    End(Prompt({"mine", "bad"}, "same"));
    ServeOthers();
  }
  EXPECT_FALSE(Quarantined("mine"));
  EXPECT_FALSE(Quarantined("bad"));
  End(Prompt({"bad"}, "another"));
  EXPECT_TRUE(Quarantined("bad"));
  EXPECT_FALSE(Quarantined("mine"));
}

// The day `deadly`: one prompt that callers sent again and again ended seven
// servers, as only parts of different prompts were blamed.
TEST_F(PromptQuarantineTest, PromptUnderWhichThreeServersEndedIsBlamed) {
  PromptParts deadly = Prompt({"feed", "page"}, "own");
  ServeOthers();
  for (int i = 0; i < 3; ++i) {
    EXPECT_FALSE(quarantine_.Find(deadly, now_));
    End(deadly);
  }
  EXPECT_TRUE(quarantine_.Find(deadly, now_));
  EXPECT_FALSE(quarantine_.Find(Prompt({"feed", "page"}, "other"), now_));
  EXPECT_FALSE(Quarantined("page"));
}

// One request that was resumed at the next server each time. Each server got it
// when the one before had ended.
TEST_F(PromptQuarantineTest, EndsInQuickSuccessionBlameThePromptThatFollows) {
  PromptParts deadly = Prompt({"page"}, "own");
  ServeOthers();
  for (const char* server : {"a", "b", "c"}) {
    now_ += kShort + Millis(10);
    quarantine_.RecordServerEnd(server, deadly, kShort, now_);
  }
  quarantine_.Decide(now_);
  EXPECT_TRUE(quarantine_.Find(deadly, now_));
}

TEST_F(PromptQuarantineTest, ServersThatEndTogetherBlameNoPrompt) {
  PromptParts prompt = Prompt({"page"}, "own");
  ServeOthers();
  for (const char* server : {"a", "b", "c", "d"}) {
    now_ += Millis(20);
    quarantine_.RecordServerEnd(server, prompt, kShort, now_);
  }
  quarantine_.Decide(now_);
  EXPECT_FALSE(quarantine_.Find(prompt, now_));
}

TEST_F(PromptQuarantineTest, PromptsWithoutAnOwnPartAreNotTakenForOne) {
  ServeOthers();
  for (int i = 0; i < 4; ++i) {
    End(Prompt({}, ""));
  }
  EXPECT_FALSE(quarantine_.Find(Prompt({}, ""), now_));
}

TEST_F(PromptQuarantineTest, PromptThatIsServedIsReleased) {
  PromptParts prompt = Prompt({"page"}, "own");
  ServeOthers();
  for (int i = 0; i < 3; ++i) {
    End(prompt);
  }
  Serve(prompt);
  EXPECT_FALSE(quarantine_.Find(prompt, now_));
}

TEST_F(PromptQuarantineTest, NothingIsBlamedWhileNothingIsServed) {
  for (int i = 0; i < 10; ++i) {
    End(Prompt({"feed", "part"}, std::to_string(i)));
  }
  EXPECT_FALSE(Quarantined("feed"));
  EXPECT_FALSE(Quarantined("part"));
}

TEST_F(PromptQuarantineTest, PartThatTurnsBadAfterSuccessesIsBlamedLater) {
  Serve(Prompt({"turns"}, "s"));
  for (int i = 0; i < 5; ++i) {
    EXPECT_FALSE(Quarantined("turns"));
    End(Prompt({"turns"}, std::to_string(i)));
    ServeOthers();
  }
  EXPECT_TRUE(Quarantined("turns"));
}

TEST_F(PromptQuarantineTest, SuspectPartIsNotRepeated) {
  End(Prompt({"bad"}, "1"));
  EXPECT_FALSE(quarantine_.IsSuspect(Prompt({"bad"}, "")));
  End(Prompt({"bad"}, "1"));
  EXPECT_TRUE(quarantine_.IsSuspect(Prompt({"bad"}, "")));
  Serve(Prompt({"bad"}, "2"));
  EXPECT_FALSE(quarantine_.IsSuspect(Prompt({"bad"}, "")));
}

TEST_F(PromptQuarantineTest, OneMoreEndRenewsAVerdictThatRanOut) {
  for (int i = 0; i < 3; ++i) {
    End(Prompt({"bad"}, std::to_string(i)));
    ServeOthers();
  }
  ASSERT_TRUE(Quarantined("bad"));
  now_ += PromptQuarantine::kFirstVerdict;
  quarantine_.Records(now_);
  EXPECT_FALSE(Quarantined("bad"));
  End(Prompt({"bad"}, "x"));
  EXPECT_TRUE(Quarantined("bad"));
  now_ += PromptQuarantine::kFirstVerdict;
  EXPECT_TRUE(Quarantined("bad"));  // Twice as long.
}

TEST_F(PromptQuarantineTest, SuccessAfterAVerdictReleasesThePart) {
  for (int i = 0; i < 3; ++i) {
    End(Prompt({"part"}, std::to_string(i)));
    ServeOthers();
  }
  ASSERT_TRUE(Quarantined("part"));
  Serve(Prompt({"part"}, "was in progress"));
  EXPECT_FALSE(Quarantined("part"));
}

TEST_F(PromptQuarantineTest, MemoryIsBounded) {
  for (int i = 0; i < 3000; ++i) {
    End(Prompt({"part" + std::to_string(i)}, "x"));
  }
  EXPECT_LE(quarantine_.Records(now_).size(), 2048U);
}

// Instances that serve requests, see servers end and report to each other.
// Reports get lost, come late, twice and in another order.
class History {
 public:
  explicit History(uint64_t seed) : random_(seed), instances_(kInstances) {}

  static constexpr size_t kInstances = 9;
  static constexpr int kServers = 12;
  static constexpr Duration kStep = Millis(20);

  struct Options {
    double bad_per_second = 0;       // Requests with the bad part.
    double crashes_per_second = 0;   // Of single servers, at random.
    Duration third_crashes_every{};  // Of a third of the servers at once.
    double lost_reports = 0.2;
    Duration restart_every{};  // Of one instance.
    int common_parts = 4;
    int rare_parts = 60;
    // Instances report to all others of their cell, and to one of the others.
    size_t cell_instances = kInstances;
  };

  void Run(const Options& options, Duration length) {
    options_ = options;
    TimePoint end = now_ + length;
    while (now_ < end) {
      now_ += kStep;
      Step();
    }
  }

  size_t InstancesThatQuarantine(const PromptPartId& part) const {
    return static_cast<size_t>(std::count_if(
        instances_.begin(), instances_.end(), [&](const auto& instance) {
          return instance.Find(Prompt({part}, ""), now_).has_value();
        }));
  }
  int BadRequests() const { return bad_requests_; }
  // Those later than 3 s after the fifth crash under the bad part.
  int LateRequests() const { return late_requests_; }
  // Requests without the bad part that were kept from servers.
  int FalseRejections() const { return false_rejections_; }
  int SoundRequests() const { return sound_requests_; }

 private:
  struct Running {
    size_t instance;
    PromptParts prompt;
    TimePoint begun;
    TimePoint ends;
  };
  struct Report {
    size_t to;
    PartRecord record;
    TimePoint sent;
    TimePoint arrives;
  };

  bool Chance(double probability) {
    return std::bernoulli_distribution(std::min(1.0, probability))(random_);
  }
  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }
  static bool IsBad(const PromptParts& prompt) {
    return std::find(prompt.shared.begin(), prompt.shared.end(), "bad") !=
           prompt.shared.end();
  }

  void Step() {
    double seconds = ToMillis(kStep) / 1000;
    if (Chance(kSoundPerSecond * seconds)) {
      Begin(RandomPrompt(false));
    }
    if (Chance(options_.bad_per_second * seconds)) {
      Begin(RandomPrompt(true));
    }
    if (Chance(options_.crashes_per_second * seconds)) {
      Crash(Pick(kServers));
    }
    if (Every(options_.third_crashes_every)) {
      for (int server = Pick(3); server < kServers; server += 3) {
        Crash(server);
      }
    }
    if (Every(options_.restart_every)) {
      instances_[static_cast<size_t>(Pick(kInstances))] = PromptQuarantine();
    }
    CrashDue();
    EndRuns();
    Exchange();
    for (PromptQuarantine& instance : instances_) {
      instance.Decide(now_);
    }
  }

  bool Every(Duration interval) const {
    return interval > Duration::zero() &&
           now_.time_since_epoch() % interval < kStep;
  }

  PromptParts RandomPrompt(bool bad) {
    PromptParts prompt;
    prompt.shared.push_back("common" +
                            std::to_string(Pick(options_.common_parts)));
    prompt.shared.push_back("rare" + std::to_string(Pick(options_.rare_parts)));
    if (bad) {
      prompt.shared.push_back("bad");
    }
    prompt.own = "own" + std::to_string(++requests_);
    return prompt;
  }

  void Begin(PromptParts prompt) {
    auto instance = static_cast<size_t>(Pick(kInstances));
    bool bad = IsBad(prompt);
    if (instances_[instance].Find(prompt, now_)) {
      false_rejections_ += bad ? 0 : 1;
      return;
    }
    sound_requests_ += bad ? 0 : 1;
    if (bad) {
      ++bad_requests_;
      late_requests_ += counted_from_ && now_ > *counted_from_ ? 1 : 0;
    }
    int server = Pick(kServers);
    Duration time = Millis(300 + Pick(4000));
    runs_[server].push_back(
        Running{instance, std::move(prompt), now_, now_ + time});
    if (bad) {
      crashing_.emplace_back(now_ + Millis(40 + Pick(120)), server);
    }
  }

  void CrashDue() {
    std::erase_if(crashing_, [this](const auto& crash) {
      if (crash.first > now_) {
        return false;
      }
      Crash(crash.second);
      if (++bad_crashes_ == kCountedCrashes) {
        counted_from_ = now_ + kContact;
      }
      return true;
    });
  }

  void Crash(int server) {
    std::string incarnation = "s" + std::to_string(++incarnations_);
    for (const Running& run : runs_[server]) {
      instances_[run.instance].RecordServerEnd(incarnation, run.prompt,
                                               now_ - run.begun, now_);
    }
    runs_[server].clear();
  }

  void EndRuns() {
    for (auto& [server, runs] : runs_) {
      std::erase_if(runs, [this](const Running& run) {
        if (run.ends > now_) {
          return false;
        }
        instances_[run.instance].RecordSuccess(run.prompt, now_ - run.begun,
                                               now_);
        return true;
      });
    }
  }

  void Send(size_t from, const PartRecord& record) {
    size_t cell = from / options_.cell_instances;
    auto stranger = static_cast<size_t>(Pick(kInstances));
    for (size_t to = 0; to < kInstances; ++to) {
      bool in_cell = to / options_.cell_instances == cell;
      if (to == from || !(in_cell || to == stranger) ||
          Chance(options_.lost_reports)) {
        continue;
      }
      int copies = Chance(0.1) ? 2 : 1;
      for (int i = 0; i < copies; ++i) {
        reports_.push_back(
            Report{to, record, now_, now_ + Millis(1 + Pick(200))});
      }
    }
  }

  void Exchange() {
    for (size_t from = 0; from < kInstances; ++from) {
      for (const PartRecord& record : instances_[from].TakeChanges(64)) {
        Send(from, record);
      }
      if (Every(Seconds(1))) {
        for (const PartRecord& record : instances_[from].Records(now_)) {
          Send(from, record);
        }
      }
    }
    std::erase_if(reports_, [this](const Report& report) {
      if (report.arrives > now_) {
        return false;
      }
      instances_[report.to].Merge(Late(report), now_);
      return true;
    });
  }

  // A report states ages, so its times are later by the time that it took.
  PartRecord Late(const Report& report) const {
    Duration delay = now_ - report.sent;
    PartRecord record = report.record;
    if (record.last_success) {
      *record.last_success += delay;
    }
    for (ServerEnd& end : record.ends) {
      end.at += delay;
    }
    if (record.verdict) {
      record.verdict->first_end += delay;
      record.verdict->until += delay;
    }
    return record;
  }

  static constexpr double kSoundPerSecond = 12;
  static constexpr int kCountedCrashes = 5;
  static constexpr Duration kContact = Seconds(3);

  std::mt19937_64 random_;
  Options options_;
  TimePoint now_{Seconds(1000)};
  std::vector<PromptQuarantine> instances_;
  std::map<int, std::vector<Running>> runs_;  // By server.
  std::vector<Report> reports_;
  int requests_ = 0;
  int incarnations_ = 0;
  // When servers will crash by a bad request.
  std::vector<std::pair<TimePoint, int>> crashing_;
  int bad_crashes_ = 0;
  std::optional<TimePoint> counted_from_;
  int bad_requests_ = 0;
  int late_requests_ = 0;
  int false_rejections_ = 0;
  int sound_requests_ = 0;
};

constexpr uint64_t kSeeds = 60;
// The users' bound.
constexpr int kMaxLateRequests = 3;
// Rejections without cause, as a share of all sound requests of all seeds.
constexpr double kFewFalseRejections = 0.002;

struct Totals {
  int most_bad = 0;
  int bad = 0;
  int false_rejections = 0;
  int sound = 0;
  size_t fewest_that_know = History::kInstances;
};

Totals RunSeeds(const History::Options& options, Duration length) {
  Totals totals;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    History history(seed);
    History::Options calm = options;
    calm.bad_per_second = 0;
    history.Run(calm, Seconds(10));
    history.Run(options, length);
    totals.most_bad = std::max(totals.most_bad, history.BadRequests());
    totals.bad += history.BadRequests();
    totals.false_rejections += history.FalseRejections();
    totals.sound += history.SoundRequests();
    totals.fewest_that_know = std::min(totals.fewest_that_know,
                                       history.InstancesThatQuarantine("bad"));
    EXPECT_LE(history.LateRequests(), kMaxLateRequests) << "seed " << seed;
  }
  std::cout << "bad requests that reached servers: " << totals.most_bad
            << " at most, " << totals.bad << " in " << kSeeds << " seeds; "
            << totals.false_rejections << " false rejections of "
            << totals.sound << "\n";
  EXPECT_LE(totals.false_rejections, kFewFalseRejections * totals.sound);
  return totals;
}

TEST(PromptQuarantineHistoryTest, OnePartToBlame) {
  History::Options options;
  options.bad_per_second = 1.5;
  EXPECT_EQ(RunSeeds(options, Seconds(40)).fewest_that_know,
            History::kInstances);
}

TEST(PromptQuarantineHistoryTest, OnePartToBlameBesideOrdinaryCrashes) {
  History::Options options;
  options.bad_per_second = 1.5;
  options.crashes_per_second = 0.3;
  options.third_crashes_every = Seconds(5);
  EXPECT_EQ(RunSeeds(options, Seconds(40)).fewest_that_know,
            History::kInstances);
}

TEST(PromptQuarantineHistoryTest, OrdinaryCrashesBlameNoPart) {
  History::Options options;
  options.crashes_per_second = 1;
  options.third_crashes_every = Seconds(2);
  RunSeeds(options, Seconds(60));
}

TEST(PromptQuarantineHistoryTest, RestartsOfInstances) {
  History::Options options;
  options.bad_per_second = 1.5;
  options.restart_every = Seconds(1);
  RunSeeds(options, Seconds(40));
}

TEST(PromptQuarantineHistoryTest, Cells) {
  History::Options options;
  options.bad_per_second = 1.5;
  options.cell_instances = 3;
  EXPECT_EQ(RunSeeds(options, Seconds(40)).fewest_that_know,
            History::kInstances);
}

TEST(PromptQuarantineHistoryTest, HalfOfTheReportsAreLost) {
  History::Options options;
  options.bad_per_second = 1.5;
  options.lost_reports = 0.5;
  EXPECT_EQ(RunSeeds(options, Seconds(40)).fewest_that_know,
            History::kInstances);
}

}  // namespace
}  // namespace mangoyoke
