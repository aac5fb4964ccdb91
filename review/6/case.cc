// Case 6: a model server is killed while it answers with streams that end with
// their connection. Each of these streams is cut off halfway; none may reach
// its caller as a complete one.

#include <algorithm>
#include <set>
#include <string>

#include "../standins-2/lab.h"

namespace review {
namespace {

constexpr int kServers = 4;
constexpr int kEvents = 40;
constexpr int64_t kGapMs = 50;
constexpr int kStreams = 40;
constexpr int64_t kSendEveryMs = 60;
// When the first stream is at its middle.
constexpr int64_t kKillAfterMs = kEvents * kGapMs / 2;
constexpr int64_t kBackAfterMs = 3000;

int Play(Record& record) {
  Lab lab(1);
  const std::vector<std::string> options{"--events",  std::to_string(kEvents),
                                         "--gap-ms",  std::to_string(kGapMs),
                                         "--framing", "none"};
  lab.PutConfig(nlohmann::json::array(
      {Lab::Route("review", "/review/", "streaming", "assistant")}));
  std::string killed;
  for (int i = 0; i < kServers; ++i) {
    killed = lab.StartServer("assistant", options);
  }
  if (!lab.StartGateways()) {
    return kCouldNotRun;
  }
  Clients clients(lab);
  Request request;
  request.path = "/review/1";
  request.deadline_ms = 14'000;
  int64_t begun = NowMs();
  bool done = false;
  for (int i = 0; i < kStreams; ++i) {
    SleepUntilMs(begun + i * kSendEveryMs);
    if (Trouble() && !done && NowMs() >= begun + kKillAfterMs) {
      done = true;
      record.Line("server " + killed + " is killed");
      lab.KillServer(killed);
    }
    request.prompt_parts = "a1:200,b" + std::to_string(i) + ":1000";
    clients.Send(0, request, "streams");
  }
  if (Trouble()) {
    SleepUntilMs(begun + kKillAfterMs + kBackAfterMs);
    lab.TakeEndedServers();
    lab.RemoveRow(killed);
    lab.StartServer("assistant", options, lab.PortOfServer(killed));
  }
  clients.Join();
  clients.WriteTo(record, lab.ServerEvents());

  std::set<std::string> run_at_killed;
  for (const ServerEvent& event : lab.ServerEvents()) {
    if (event.server == killed && event.what == "run") {
      run_at_killed.insert(event.request);
    }
  }
  int whole = 0;
  int broken_off = 0;
  int falsely_complete = 0;
  for (const Answer& answer : clients.Answers("streams")) {
    bool has_all = answer.Events() == kEvents;
    bool looks_complete = answer.Succeeded() && answer.complete;
    record.Line(
        "stream " + answer.id + " status " + std::to_string(answer.status) +
        ", " + std::to_string(answer.Events()) + " of " +
        std::to_string(kEvents) + " events, " +
        (answer.complete ? "ends as complete" : "ends as cut off") +
        (run_at_killed.contains(answer.id) ? ", ran at " + killed : ""));
    whole += looks_complete && has_all ? 1 : 0;
    broken_off += looks_complete ? 0 : 1;
    falsely_complete += looks_complete && !has_all ? 1 : 0;
  }
  record.Line(std::to_string(whole) + " streams whole, " +
                  std::to_string(broken_off) + " ended as cut off, " +
                  std::to_string(falsely_complete) +
                  " ended as complete before their last piece",
              true);
  bool ran =
      whole > 0 && lab.GatewaysRun() && (!Trouble() || !run_at_killed.empty());
  return falsely_complete > 0 ? kBroken : ran ? kHeld : kCouldNotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
