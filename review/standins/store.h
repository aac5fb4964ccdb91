// A stand-in of the platform's store: tables of rows, full reads, and watches
// that wait for changes. It loses nothing and is never down.

#ifndef MANGOYOKE_REVIEW_STANDINS_STORE_H_
#define MANGOYOKE_REVIEW_STANDINS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "review/standins/http.h"

namespace review {

class Store {
 public:
  Store();

  const Address& address() const { return server_.address(); }
  // Writes a row with an empty part.
  void Put(const std::string& table,
           const std::string& key,
           const nlohmann::json& value);

 private:
  struct Row {
    std::string value;  // Encoded as base64.
    uint64_t version = 0;
  };

  bool Respond(TcpStream& stream, const HttpMessage& request);
  // Waits for at most `wait` until `table` has a row newer than `after`.
  void WaitForChange(const std::string& table, uint64_t after, Millis wait);
  // The rows of `table` newer than `after`. Requires the mutex.
  nlohmann::json NewerRows(const std::string& table, uint64_t after) const;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Row>> tables_;
  uint64_t version_ = 1;
  HttpServer server_;  // Last, as its threads use the members above.
};

}  // namespace review

#endif  // MANGOYOKE_REVIEW_STANDINS_STORE_H_
