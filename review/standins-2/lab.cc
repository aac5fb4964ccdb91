// Starts and ends the processes, and sends the clients' requests.

#include "lab.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

using Json = nlohmann::json;

// Of the ports of a gateway; the same on all machines of a day.
enum PortOffset { kFront, kReady, kDirectory, kControl, kMetrics, kLoad };
constexpr int kPorts = 6;

constexpr const char* kGateway = "target/mangoyoke-gateway";
constexpr const char* kServer = "target/review-2/backend_server";
constexpr const char* kTemplate = "platform/settings.ini.template";
constexpr int kConnectMs = 1000;
constexpr int64_t kStartMs = 10'000;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

uint64_t Random() {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  std::lock_guard lock(mutex);
  return random();
}

std::string NewRequestId() {
  std::ostringstream id;
  id << std::hex << Random();
  return id.str();
}

bool IsPortFree(const std::string& ip, uint16_t port) {
  return Listen(ip, port).valid() && IsUdpPortFree(ip, port);
}

}  // namespace

bool Trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Record::Record(const std::string& path) : file_(path), begun_ms_(NowMs()) {}

void Record::Line(const std::string& text, bool aloud) {
  std::lock_guard lock(mutex_);
  file_ << NowMs() - begun_ms_ << " ms: " << text << std::endl;
  if (aloud) {
    std::cout << text << std::endl;
  }
}

int Answer::Events() const {
  int events = 0;
  for (size_t at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 1)) {
    ++events;
  }
  return events;
}

Lab::Lab(size_t gateways)
    : store_(*new Store),
      first_port_(FreePorts(gateways)),
      gateway_pids_(gateways, 0) {
  std::string name =
      (std::filesystem::temp_directory_path() / "mangoyoke-review-XXXXXX")
          .string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  directory_ = name;
}

