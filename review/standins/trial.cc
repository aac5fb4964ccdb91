// Settings, start and end of a trial.

#include "review/standins/trial.h"

#include <cstdio>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <string_view>

#include <unistd.h>

namespace review {
namespace {

using Json = nlohmann::json;

constexpr Millis kStartTimeout{20'000};
constexpr Millis kPollInterval{50};
constexpr Millis kReadyTimeout{1000};
// Start of the servers' processes, Unix time.
constexpr int64_t kServerStartMs = 1'764'900'000'000;

// The first three parts of the loopback addresses of this process's gateways,
// so that trials that run at the same time don't meet.
std::string OwnNetwork() {
  constexpr int kValues = 254;
  int id = getpid();
  return "127." + std::to_string(1 + id % kValues) + "." +
         std::to_string(1 + id / kValues % kValues) + ".";
}

// A line of a sed script that fills in one placeholder of the template.
std::string Fill(const std::string& placeholder, const std::string& value) {
  return "s|{{" + placeholder + "}}|" + value + "|g\n";
}

}  // namespace

void Record::Write(const std::string& line) {
  std::lock_guard lock(mutex_);
  std::chrono::duration<double> seconds = Clock::now() - start_;
  file_ << std::fixed << std::setprecision(3) << std::setw(8) << seconds.count()
        << " s  " << line << std::endl;
}

Trial::Trial(int argc, char** argv)
    : work_folder_(argc > 1 ? argv[1] : "."),
      record_(argc > 2 ? argv[2] : "record.txt") {
  const char* trouble = std::getenv("TROUBLE");
  trouble_ = trouble == nullptr || std::string_view(trouble) != "0";
  int count = argc > 3 ? std::atoi(argv[3]) : 1;
  for (int i = 1; i <= count; ++i) {
    Gateway gateway;
    gateway.name = "front-" + std::to_string(i);
    gateway.ip = OwnNetwork() + std::to_string(i);
    for (Address* address : {&gateway.callers, &gateway.ready,
                             &gateway.instance_list, &gateway.peers}) {
      *address = Address{gateway.ip, FindFreePort(gateway.ip)};
    }
    gateway.metrics_port = FindFreePort(gateway.ip);
    gateway.load_port =
        i == 1 ? FindFreePort(gateway.ip) : gateways_.front().load_port;
    gateways_.push_back(gateway);
  }
  record_.Write(trouble_ ? "with the disruption" : "without the disruption");
}

void Trial::AddServer(const std::string& id,
                      const std::string& service,
                      const std::string& stage,
                      int slots,
                      HttpServer::Handler handler) {
  servers_.push_back(std::make_unique<HttpServer>(std::move(handler)));
  Json row{{"Service", service},
           {"Address", servers_.back()->address().ToString()},
           {"Zone", kZone},
           {"Version", "1"},
           {"Slots", slots},
           {"State", "ready"},
           {"ColdRemainingMs", 0},
           {"Seq", 1},
           {"born", kServerStartMs}};
  if (!stage.empty()) {
    row["Stage"] = stage;
  }
  store_.Put("servers", id, row);
}

void Trial::WriteSettings(const Gateway& gateway) const {
  std::string seeds;
  for (const Gateway& seed : gateways_) {
    seeds += (seeds.empty() ? "" : ",") + seed.peers.ToString();
  }
  std::ofstream file(work_folder_ + "/" + gateway.name + ".sed");
  file << Fill("NodeName", gateway.name) << Fill("Zone", kZone)
       << Fill("Region", "region")
       << Fill("Listen.Front", gateway.callers.ToString())
       << Fill("Listen.Ready", gateway.ready.ToString())
       << Fill("Listen.Directory", gateway.instance_list.ToString())
       << Fill("Listen.Control", gateway.peers.ToString()) << "s|{{Ip}}:9464|"
       << gateway.ip << ":" << gateway.metrics_port << "|g\n"
       << Fill("PortRange.0", std::to_string(gateway.load_port))
       << Fill("Platform.Address", store_.address().ToString())
       << Fill("Seeds", seeds) << Fill("Bounds.RetryBudgetRatio", "0.2")
       << Fill("Bounds.BudgetSlack", "58") << Fill("Bounds.BudgetWindowS", "10")
       << Fill("Bounds.ttl_max_s", "5") << Fill("Bounds.GraceS", "8")
       << Fill("Bounds.ConfigApplyMs", "2000");
}

bool Trial::IsReady(const Gateway& gateway) {
  auto stream = TcpStream::Connect(gateway.ready, kReadyTimeout);
  HttpMessage response;
  return stream &&
         stream->Send(
             "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n"
             "Connection: close\r\n\r\n") &&
         ReadMessage(*stream, response, kReadyTimeout) == ReadEnd::kDone &&
         response.Status() == 200;
}

void Trial::Start(const Json& routes, const Json& services) {
  store_.Put("op", "config",
             Json{{"Version", 3},
                  {"Routes", routes},
                  {"Services", services},
                  {"Limits",
                   {{"MaxHeaderBytes", 16384},
                    {"MaxBodyBytes", 4194304},
                    {"HeaderTimeoutMs", 5000},
                    {"IdleTimeoutMs", 15000}}}});
  for (const Gateway& gateway : gateways_) {
    WriteSettings(gateway);
  }
  std::ofstream(work_folder_ + "/ready") << "\n";
  Clock::time_point deadline = Clock::now() + kStartTimeout;
  for (const Gateway& gateway : gateways_) {
    while (!IsReady(gateway)) {
      if (Clock::now() > deadline) {
        End(Verdict::kNotRun, gateway.name + " did not become ready");
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    record_.Write(gateway.name + " is ready, callers at " +
                  gateway.callers.ToString());
  }
}

void Trial::End(Verdict verdict, const std::string& why) {
  std::string line = verdict == Verdict::kBroken ? "BROKEN: "
                     : verdict == Verdict::kHeld ? "HELD: "
                                                 : "NOT RUN: ";
  record_.Write(line + why);
  std::cout << line << why << std::endl;
  // The threads of the stand-ins still run.
  _exit(static_cast<int>(verdict));
}

Json MakeRoute(const std::string& name,
               const std::string& prefix,
               const std::string& service,
               const std::string& kind,
               int timeout_ms,
               int target_latency_ms) {
  return Json{{"Name", name},
              {"Host", kHost},
              {"Prefix", prefix},
              {"Service", service},
              {"Kind", kind},
              {"TimeoutMs", timeout_ms},
              {"TargetLatencyMs", target_latency_ms},
              {"Priority", 1},
              {"MaxAttempts", 1}};
}

std::string MakeRequestHead(const std::string& method,
                            const std::string& path,
                            const std::string& id,
                            int deadline_ms,
                            const std::string& more) {
  return method + " " + path + " HTTP/1.1\r\nHost: " + kHost + "\r\n" +
         kRequestId + ": " + id +
         "\r\nX-Mangoyoke-Deadline-Ms: " + std::to_string(deadline_ms) +
         "\r\n" + more;
}

}  // namespace review
