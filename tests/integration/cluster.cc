// Implementation of the test harness.

#include "cluster.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "http/blocking_call.h"

namespace mangoyoke::testing {
namespace {

constexpr Millis kPollInterval{20};

std::string LoopbackAddress(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::vector<std::string> SplitWords(const std::string& text) {
  std::istringstream input(text);
  std::vector<std::string> words;
  for (std::string word; input >> word;) {
    words.push_back(word);
  }
  return words;
}

std::vector<std::string> Concat(std::vector<std::string> first,
                                const std::vector<std::string>& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

std::string StandinPath() {
  return MANGOYOKE_BINARY_DIR "/standin";
}

}  // namespace

Process::Process(const std::vector<std::string>& command,
                 const std::string& log) {
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  pid_ = ::fork();
  if (pid_ != 0) {
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // No child outlives a killed test.
  int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(fd, 1);
  ::dup2(fd, 2);
  for (int other = 3; other < 256; ++other) {
    ::close(other);
  }
  ::execv(arguments[0], arguments.data());
  ::_exit(127);
}

Process::~Process() {
  Kill();
}

void Process::SendSignal(int signal) const {
  if (pid_ > 0) {
    ::kill(pid_, signal);
  }
}

int Process::WaitForExit(Millis timeout) {
  int status = 0;
  bool ended = Eventually(
      [&] { return pid_ < 0 || ::waitpid(pid_, &status, WNOHANG) == pid_; },
      timeout);
  if (!ended) {
    return -1;
  }
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void Process::Kill() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

int FreePort() {
  static int next = 15000 + (::getpid() * 37) % 10000;
  while (true) {
    next = next >= 32000 ? 15000 : next + 1;
    int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(next));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bool free =
        ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    if (free) {
      return next;
    }
  }
}

ClientResponse SendHttpRequest(const std::string& method,
                               const std::string& url,
                               const std::string& body,
                               const HttpHeaders& headers,
                               Millis timeout) {
  ClientRequest request;
  request.method = method;
  request.url = url;
  request.body = body;
  request.headers = headers;
  request.timeout = timeout;
  return CallAndWait(std::move(request));
}

Json SendJsonRequest(const std::string& method,
                     const std::string& url,
                     const Json& body) {
  ClientResponse response = SendHttpRequest(method, url, body.dump());
  Json json = Json::parse(response.body, nullptr, false);
  return json.is_object() ? json : Json::object();
}

std::string ErrorReason(const ClientResponse& response) {
  Json body = Json::parse(response.body, nullptr, false);
  return body.is_object() && body.contains("error")
             ? body["error"].value("reason", "")
             : "status " + std::to_string(response.status);
}

bool Eventually(const std::function<bool()>& condition, Millis timeout) {
  TimePoint end = SteadyClock::now() + timeout;
  while (!condition()) {
    if (SteadyClock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

Cluster::Cluster(ClusterOptions options) : options_(std::move(options)) {
  std::string name =
      (std::filesystem::temp_directory_path() / "mangoyoke-XXXXXX").string();
  directory_ = ::mkdtemp(name.data());
  platform_port_ = FreePort();
  platform_ = std::make_unique<Process>(
      std::vector<std::string>{StandinPath(), "platform", "--listen",
                               LoopbackAddress(platform_port_)},
      directory_ + "/platform.log");
  StartEngines();
  StartServices();
  for (int i = 0; i < options_.instances; ++i) {
    caller_ports_.push_back(FreePort());
    admin_ports_.push_back(FreePort());
    peer_ports_.push_back(FreePort());
    advertised_peer_ports_.push_back(peer_ports_.back());
    instance_proxy_admin_ports_.push_back(0);
    if (options_.proxied_instances) {
      advertised_peer_ports_.back() = FreePort();
      instance_proxy_admin_ports_.back() = FreePort();
      proxies_.push_back(std::make_unique<Process>(
          std::vector<std::string>{
              StandinPath(), "proxy", "--listen",
              LoopbackAddress(advertised_peer_ports_.back()), "--target",
              LoopbackAddress(peer_ports_.back()), "--admin",
              LoopbackAddress(instance_proxy_admin_ports_.back())},
          directory_ + "/proxy.log"));
    }
  }
  for (int i = 0; i < options_.instances; ++i) {
    StartInstance(i);
  }
  Eventually([this] {
    return SendHttpRequest("GET", PlatformUrl() + "/admin/stats").Succeeded();
  });
  for (int i = 0; i < options_.instances; ++i) {
    Eventually([this, i] {
      return GetStatus(i)["members"].size() ==
             static_cast<size_t>(options_.instances);
    });
  }
  if (options_.submit_plan) {
    SubmitPlan(0, PlanText(), 0, "initial");
    Eventually([this] { return IsActiveEverywhere(1); });
  }
}

Cluster::~Cluster() {
  instances_.clear();
  engines_.clear();
  services_.clear();
  proxies_.clear();
  platform_.reset();
  std::filesystem::remove_all(directory_);
}

void Cluster::StartEngines() {
  auto start = [this](const std::string& id, const std::string& role,
                      int number) {
    engine_ports_[id] = FreePort();
    std::vector<std::string> command{
        StandinPath(), "engine",
        "--role",      role,
        "--listen",    LoopbackAddress(engine_ports_[id]),
        "--seed",      std::to_string(number)};
    engines_[id] = std::make_unique<Process>(
        Concat(command, SplitWords(options_.engine_flags)),
        directory_ + "/" + id + ".log");
  };
  for (int i = 0; i < options_.prefill_engines; ++i) {
    start("p" + std::to_string(i), "prefill", i);
  }
  for (int i = 0; i < options_.decode_engines; ++i) {
    start("d" + std::to_string(i), "decode", i);
  }
}

void Cluster::StartServices() {
  for (int i = 0; i < options_.service_servers; ++i) {
    service_ports_.push_back(FreePort());
    advertised_service_ports_.push_back(service_ports_.back());
    service_proxy_admin_ports_.push_back(0);
    services_.push_back(std::make_unique<Process>(
        std::vector<std::string>{StandinPath(), "service", "--listen",
                                 LoopbackAddress(service_ports_.back())},
        directory_ + "/service.log"));
    if (options_.proxied_services) {
      advertised_service_ports_.back() = FreePort();
      service_proxy_admin_ports_.back() = FreePort();
      proxies_.push_back(std::make_unique<Process>(
          std::vector<std::string>{
              StandinPath(), "proxy", "--listen",
              LoopbackAddress(advertised_service_ports_.back()), "--target",
              LoopbackAddress(service_ports_.back()), "--admin",
              LoopbackAddress(service_proxy_admin_ports_.back())},
          directory_ + "/proxy.log"));
    }
  }
}

void Cluster::StartInstance(int index) {
  std::string name = "entry" + std::to_string(index);
  std::string path = directory_ + "/" + name + ".ini";
  std::ofstream settings(path);
  settings << "[instance]\nid = " << name << "\nzone = zone"
           << index % options_.zones
           << "\n[listen]\ncallers = " << LoopbackAddress(caller_ports_[index])
           << "\npeers = " << LoopbackAddress(peer_ports_[index])
           << "\nadvertised_peers = "
           << LoopbackAddress(advertised_peer_ports_[index])
           << "\nadmin = " << LoopbackAddress(admin_ports_[index])
           << "\n[platform]\nurl = " << PlatformUrl() << "\n[peers]\nknown = ";
  for (int port : advertised_peer_ports_) {
    settings << LoopbackAddress(port) << ",";
  }
  settings << "\n" << options_.instance_settings;
  settings.close();
  instances_[index] = std::make_unique<Process>(
      std::vector<std::string>{MANGOYOKE_BINARY_DIR "/mangoyoked", path},
      directory_ + "/" + name + ".log");
  bool started = Eventually([this, index] {
    return SendHttpRequest("GET", AdminUrl(index) + "/admin/status", "", {},
                           Millis(500))
        .Succeeded();
  });
  if (!started) {
    throw std::runtime_error(
        name + " did not respond on its admin port within 10 s; its log: " +
        ReadLogTail(name));
  }
}

std::string Cluster::CallerAddress(int index) const {
  return LoopbackAddress(caller_ports_.at(index));
}

std::string Cluster::AdminUrl(int index) const {
  return "http://" + LoopbackAddress(admin_ports_.at(index));
}

std::string Cluster::PlatformUrl() const {
  return "http://" + LoopbackAddress(platform_port_);
}

std::string Cluster::EngineUrl(const std::string& id) const {
  return "http://" + LoopbackAddress(engine_ports_.at(id));
}

std::string Cluster::ServiceUrl(int index) const {
  return "http://" + LoopbackAddress(service_ports_.at(index));
}

std::vector<std::string> Cluster::EngineIds() const {
  std::vector<std::string> ids;
  for (const auto& [id, port] : engine_ports_) {
    ids.push_back(id);
  }
  return ids;
}

void Cluster::SetBehavior(const std::string& url, const Json& behavior) {
  SendHttpRequest("POST", url + "/admin/behavior", behavior.dump());
}

void Cluster::SetPeerFault(int index, const Json& fault) {
  SendHttpRequest("POST",
                  "http://" +
                      LoopbackAddress(instance_proxy_admin_ports_.at(index)) +
                      "/fault",
                  fault.dump());
}

void Cluster::SetServiceFault(int index, const Json& fault) {
  SendHttpRequest("POST",
                  "http://" +
                      LoopbackAddress(service_proxy_admin_ports_.at(index)) +
                      "/fault",
                  fault.dump());
}

std::string Cluster::PlanText(const std::string& extra) const {
  std::ostringstream plan;
  plan << "[plan]\nname = test\n[model assistant]\n"
       << "[service bookings]\n"
       << options_.service_extra
       << "[route lookup]\nservice = bookings\nmethod = GET\npath = /\n"
       << "idempotent = yes\n";
  for (const auto& [id, port] : engine_ports_) {
    plan << "[backend " << id << "]\nurl = " << EngineUrl(id) << "\nzone = zone"
         << port % options_.zones
         << "\nrole = " << (id[0] == 'p' ? "prefill" : "decode")
         << "\nmodel = assistant\n";
  }
  for (size_t i = 0; i < advertised_service_ports_.size(); ++i) {
    plan << "[backend s" << i << "]\nurl = http://"
         << LoopbackAddress(advertised_service_ports_[i])
         << "\nzone = zone0\nservice = bookings\n";
  }
  plan << options_.plan_extra << extra;
  return plan.str();
}

ClientResponse Cluster::SubmitPlan(int index,
                                   const std::string& text,
                                   int base,
                                   const std::string& id) {
  return SendHttpRequest(
      "POST", AdminUrl(index) + "/admin/plan",
      Json{{"text", text}, {"base", base}, {"submission_id", id}}.dump());
}

Json Cluster::GetStatus(int index) {
  ClientResponse response = SendHttpRequest(
      "GET", AdminUrl(index) + "/admin/status", "", {}, Millis(1000));
  Json json = Json::parse(response.body, nullptr, false);
  return json.is_object() ? json : Json::object();
}

int64_t Cluster::GetPlanRevision(int index) {
  return GetStatus(index).value("revision", int64_t{-1});
}

bool Cluster::IsActiveEverywhere(int64_t revision) {
  for (const auto& [index, process] : instances_) {
    if (process->pid() > 0 && GetPlanRevision(index) < revision) {
      return false;
    }
  }
  return true;
}

double Cluster::ReadCounter(int index, const std::string& name) {
  std::istringstream page(
      SendHttpRequest("GET", AdminUrl(index) + "/metrics").body);
  for (std::string line; std::getline(page, line);) {
    if (line.starts_with(name + " ")) {
      return std::stod(line.substr(name.size() + 1));
    }
  }
  return 0;
}

ClientResponse Cluster::SendCompletion(int index,
                                       const std::string& prompt,
                                       int tokens,
                                       const HttpHeaders& headers) {
  return SendHttpRequest(
      "POST", "http://" + CallerAddress(index) + "/v1/completions",
      Json{{"model", "assistant"}, {"prompt", prompt}, {"max_tokens", tokens}}
          .dump(),
      headers, Millis(30'000));
}

ClientResponse Cluster::SendBooking(int index,
                                    const std::string& key,
                                    Millis timeout) {
  return SendHttpRequest(
      "POST", "http://" + CallerAddress(index) + "/services/bookings/book",
      "{}", {{"Idempotency-Key", key}}, timeout);
}

std::string Cluster::GetTicket(int index) {
  Json instance_list =
      SendJsonRequest("GET", "http://" + CallerAddress(index) + "/v1/entries");
  for (const Json& item : instance_list.value("entries", Json::array())) {
    if (item.value("instance", "") == "entry" + std::to_string(index)) {
      return item.value("ticket", "");
    }
  }
  return "";
}

int64_t Cluster::ExecutionCount(const std::string& key) {
  int64_t total = 0;
  for (size_t i = 0; i < service_ports_.size(); ++i) {
    Json body = SendJsonRequest(
        "GET", ServiceUrl(static_cast<int>(i)) + "/admin/executions");
    total += body.value("keys", Json::object()).value(key, int64_t{0});
  }
  return total;
}

Json Cluster::RunLoad(const std::string& flags,
                      const std::function<void()>& meanwhile) {
  std::vector<std::string> command{StandinPath(), "load", "--entries"};
  std::string addresses;
  for (size_t i = 0; i < caller_ports_.size(); ++i) {
    addresses += (i == 0 ? "" : ",") + CallerAddress(static_cast<int>(i));
  }
  command.push_back(addresses);
  std::string urls;
  for (size_t i = 0; i < service_ports_.size(); ++i) {
    urls += (i == 0 ? "" : ",") + ServiceUrl(static_cast<int>(i));
  }
  if (!urls.empty()) {
    command.insert(command.end(), {"--service-urls", urls});
  }
  std::string log = directory_ + "/load.log";
  std::filesystem::remove(log);
  Process load(Concat(command, SplitWords(flags)), log);
  if (meanwhile) {
    meanwhile();
  }
  int code = load.WaitForExit(Millis(90'000));
  std::ifstream report(log);
  Json json = Json::parse(report, nullptr, false);
  if (!json.is_object()) {
    throw std::runtime_error(
        "the load generator printed no report, exit code " +
        std::to_string(code) + ": " + ReadLogTail("load"));
  }
  return json;
}

double Cluster::SumEngineStats(const std::string& name) {
  double sum = 0;
  for (const auto& [id, process] : engines_) {
    if (process->pid() > 0) {
      sum += SendJsonRequest("GET", EngineUrl(id) + "/admin/stats")
                 .value(name, 0.0);
    }
  }
  return sum;
}

bool Cluster::EnginesIdle() {
  return SumEngineStats("kv_held_tokens") == 0 &&
         SumEngineStats("running") == 0 && SumEngineStats("queued") == 0;
}

std::vector<std::vector<int64_t>> Cluster::ActivatedRevisions(int index) const {
  constexpr std::string_view kRevision = " revision=";
  std::ifstream input(directory_ + "/entry" + std::to_string(index) + ".log");
  std::vector<std::vector<int64_t>> runs;
  for (std::string line; std::getline(input, line);) {
    if (line.find(" event=started") != std::string::npos || runs.empty()) {
      runs.emplace_back();
    }
    size_t at = line.find(kRevision);
    if (line.find(" event=plan_in_force") != std::string::npos &&
        at != std::string::npos) {
      runs.back().push_back(std::stoll(line.substr(at + kRevision.size())));
    }
  }
  return runs;
}

std::string Cluster::ReadLogTail(const std::string& name) const {
  std::ifstream input(directory_ + "/" + name + ".log");
  std::ostringstream text;
  text << input.rdbuf();
  std::string all = text.str();
  constexpr size_t kMaxBytes = 4000;
  return all.size() > kMaxBytes ? all.substr(all.size() - kMaxBytes) : all;
}

}  // namespace mangoyoke::testing