Lab::~Lab() {
  for (pid_t pid : gateway_pids_) {
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  for (auto& [id, server] : servers_) {
    if (!server.ended) {
      kill(server.pid, SIGKILL);
      waitpid(server.pid, nullptr, 0);
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(directory_, ignored);
}

std::string Lab::Ip(size_t gateway) const {
  constexpr size_t kFirst = 11;
  return "127.0.0." + std::to_string(kFirst + gateway);
}

uint16_t Lab::Port(int offset) const {
  return static_cast<uint16_t>(first_port_ + offset);
}

uint16_t Lab::FreePorts(size_t gateways) {
  constexpr int kTries = 200;
  for (int i = 0; i < kTries; ++i) {
    auto first = static_cast<uint16_t>(20'000 + Random() % 1000 * 10);
    bool free = true;
    for (size_t gateway = 0; gateway < gateways && free; ++gateway) {
      for (int port = 0; port < kPorts && free; ++port) {
        free = IsPortFree("127.0.0." + std::to_string(11 + gateway),
                          static_cast<uint16_t>(first + port));
      }
    }
    if (free) {
      return first;
    }
  }
  throw std::runtime_error("no free ports");
}

pid_t Lab::Spawn(const std::vector<std::string>& command,
                 const std::string& log) {
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  pid_t parent = getpid();
  pid_t pid = fork();
  if (pid != 0) {
    return pid;
  }
  // The process ends with this one, however that ends.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) {
    _exit(EXIT_FAILURE);
  }
  int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  execv(arguments[0], arguments.data());
  _exit(EXIT_FAILURE);
}

Json Lab::Route(const std::string& name,
                const std::string& prefix,
                const std::string& kind,
                const std::string& service) {
  bool stream = kind == "streaming";
  Json route{{"Name", name},
             {"Host", "h.example"},
             {"Prefix", prefix},
             {"Kind", kind},
             {"Service", service},
             {"TimeoutMs", stream ? 14'000 : 4000},
             {"TargetLatencyMs", stream ? 900 : 300},
             {"Priority", 1},
             {"MaxAttempts", 1}};
  if (stream) {
    route["Sticky"] = true;
    route["Resumable"] = false;
    route["TargetGapMs"] = 300;
  }
  return route;
}

void Lab::PutConfig(const Json& routes) {
  Json services = Json::array();
  std::set<std::string> names;
  for (const Json& route : routes) {
    if (names.insert(route["Service"]).second) {
      services.push_back({{"Name", route["Service"]},
                          {"HealthPath", "/healthz"},
                          {"MaxConnections", 370},
                          {"Protocol", "h1"},
                          {"Tls", false}});
    }
  }
  revision_ += 3;
  store_.Put("op", "config",
             Json{{"Version", revision_},
                  {"Routes", routes},
                  {"Services", services},
                  {"Limits",
                   {{"MaxHeaderBytes", 16'384},
                    {"MaxBodyBytes", 4'194'304},
                    {"HeaderTimeoutMs", 3000},
                    {"IdleTimeoutMs", 15'000}}}}
                 .dump());
}

std::string Lab::StartServer(const std::string& service,
                             const std::vector<std::string>& options,
                             uint16_t port) {
  constexpr int kSlots = 64;
  if (port == 0) {
    port = PortOf(Listen("127.0.0.1", 0));
  }
  std::string id = "i-" + std::to_string(next_server_++);
  std::vector<std::string> command{kServer,
                                   "--id",
                                   id,
                                   "--port",
                                   std::to_string(port),
                                   "--log",
                                   directory_ + "/" + id + ".events"};
  command.insert(command.end(), options.begin(), options.end());
  servers_[id] = ServerProcess{Spawn(command, directory_ + "/" + id + ".out"),
                               port, false};
  int64_t until = NowMs() + kStartMs;
  while (!Connect("127.0.0.1", port, kConnectMs).valid()) {
    if (NowMs() > until) {
      throw std::runtime_error("a server does not start");
    }
    SleepMs(10);
  }
  auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
  store_.Put("servers", id,
             Json{{"Service", service},
                  {"Address", "127.0.0.1:" + std::to_string(port)},
                  {"Zone", "zone-a"},
                  {"Version", "v1"},
                  {"Slots", kSlots},
                  {"State", "ready"},
                  {"ColdRemainingMs", 0},
                  {"Seq", 1},
                  {"born", born}}
                 .dump());
  return id;
}

void Lab::KillServer(const std::string& id) {
  kill(servers_.at(id).pid, SIGKILL);
}

std::vector<std::string> Lab::TakeEndedServers() {
  std::vector<std::string> ended;
  for (auto& [id, server] : servers_) {
    if (!server.ended && waitpid(server.pid, nullptr, WNOHANG) == server.pid) {
      server.ended = true;
      ended.push_back(id);
    }
  }
  return ended;
}

int64_t Lab::RemoveRow(const std::string& id) {
  return store_.Put("servers", id, std::nullopt);
}

uint16_t Lab::PortOfServer(const std::string& id) const {
  return servers_.at(id).port;
}

std::string Lab::WriteSettings(size_t gateway) {
  auto listen = [&](int offset) {
    return Ip(gateway) + ":" + std::to_string(Port(offset));
  };
  std::string seeds;
  for (size_t i = 0; i < std::min<size_t>(3, gateways()); ++i) {
    seeds += (i == 0 ? "" : ",") + Ip(i) + ":" + std::to_string(Port(kControl));
  }
  const std::map<std::string, std::string> fields{
      {"NodeName", "front-zone-a-" + std::to_string(gateway + 1)},
      {"Zone", "zone-a"},
      {"Region", "region"},
      {"Ip", Ip(gateway)},
      {"Listen.Front", listen(kFront)},
      {"Listen.Ready", listen(kReady)},
      {"Listen.Directory", listen(kDirectory)},
      {"Listen.Control", listen(kControl)},
      {"PortRange.0", std::to_string(Port(kLoad))},
      {"Platform.Address", store_.address()},
      {"Seeds", seeds},
      {"Bounds.RetryBudgetRatio", "0.2"},
      {"Bounds.BudgetSlack", "58"},
      {"Bounds.BudgetWindowS", "10"},
      {"Bounds.ttl_max_s", "5"},
      {"Bounds.GraceS", "8"},
      {"Bounds.ConfigApplyMs", "2000"},
      {"Limits.MemoryMb", "110"}};
  std::string settings = ReadFile(kTemplate);
  for (size_t at = settings.find("{{"); at != std::string::npos;
       at = settings.find("{{")) {
    size_t end = settings.find("}}", at);
    auto field = fields.find(settings.substr(at + 2, end - at - 2));
    settings.replace(at, end + 2 - at,
                     field == fields.end() ? "" : field->second);
  }
  // The port of the metrics is fixed in the template; other programs may have
  // it here.
  if (size_t at = settings.find(":9464"); at != std::string::npos) {
    settings.replace(at, 5, ":" + std::to_string(Port(kMetrics)));
  }
  std::string path =
      directory_ + "/settings-" + std::to_string(gateway + 1) + ".ini";
  std::ofstream(path) << settings;
  return path;
}

bool Lab::StartGateways() {
  for (size_t i = 0; i < gateways(); ++i) {
    gateway_pids_[i] =
        Spawn({kGateway, WriteSettings(i)},
              directory_ + "/gateway-" + std::to_string(i + 1) + ".log");
  }
  int64_t until = NowMs() + kStartMs;
  for (size_t i = 0; i < gateways(); ++i) {
    bool ready = false;
    while (!ready && NowMs() < until) {
      Socket connection = Connect(Ip(i), Port(kReady), kConnectMs);
      std::string buffer;
      if (connection.valid() &&
          connection.Write("GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n")) {
        auto head = ReadHead(connection, buffer, NowMs() + kConnectMs);
        ready = head && head->Word(1) == "200";
      }
      SleepMs(20);
    }
    if (!ready) {
      return false;
    }
  }
  return true;
}

void Lab::Signal(size_t gateway, int signal) {
  kill(gateway_pids_[gateway], signal);
}

std::optional<double> Lab::Metric(size_t gateway, const std::string& name) {
  Socket connection = Connect(Ip(gateway), Port(kMetrics), kConnectMs);
  std::string buffer;
  std::string body;
  if (!connection.valid() ||
      !connection.Write("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")) {
    return std::nullopt;
  }
  int64_t deadline = NowMs() + kConnectMs;
  auto head = ReadHead(connection, buffer, deadline);
  if (!head || ReadBody(connection, buffer, *head, true, body, deadline) ==
                   BodyEnd::kCut) {
    return std::nullopt;
  }
  for (const std::string& line : Split(body, '\n')) {
    if (line.starts_with(name + " ")) {
      return std::atof(line.c_str() + name.size());
    }
  }
  return std::nullopt;
}

bool Lab::GatewaysRun() {
  return std::all_of(gateway_pids_.begin(), gateway_pids_.end(),
                     [](pid_t pid) { return kill(pid, 0) == 0; });
}

Answer Lab::Send(size_t gateway, const Request& request) {
  constexpr int64_t kMarginMs = 500;
  Answer answer;
  answer.id = NewRequestId();
  answer.gateway = gateway;
  answer.sent_ms = NowMs();
  int64_t deadline = answer.sent_ms + request.deadline_ms + kMarginMs;
  std::string body(request.method == "POST" ? 600 : 0, 'b');
  std::string head = request.method + " " + request.path +
                     " HTTP/1.1\r\nHost: h.example\r\n"
                     "Connection: close\r\nX-Mangoyoke-Request-Id: " +
                     answer.id + "\r\nX-Mangoyoke-Deadline-Ms: " +
                     std::to_string(request.deadline_ms) + "\r\n";
  if (!request.prompt_parts.empty()) {
    head +=
        "X-Mangoyoke-Model: m\r\nX-Mangoyoke-Token-Counts: 1200,70\r\n"
        "X-Mangoyoke-Prompt-Prefix: " +
        request.prompt_parts + "\r\n";
  }
  head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  Socket connection = Connect(Ip(gateway), Port(kFront), kConnectMs);
  std::string buffer;
  if (connection.valid() && connection.Write(head + body)) {
    if (auto received = ReadHead(connection, buffer, deadline)) {
      answer.status = std::atoi(received->Word(1).c_str());
      answer.stamp = received->Field("x-mangoyoke-response-stamp");
      BodyEnd end =
          ReadBody(connection, buffer, *received, true, answer.body, deadline);
      answer.complete = end != BodyEnd::kCut;
    }
  }
  answer.ended_ms = NowMs();
  return answer;
}

std::vector<ServerEvent> Lab::ServerEvents() const {
  std::vector<ServerEvent> events;
  for (const auto& [id, server] : servers_) {
    std::ifstream file(directory_ + "/" + id + ".events");
    ServerEvent event;
    std::string method;
    std::string path;
    std::string line;
    while (std::getline(file, line)) {
      std::istringstream words(line);
      words >> event.time_ms >> event.what >> event.request >> method >> path;
      event.server = id;
      events.push_back(event);
    }
  }
  std::sort(events.begin(), events.end(),
            [](const auto& a, const auto& b) { return a.time_ms < b.time_ms; });
  return events;
}

void Clients::Send(size_t gateway,
                   const Request& request,
                   const std::string& group) {
  {
    std::lock_guard lock(mutex_);
    ++active_;
  }
  std::thread([this, gateway, request, group] {
    Answer answer = lab_.Send(gateway, request);
    std::lock_guard lock(mutex_);
    answers_[group].push_back(std::move(answer));
    --active_;
    ended_.notify_all();
  }).detach();
}

void Clients::Join() {
  std::unique_lock lock(mutex_);
  ended_.wait(lock, [this] { return active_ == 0; });
}

std::vector<Answer> Clients::Answers(const std::string& group) {
  std::lock_guard lock(mutex_);
  return answers_[group];
}

void Clients::WriteTo(Record& record, const std::vector<ServerEvent>& events) {
  std::map<std::string, std::string> run_at;
  for (const ServerEvent& event : events) {
    if (event.what == "run") {
      run_at[event.request] +=
          " " + event.server + " at " + std::to_string(event.time_ms);
    }
  }
  std::lock_guard lock(mutex_);
  for (const auto& [group, answers] : answers_) {
    for (const Answer& answer : answers) {
      auto run = run_at.find(answer.id);
      record.Line(group + " " + answer.id + " sent at " +
                  std::to_string(answer.sent_ms) + " to gateway " +
                  std::to_string(answer.gateway + 1) + ", run by" +
                  (run == run_at.end() ? " none" : run->second) +
                  ", answered at " + std::to_string(answer.ended_ms) +
                  ": status " + std::to_string(answer.status) + ", stamp '" +
                  answer.stamp + "', " + std::to_string(answer.body.size()) +
                  " bytes, " + (answer.complete ? "complete" : "cut off"));
    }
  }
}

int RunCase(int argc,
            char** argv,
            const std::function<int(Record& record)>& play) {
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " RECORD\n";
    return kCouldNotRun;
  }
  // A signal ends this process and with it those that it started.
  Record record(argv[1]);
  record.Line(Trouble() ? "with the disruption" : "without the disruption",
              true);
  try {
    int code = play(record);
    record.Line(code == kHeld     ? "the rule held"
                : code == kBroken ? "the rule is broken"
                                  : "the case could not run",
                true);
    return code;
  } catch (const std::exception& exception) {
    record.Line(std::string("the case could not run: ") + exception.what(),
                true);
    return kCouldNotRun;
  }
}

}  // namespace review
