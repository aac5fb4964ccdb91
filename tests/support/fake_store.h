// A stand-in for the platform's store: tables with versions, a feed that waits
// for changes, and the troubles that a real one has.

#ifndef MANGOYOKE_TESTS_SUPPORT_FAKE_STORE_H_
#define MANGOYOKE_TESTS_SUPPORT_FAKE_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/net/http_listener.h"

namespace mangoyoke {

// The rows. Used on the event loop's thread, as are its doors.
class FakeStore {
 public:
  explicit FakeStore(boost::asio::io_context& io) : io_(io) {}

  // Writes a row; without a value, deletes it.
  void Put(const std::string& table,
           const std::string& key,
           std::optional<std::string> value);
  // Forgets the history: feeds from before now get 410.
  void DropHistory() { oldest_ = version_; }
  // Calls that wait for changes now are never answered.
  void AbandonPendingWatches();

 private:
  friend class FakeStoreEndpoint;

  struct Row {
    std::optional<std::string> value;  // Absent: deleted.
    uint64_t version = 0;
  };
  struct Waiting {
    std::string table;
    uint64_t after = 0;
    std::shared_ptr<HttpResponder> responder;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  HttpResponse Rows(const std::string& table, uint64_t after) const;
  void Watch(const std::string& table,
             uint64_t after,
             Millis wait,
             std::shared_ptr<HttpResponder> responder);
  bool HasChanges(const std::string& table, uint64_t after) const;

  boost::asio::io_context& io_;
  uint64_t version_ = 1;
  uint64_t oldest_ = 0;
  std::map<std::string, std::map<std::string, Row>> tables_;
  std::list<Waiting> waiting_;
  // Open but never answered.
  std::vector<std::shared_ptr<HttpResponder>> forgotten_;
};

// One address of the store. Each can refuse its callers by itself.
class FakeStoreEndpoint : public RequestHandler {
 public:
  FakeStoreEndpoint(boost::asio::io_context& io,
                    FakeStore& store,
                    const std::string& address);

  // While set, all calls get 503.
  void SetUnavailable(bool refusing) { refusing_ = refusing; }
  // While set, calls are read and not answered.
  void SetUnresponsive(bool silent) { silent_ = silent; }

  void OnRequest(HttpRequest request,
                 std::shared_ptr<HttpResponder> responder) override;
  CallerLimits Limits() const override { return CallerLimits{}; }
  HttpResponse MakeParseErrorResponse(const Error& error) const override;

 private:
  FakeStore& store_;
  HttpListener listener_;
  bool refusing_ = false;
  bool silent_ = false;
  std::vector<std::shared_ptr<HttpResponder>> unanswered_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_TESTS_SUPPORT_FAKE_STORE_H_
