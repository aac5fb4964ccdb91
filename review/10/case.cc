// Case 10: the store was down for a while, and is sound again. Then
// one gateway that reads the store freezes, and at that moment a server leaves
// whose entry is removed without a notice before. The other gateways, which are
// in touch, must send it nothing later than DrainMs after the removal.

#include <signal.h>

#include <map>
#include <string>

#include "../standins-2/lab.h"

namespace review {
namespace {

constexpr size_t kGateways = 20;
constexpr int kServers = 3;
// One for each round: what a gateway does when the store is back depends on
// when it tried last.
constexpr int64_t kOutagesMs[] = {5500, 5600, 5400, 5700, 5500, 5600, 5400};
constexpr int64_t kCalmMs = 4000;  // Longer than ContactMs.
constexpr int64_t kFreezeMs = 4000;
// A leaving server goes on for DrainMs after its entry was removed, and a
// little longer.
constexpr int64_t kLingerMs = 1500;
constexpr int64_t kSendEveryMs = 4;

class Play {
 public:
  explicit Play(Record& record) : record_(record), lab_(kGateways) {}

  int Run() {
    lab_.PutConfig(nlohmann::json::array(
        {Lab::Route("booking", "/booking/", "non_idempotent", "bookings")}));
    for (int i = 0; i < kServers; ++i) {
      servers_.push_back(StartServer());
    }
    if (!lab_.StartGateways()) {
      return kCouldNotRun;
    }
    SendFor(kContactMs);
    for (int64_t outage_ms : kOutagesMs) {
      PlayOutage(outage_ms);
      PlayLeaving();
    }
    clients_.Join();
    clients_.WriteTo(record_, lab_.ServerEvents());
    return Judge();
  }

 private:
  std::string StartServer() {
    return lab_.StartServer("bookings",
                            {"--framing", "length", "--work-ms", "60"});
  }

  // Sends bookings to all gateways that are not frozen.
  void SendFor(int64_t ms) {
    Request request;
    request.path = "/booking/1";
    int64_t end = NowMs() + ms;
    while (NowMs() < end) {
      next_ = (next_ + 1) % kGateways;
      if (static_cast<int>(next_) != frozen_) {
        clients_.Send(next_, request, "bookings");
      }
      SleepMs(kSendEveryMs);
    }
  }

  // A gateway that reads the store; of several, each in its turn.
  int ChooseReader() {
    for (size_t i = 0; i < kGateways; ++i) {
      last_reader_ = (last_reader_ + 1) % kGateways;
      if (lab_.Metric(last_reader_, "mangoyoke_reads_store") == 1) {
        return static_cast<int>(last_reader_);
      }
    }
    return -1;
  }

  // The store is down for a while, then sound until all machines are in touch.
  void PlayOutage(int64_t outage_ms) {
    if (Trouble()) {
      record_.Line("the store is down");
      lab_.store().SetBusy(true);
    }
    SendFor(outage_ms);
    if (Trouble()) {
      lab_.store().SetBusy(false);
      record_.Line("the store is back");
    }
    SendFor(kCalmMs);
  }

  // A gateway that reads the store freezes, and a server leaves.
  void PlayLeaving() {
    constexpr int64_t kLeavesAfterMs = 100;
    std::string joins = StartServer();
    SendFor(500);
    if (Trouble()) {
      frozen_ = ChooseReader();
    }
    if (frozen_ >= 0) {
      record_.Line("gateway " + std::to_string(frozen_ + 1) + " freezes");
      lab_.Signal(static_cast<size_t>(frozen_), SIGSTOP);
    }
    SendFor(kLeavesAfterMs);
    std::string leaves = servers_.front();
    servers_.erase(servers_.begin());
    servers_.push_back(joins);
    removed_ms_[leaves] = lab_.RemoveRow(leaves);
    frozen_at_[leaves] = frozen_;
    record_.Line("the entry of server " + leaves + " is removed");
    SendFor(removed_ms_[leaves] + kDrainMs + kLingerMs - NowMs());
    lab_.KillServer(leaves);
    SendFor(kFreezeMs - kLeavesAfterMs - kDrainMs - kLingerMs);
    if (frozen_ >= 0) {
      lab_.Signal(static_cast<size_t>(frozen_), SIGCONT);
      record_.Line("gateway " + std::to_string(frozen_ + 1) + " goes on");
      frozen_ = -1;
    }
  }

  int Judge() {
    std::map<std::string, const Answer*> by_id;
    const std::vector<Answer> answers = clients_.Answers("bookings");
    int served = 0;
    for (const Answer& answer : answers) {
      by_id[answer.id] = &answer;
      served += answer.Succeeded() ? 1 : 0;
    }
    int late = 0;
    int64_t latest = 0;
    for (const ServerEvent& event : lab_.ServerEvents()) {
      auto removed = removed_ms_.find(event.server);
      if (event.what != "run" || removed == removed_ms_.end() ||
          event.time_ms <= removed->second + kDrainMs) {
        continue;
      }
      auto answer = by_id.find(event.request);
      if (answer != by_id.end() && static_cast<int>(answer->second->gateway) ==
                                       frozen_at_[event.server]) {
        continue;  // That gateway is not in touch.
      }
      int64_t after = event.time_ms - removed->second;
      ++late;
      latest = std::max(latest, after);
      record_.Line("booking " + event.request + " reached server " +
                   event.server + " " + std::to_string(after) +
                   " ms after its entry was removed, from gateway " +
                   (answer == by_id.end()
                        ? "?"
                        : std::to_string(answer->second->gateway + 1)));
    }
    record_.Line(std::to_string(served) + " of " +
                     std::to_string(answers.size()) + " bookings served; " +
                     std::to_string(late) +
                     " reached a server later than DrainMs after its entry was "
                     "removed, the latest after " +
                     std::to_string(latest) + " ms",
                 true);
    return late > 0                           ? kBroken
           : served > 0 && lab_.GatewaysRun() ? kHeld
                                              : kCouldNotRun;
  }

  Record& record_;
  Lab lab_;
  Clients clients_{lab_};
  std::vector<std::string> servers_;
  size_t next_ = 0;
  int frozen_ = -1;
  size_t last_reader_ = 0;
  // By server that left: when its entry was removed, and the gateway that was
  // frozen then.
  std::map<std::string, int64_t> removed_ms_;
  std::map<std::string, int> frozen_at_;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, [](review::Record& record) {
    return review::Play(record).Run();
  });
}
