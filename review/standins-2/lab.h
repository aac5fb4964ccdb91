// A small deployment on loopback addresses: real gateway processes of the
// deploy file, backend servers as processes, and the store. A case plays its
// disruption on it and looks at what its clients and servers have seen.

#ifndef MANGOYOKE_REVIEW_LAB_H_
#define MANGOYOKE_REVIEW_LAB_H_

#include <sys/types.h>

#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "net.h"
#include "store.h"

namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// The bounds of the smallest deployment (SYSTEM.md, Association).
inline constexpr int64_t kContactMs = 3000;
inline constexpr int64_t kDrainMs = 2000;

// Whether the disruption is to be played; TROUBLE=0 plays the case without it.
bool Trouble();

// record.txt of the case. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path);
  // Writes a line with the time since the beginning; also to standard output
  // if `aloud`.
  void Line(const std::string& text, bool aloud = false);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  int64_t begun_ms_;
};

// What a client sends.
struct Request {
  std::string method = "POST";
  std::string path;
  std::string prompt_parts;  // "ID:TOKENS,..."; empty: no model request.
  int64_t deadline_ms = 4000;
};

// What came back.
struct Answer {
  std::string id;      // Of the request.
  size_t gateway = 0;  // That it was sent to.
  int64_t sent_ms = 0;
  int64_t ended_ms = 0;
  int status = 0;  // 0: no answer.
  std::string stamp;
  std::string body;
  bool complete = false;  // The end of the answer is marked.

  bool Succeeded() const { return status / 100 == 2; }
  // Complete events in the body.
  int Events() const;
};

// A line of a server's log.
struct ServerEvent {
  int64_t time_ms = 0;
  std::string what;  // "run", "done", "dies", "spoils", "caller-left".
  std::string request;
  std::string server;
};

// Ends all its processes when it is destroyed, and when this process ends.
class Lab {
 public:
  // `gateways`: how many, all in one zone.
  explicit Lab(size_t gateways);
  ~Lab();

  Store& store() { return store_; }
  size_t gateways() const { return gateway_pids_.size(); }

  // A route of a configuration.
  static nlohmann::json Route(const std::string& name,
                              const std::string& prefix,
                              const std::string& kind,
                              const std::string& service);
  // Puts the configuration; the services are those of the routes.
  void PutConfig(const nlohmann::json& routes);

  // Starts a server with a new id and registers it. Returns the id.
  // `options`: see backend_server.cc.
  std::string StartServer(const std::string& service,
                          const std::vector<std::string>& options,
                          uint16_t port = 0);
  // Kills the process of a server.
  void KillServer(const std::string& id);
  // Ids of servers that ended since the last call. Their rows stay.
  std::vector<std::string> TakeEndedServers();
  // Removes the row of a server. Returns the time of the acknowledgement.
  int64_t RemoveRow(const std::string& id);
  uint16_t PortOfServer(const std::string& id) const;

  // Starts the gateways and waits until all are ready. False if they are not
  // within some seconds.
  bool StartGateways();
  void Signal(size_t gateway, int signal);
  // The value of a metric of a gateway; nothing if there is no answer.
  std::optional<double> Metric(size_t gateway, const std::string& name);
  // Whether all gateways still run.
  bool GatewaysRun();

  // Sends a request to a gateway on a connection of its own, and waits.
  Answer Send(size_t gateway, const Request& request);

  // All lines of the servers' logs, by time.
  std::vector<ServerEvent> ServerEvents() const;

 private:
  pid_t Spawn(const std::vector<std::string>& command, const std::string& log);
  std::string WriteSettings(size_t gateway);
  std::string Ip(size_t gateway) const;
  uint16_t Port(int offset) const;
  static uint16_t FreePorts(size_t gateways);

  struct ServerProcess {
    pid_t pid = 0;
    uint16_t port = 0;
    bool ended = false;
  };

  std::string directory_;
  Store& store_;  // Never destroyed: its threads run until the process ends.
  uint16_t first_port_;
  std::vector<pid_t> gateway_pids_;
  std::map<std::string, ServerProcess> servers_;
  int next_server_ = 1;
  int revision_ = 0;
};

// Runs clients beside each other.
class Clients {
 public:
  explicit Clients(Lab& lab) : lab_(lab) {}
  ~Clients() { Join(); }

  // Sends the request from a thread of its own.
  void Send(size_t gateway, const Request& request, const std::string& group);
  // Waits for all answers.
  void Join();
  // Answers to the requests of a group, in the order of their end.
  std::vector<Answer> Answers(const std::string& group);
  // Writes a line for each request: when it was sent, where it ran, and what
  // came back.
  void WriteTo(Record& record, const std::vector<ServerEvent>& events);

 private:
  Lab& lab_;
  std::mutex mutex_;
  std::condition_variable ended_;
  int active_ = 0;  // Requests without an answer yet.
  std::map<std::string, std::vector<Answer>> answers_;
};

// Runs a case: `play` returns an exit code. An exception means that it could
// not run.
int RunCase(int argc,
            char** argv,
            const std::function<int(Record& record)>& play);

}  // namespace review

#endif  // MANGOYOKE_REVIEW_LAB_H_
