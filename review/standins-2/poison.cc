// Sends the requests, and brings the ended servers back.

#include "poison.h"

#include <map>

namespace review {
namespace {

// The heartbeat of servers; their rows go after three of them.
constexpr int64_t kRowMs = 3 * 1200;
constexpr int64_t kBackAfterMs = 3000;

// Brings servers back and removes the rows of the old ones.
class Nurse {
 public:
  Nurse(Lab& lab, const PoisonPlan& plan, Record& record)
      : lab_(lab), plan_(plan), record_(record) {}

  void Look() {
    int64_t now = NowMs();
    for (const std::string& id : lab_.TakeEndedServers()) {
      record_.Line("server " + id + " has ended");
      back_.emplace(now + kBackAfterMs, lab_.PortOfServer(id));
      rows_.emplace(now + kRowMs, id);
    }
    while (!back_.empty() && back_.begin()->first <= now) {
      std::string id =
          lab_.StartServer(plan_.service, plan_.options, back_.begin()->second);
      record_.Line("server " + id + " is back at its address");
      back_.erase(back_.begin());
    }
    while (!rows_.empty() && rows_.begin()->first <= now) {
      lab_.RemoveRow(rows_.begin()->second);
      rows_.erase(rows_.begin());
    }
  }

 private:
  Lab& lab_;
  const PoisonPlan& plan_;
  Record& record_;
  std::multimap<int64_t, uint16_t> back_;
  std::multimap<int64_t, std::string> rows_;
};

}  // namespace

int64_t PlayPoison(Lab& lab,
                   Clients& clients,
                   const PoisonPlan& plan,
                   Record& record) {
  constexpr int64_t kLookEveryMs = 20;
  Nurse nurse(lab, plan, record);
  int64_t begun = NowMs();
  int64_t next_sound = begun;
  int64_t next_deadly = begun + plan.calm_ms;
  int64_t end = begun + plan.calm_ms + plan.poison_ms;
  int sent = 0;
  Request request;
  request.deadline_ms = 14'000;
  auto send = [&](const std::string& path, const std::string& parts,
                  const char* group) {
    request.path = path;
    // The last part is the request's own.
    request.prompt_parts = parts + ",0" + std::to_string(++sent) + ":900";
    clients.Send(static_cast<size_t>(sent) % lab.gateways(), request, group);
  };
  const std::string first = std::string(kFirstPart) + ":200";
  while (NowMs() < end) {
    nurse.Look();
    if (NowMs() >= next_sound) {
      next_sound += plan.sound_every_ms;
      send(plan.path, first, kSound);
      send(plan.other_path, "e5f60718:200", kOther);
    }
    if (Trouble() && NowMs() >= next_deadly) {
      next_deadly += plan.deadly_every_ms;
      send(plan.path, first + "," + kDeadlyPart + ":100", kDeadly);
    }
    SleepMs(kLookEveryMs);
  }
  clients.Join();
  return begun;
}

}  // namespace review
