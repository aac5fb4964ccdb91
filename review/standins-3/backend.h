// Servers as the pages describe them: one of a plain service, and model servers
// of the stages prefill and decode.

#ifndef MANGOYOKE_REVIEW_STANDINS_3_BACKEND_H_
#define MANGOYOKE_REVIEW_STANDINS_3_BACKEND_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "http_server.h"
#include "record.h"

namespace mangoyoke::review {

// How a decode server ends its streams.
enum class StreamEnd {
  kChunked,     // With the last chunk, after the last event.
  kConnection,  // With the connection: neither a length nor chunks.
};

struct BackendOptions {
  std::string id;
  std::string service;
  std::string ip;
  uint16_t port = 0;
  std::string stage;  // "prefill" or "decode"; empty: a plain service.
  int64_t born_ms = 0;
  int64_t work_ms = 60;       // Of a plain request, or of a prefill.
  int events = 70;            // Of a stream.
  int64_t event_gap_ms = 40;  // Between two of them.
  StreamEnd stream_end = StreamEnd::kChunked;
};

// The row with which a server registers. `state`: "ready" or "draining".
std::string ServerRow(const BackendOptions& options,
                      const std::string& state,
                      int64_t seq);

// What a stream's event with this number looks like.
std::string EventText(int number);

// One incarnation of a server, from its construction to its destruction.
class Backend {
 public:
  Backend(BackendOptions options, Record& record);

  const BackendOptions& options() const { return options_; }
  // The ids of the requests that it has run or runs.
  std::vector<std::string> Runs();
  // From now on all answers say that the server leaves.
  void SetLeaving() { leaving_ = true; }
  // Replaces the answer of a server of a plain service to the request `id`.
  using PlainWriter = std::function<
      bool(Tcp::socket&, const std::string& headers, const std::string& id)>;
  void SetPlainWriter(PlainWriter writer) { plain_writer_ = std::move(writer); }
  // Called before each run, and before each prefill. If it returns false the
  // connection is closed and the request isn't run.
  using RunHook = std::function<bool(const Request&)>;
  void SetRunHook(RunHook hook) { run_hook_ = std::move(hook); }
  // Closes all connections and accepts no more. Waits for the handlers.
  void Stop() { server_.reset(); }
  // The same, as at the end of the process. May be called by a handler.
  void Crash() { server_->Break(); }
  // Replaces the answer of a decode server to a request. Returns whether the
  // connection stays open.
  using StreamWriter =
      std::function<bool(Tcp::socket&, const std::string& head, int first)>;
  void SetStreamWriter(StreamWriter writer) { writer_ = std::move(writer); }

 private:
  bool Answer(Tcp::socket& socket, const Request& request);
  // Calls of the system itself. Returns nothing if the request is none.
  std::string AnswerOwnCall(const Request& request);
  bool AnswerPlain(Tcp::socket& socket, const Request& request);
  bool AnswerPrefill(Tcp::socket& socket, const Request& request);
  bool AnswerStream(Tcp::socket& socket, const Request& request);
  // The headers of each answer to `request`.
  std::string HeadersFor(const Request& request) const;
  std::string NewName(const std::string& kind);
  void RecordRun(const std::string& id, const std::string& how);

  BackendOptions options_;
  Record& record_;
  std::atomic<bool> leaving_ = false;
  std::atomic<int> names_ = 0;
  std::mutex mutex_;
  std::vector<std::string> runs_;  // Guarded by mutex_.
  StreamWriter writer_;
  PlainWriter plain_writer_;
  RunHook run_hook_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace mangoyoke::review

#endif  // MANGOYOKE_REVIEW_STANDINS_3_BACKEND_H_
