// The platform's store, as far as the system reads it: the tables `op` and
// `servers`, with reads and long polls. The operator and the servers write to
// it through calls of this class.

#ifndef MANGOYOKE_REVIEW_STANDINS_3_STORE_H_
#define MANGOYOKE_REVIEW_STANDINS_3_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http_server.h"

namespace mangoyoke::review {

// Thread-safe.
class Store {
 public:
  // Listens at `ip`:`port`.
  Store(const std::string& ip, uint16_t port);
  ~Store();

  // Writes a row in a transaction of its own. A row of `servers` changes for
  // its readers only if more than its `Seq` does.
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Delete(const std::string& table, const std::string& key);
  // The version of the last transaction.
  uint64_t version();

  // The store is away: it accepts no connections.
  void GoAway();
  // The store comes back with all that it held.
  void ComeBack();
  // The store comes back from a copy that is `age_ms` old. Everything written
  // since is gone, and versions go on from those of the copy.
  void ComeBackFromCopy(int64_t age_ms);

 private:
  // A row at one version. A removed row has no value.
  struct Change {
    uint64_t version = 0;
    std::string key;
    std::string value;
    bool removed = false;
  };
  // The last change of each row, by table and key.
  using Tables = std::map<std::string, std::map<std::string, Change>>;
  struct Copy {
    int64_t at_ms = 0;
    uint64_t version = 0;
    Tables tables;
  };

  void Write(const std::string& table, Change change);
  // Whether `change` is a heartbeat: it changes nothing but `Seq`.
  bool IsHeartbeat(const std::string& table, const Change& change);
  bool Answer(Tcp::socket& socket, const Request& request);
  std::string Read(const Request& request);
  // Waits for a change as long as the request says. Empty: the store has not
  // got the version that it names.
  std::string Feed(const Request& request);
  std::string EncodeRows(const std::string& table, uint64_t after, bool feed);

  std::string ip_;
  uint16_t port_;
  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t version_ = 0;
  int64_t era_ = 1;
  bool away_ = false;
  Tables tables_;
  std::vector<Copy> copies_;  // One a transaction, oldest first.
  std::unique_ptr<HttpServer> server_;
};

}  // namespace mangoyoke::review

#endif  // MANGOYOKE_REVIEW_STANDINS_3_STORE_H_
