// Case 9: some servers spoil a few of their answers: in place of the response
// come bytes that are no response of the protocol. No caller may get them as a
// success.

#include <set>
#include <string>

#include "../standins-2/lab.h"

namespace review {
namespace {

constexpr int kServers = 4;
constexpr int kFaulty = 2;
// One answer in 20 of a faulty server, for 5 s, and again 6 s later.
constexpr const char* kSpoilEvery = "20";
constexpr int64_t kSpoilMs = 5000;
constexpr int64_t kSpoilAtMs[] = {5000, 16'000};
constexpr int kBookings = 2800;
constexpr int64_t kSendEveryMs = 8;

int Play(Record& record) {
  Lab lab(1);
  lab.PutConfig(nlohmann::json::array(
      {Lab::Route("booking", "/booking/", "non_idempotent", "bookings")}));
  std::string times;
  for (int64_t at_ms : kSpoilAtMs) {
    times += (times.empty() ? "" : ",") + std::to_string(NowMs() + at_ms) +
             "," + std::to_string(NowMs() + at_ms + kSpoilMs);
  }
  for (int i = 0; i < kServers; ++i) {
    std::vector<std::string> options{
        "--framing", "length", "--work-ms", "60", "--answers-per-connection",
        "5"};
    if (Trouble() && i < kFaulty) {
      options.insert(options.end(),
                     {"--spoil-every", kSpoilEvery, "--spoil-times", times});
    }
    lab.StartServer("bookings", options);
  }
  if (!lab.StartGateways()) {
    return kCouldNotRun;
  }
  Clients clients(lab);
  Request request;
  request.path = "/booking/1";
  int64_t begun = NowMs();
  for (int i = 0; i < kBookings; ++i) {
    SleepUntilMs(begun + i * kSendEveryMs);
    clients.Send(0, request, "bookings");
  }
  clients.Join();
  clients.WriteTo(record, lab.ServerEvents());

  std::set<std::string> spoilt;
  for (const ServerEvent& event : lab.ServerEvents()) {
    if (event.what == "spoils") {
      spoilt.insert(event.request);
    }
  }
  int served = 0;
  int false_successes = 0;
  for (const Answer& answer : clients.Answers("bookings")) {
    bool stamped = answer.stamp.ends_with("." + answer.id);
    bool false_success = answer.Succeeded() && !stamped;
    served += answer.Succeeded() && stamped ? 1 : 0;
    false_successes += false_success ? 1 : 0;
    if (spoilt.contains(answer.id) || false_success || !answer.Succeeded()) {
      record.Line(
          "booking " + answer.id + ": status " + std::to_string(answer.status) +
          ", stamp '" + answer.stamp + "', " +
          std::to_string(answer.body.size()) + " bytes" +
          (spoilt.contains(answer.id) ? ", its answer was spoilt" : "") +
          (false_success ? "; a success without the stamp" : ""));
    }
  }
  record.Line(std::to_string(served) + " of " + std::to_string(kBookings) +
                  " bookings served, " + std::to_string(spoilt.size()) +
                  " answers spoilt, " + std::to_string(false_successes) +
                  " of them passed on as a success without the stamp",
              true);
  bool ran = served > 0 && lab.GatewaysRun() && (!Trouble() || !spoilt.empty());
  return false_successes > 0 ? kBroken : ran ? kHeld : kCouldNotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::RunCase(argc, argv, review::Play);
}
