// A model server stops in the middle of an event, after one of its lines, and
// its HTTP layer ends the response in order, with the last chunk.

#include <atomic>
#include <future>
#include <vector>

#include "backend.h"
#include "caller.h"
#include "child_process.h"
#include "config.h"
#include "gateway_process.h"
#include "scenario.h"
#include "store.h"

namespace mangoyoke::review {
namespace {

constexpr char kStoreIp[] = "127.0.0.11";
constexpr char kServerIp[] = "127.0.0.12";
constexpr int kMachines = 3;
constexpr int kDecodeServers = 2;
constexpr int kRounds = 30;
constexpr int kStreamsInRound = 3;  // At each machine.
constexpr int64_t kRoundMs = 150;
constexpr int kEvents = 20;
constexpr int64_t kEventGapMs = 10;
// One of the servers cuts off one stream in so many.
constexpr int kCutInterval = 45;
constexpr int kCutAtEvent = 12;

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

BackendOptions ServerOptions(const std::string& id,
                             const std::string& stage,
                             uint16_t port) {
  BackendOptions options;
  options.id = id;
  options.service = kAssistantService;
  options.ip = kServerIp;
  options.port = port;
  options.stage = stage;
  options.born_ms = UnixMillis();
  options.work_ms = 20;
  options.events = kEvents;
  options.event_gap_ms = kEventGapMs;
  return options;
}

// Streams the events from `first` on. `cut`: stops in the middle of one.
bool WriteStream(Tcp::socket& socket,
                 const std::string& head,
                 int first,
                 bool cut) {
  bool sent = WriteAll(socket, head + "Transfer-Encoding: chunked\r\n\r\n");
  for (int number = first; sent && number <= kEvents; ++number) {
    std::this_thread::sleep_for(std::chrono::milliseconds(kEventGapMs));
    std::string event = EventText(number);
    if (cut && number == kCutAtEvent) {
      // Its first line, with the line end.
      sent = WriteAll(socket, Chunk(event.substr(0, event.find('\n') + 1)));
      break;
    }
    sent = WriteAll(socket, Chunk(event));
  }
  return sent && WriteAll(socket, "0\r\n\r\n");
}

// What a whole answer holds.
std::string WholeBody() {
  std::string body;
  for (int number = 1; number <= kEvents; ++number) {
    body += EventText(number);
  }
  return body;
}

CallerRequest MakeRequest(int machine, int number) {
  CallerRequest request;
  request.id =
      "req-" + std::to_string(machine + 1) + "-" + std::to_string(number + 1);
  request.host = kHost;
  request.path = "/agreement/2f";
  request.headers =
      "X-Mangoyoke-Model: m\r\n"
      "X-Mangoyoke-Token-Counts: 3200,20\r\n"
      "X-Mangoyoke-Prompt-Prefix: 5c1e07a2:200," +
      request.id + ":3000\r\n";
  request.body = "{}";
  request.deadline_ms = 14000;
  return request;
}

// Whether the answer keeps the rule: one that looks complete is whole.
bool Check(const CallerRequest& request,
           const CallerAnswer& answer,
           Record& record) {
  bool whole = answer.body == WholeBody();
  bool broken = answer.status == 200 && answer.complete && !whole;
  record.Line("client got status " + std::to_string(answer.status) + " for " +
              request.id + ", " + std::to_string(answer.body.size()) + " of " +
              std::to_string(WholeBody().size()) + " bytes, the answer " +
              (answer.complete ? "ended as complete" : "was broken off") +
              (broken ? ": RULE BROKEN" : ""));
  return !broken;
}

int Run(const ScenarioOptions& options) {
  Record record(options.record, SteadyMillis());
  record.Line(TroubleName(options));
  Deployment deployment;
  deployment.program = options.gateway;
  deployment.folder = options.folder;
  deployment.machines = kMachines;
  deployment.first_port = FindFreePorts(kPortsPerMachine + 2 + kDecodeServers);
  auto port = static_cast<uint16_t>(deployment.first_port + kPortsPerMachine);
  deployment.store = std::string(kStoreIp) + ":" + std::to_string(port);
  Store store(kStoreIp, port);
  store.Put("op", "config", AssistantConfig(/*resumable=*/true));
  std::vector<std::unique_ptr<Backend>> servers;
  auto add_server = [&](const std::string& id, const std::string& stage) {
    servers.push_back(
        std::make_unique<Backend>(ServerOptions(id, stage, ++port), record));
    store.Put("servers", id, ServerRow(servers.back()->options(), "ready", 1));
  };
  add_server("i-prefill-1", "prefill");
  std::atomic<int> streams = 0;
  for (int number = 1; number <= kDecodeServers; ++number) {
    std::string id = "i-decode-" + std::to_string(number);
    add_server(id, "decode");
    bool faulty = options.trouble && number == 1;
    servers.back()->SetStreamWriter(
        [&record, &streams, id, faulty](Tcp::socket& socket,
                                        const std::string& head, int first) {
          bool cut = faulty && ++streams % kCutInterval == 0;
          if (cut) {
            record.Line("server " + id + " stops in the middle of event " +
                        std::to_string(kCutAtEvent));
          }
          return WriteStream(socket, head, first, cut);
        });
  }
  auto gateways = StartGateways(deployment);
  std::this_thread::sleep_for(std::chrono::seconds(2));

  int64_t began = record.Millis();
  std::vector<std::pair<CallerRequest, std::future<CallerAnswer>>> answers;
  for (int round = 0; round < kRounds; ++round) {
    WaitUntil(record, began + round * kRoundMs);
    for (int i = 0; i < kMachines * kStreamsInRound; ++i) {
      int machine = i % kMachines;
      CallerRequest request =
          MakeRequest(machine, round * kStreamsInRound + i / kMachines);
      answers.emplace_back(
          request, std::async(std::launch::async, [&, machine, request] {
            return Call(Deployment::IpOf(machine), deployment.PortOf(kFront),
                        request);
          }));
    }
  }
  bool held = true;
  bool served = true;
  for (auto& [request, answer] : answers) {
    CallerAnswer got = answer.get();
    held = Check(request, got, record) && held;
    served = served && got.complete;
  }
  if (!options.trouble && !served) {
    record.Line("without the disruption, a request was not served");
    return kCouldNotRun;
  }
  record.Line(held ? "the rule held" : "the rule was broken");
  return held ? kHeld : kBroken;
}

}  // namespace
}  // namespace mangoyoke::review

int main(int argc, char** argv) {
  return mangoyoke::review::RunScenario(argc, argv, mangoyoke::review::Run);
}
