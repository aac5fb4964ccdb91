// A stand-in of the platform's store (PROTOCOL.md, "The platform's metadata
// store"): rows in tables, read as a whole or by long polls for changes. Writes
// are made by the process that holds it, in the place of the operator and of
// the servers.

#ifndef MANGOYOKE_REVIEW_STORE_H_
#define MANGOYOKE_REVIEW_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "net.h"

namespace review {

// Thread-safe. Serves until the process ends.
class Store {
 public:
  // Listens on a free port of 127.0.0.1.
  Store();

  std::string address() const;
  // Writes a row, or removes it if there is no value. Returns the time of the
  // acknowledgement.
  int64_t Put(const std::string& table,
              const std::string& key,
              std::optional<std::string> value);
  // While set, all calls get 503: the store is down and says so.
  void SetBusy(bool busy);

 private:
  struct Row {
    std::optional<std::string> value;  // Absent: removed.
    uint64_t version = 0;
  };

  void Serve();
  void ServeConnection(Socket connection);
  std::string Respond(const std::string& target);
  std::string Rows(const std::string& table, uint64_t after, bool changes);
  bool HasChanges(const std::string& table, uint64_t after) const;

  Socket listener_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool busy_ = false;
  uint64_t version_ = 1;
  std::map<std::string, std::map<std::string, Row>> tables_;
};

}  // namespace review

#endif  // MANGOYOKE_REVIEW_STORE_H_
