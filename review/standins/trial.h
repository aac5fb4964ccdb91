// One trial of the review: a small deployment of gateways, with stand-ins for
// the store, the backend servers and the clients, and a record of what happens.
//
// The trial writes one sed script for each gateway, which fills in the settings
// template of the repository. run-trial then starts the gateways.

#ifndef MANGOYOKE_REVIEW_STANDINS_TRIAL_H_
#define MANGOYOKE_REVIEW_STANDINS_TRIAL_H_

#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "review/standins/http.h"
#include "review/standins/store.h"

namespace review {

// Exit codes of a trial.
enum class Verdict { kHeld = 0, kBroken = 1, kNotRun = 2 };

// The host of all routes, which clients name.
inline constexpr char kHost[] = "calls.example";
inline constexpr char kZone[] = "zone-a";
inline constexpr char kRequestId[] = "X-Mangoyoke-Request-Id";
inline constexpr char kStamp[] = "X-Mangoyoke-Response-Stamp";

// Writes record.txt, a line for each event with the time since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point start_ = Clock::now();
};

class Trial {
 public:
  // Arguments: the work folder, the path of the record, the number of gateways.
  // The variable TROUBLE=0 leaves out the disruption.
  Trial(int argc, char** argv);

  // Whether the disruption is wanted.
  bool trouble() const { return trouble_; }
  size_t gateways() const { return gateways_.size(); }
  // Where clients reach gateway `index`.
  const Address& CallersOf(size_t index) const {
    return gateways_.at(index).callers;
  }
  Record& record() { return record_; }

  // Registers a ready server of `service`. `stage`: empty for plain services.
  void AddServer(const std::string& id,
                 const std::string& service,
                 const std::string& stage,
                 int slots,
                 HttpServer::Handler handler);
  // Writes the configuration, has the gateways started and waits until all are
  // ready. Ends the process with kNotRun if that takes too long.
  void Start(const nlohmann::json& routes, const nlohmann::json& services);
  // Writes `why` to the record and ends the process.
  [[noreturn]] void End(Verdict verdict, const std::string& why);

 private:
  struct Gateway {
    std::string name;
    std::string ip;
    Address callers;
    Address ready;
    Address instance_list;
    Address peers;
    uint16_t metrics_port = 0;
    uint16_t load_port = 0;
  };

  void WriteSettings(const Gateway& gateway) const;
  static bool IsReady(const Gateway& gateway);

  std::string work_folder_;
  bool trouble_ = true;
  Record record_;
  Store store_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::vector<Gateway> gateways_;
};

// A route of kHost in the configuration, with the figures of a small
// deployment.
nlohmann::json MakeRoute(const std::string& name,
                         const std::string& prefix,
                         const std::string& service,
                         const std::string& kind,
                         int timeout_ms,
                         int target_latency_ms);

// A request line and the header fields that every client sends. `more`: further
// lines, each with its line end. The caller adds the blank line and the body.
std::string MakeRequestHead(const std::string& method,
                            const std::string& path,
                            const std::string& id,
                            int deadline_ms,
                            const std::string& more);

}  // namespace review

#endif  // MANGOYOKE_REVIEW_STANDINS_TRIAL_H_
