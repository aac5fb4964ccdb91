// Callers that keep connections open and send requests all the time, in several
// manners, and record how each request ended. They keep to the limits of the
// configuration, as the platform's callers do.

#ifndef MANGOYOKE_TESTS_SUPPORT_STEADY_CALLERS_H_
#define MANGOYOKE_TESTS_SUPPORT_STEADY_CALLERS_H_

// Before awaitable.hpp, which uses it without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "mangoyoke/clock.h"

namespace mangoyoke {

// How a caller sends its requests.
enum class SendingManner {
  kKept,           // One connection for all requests.
  kNew,            // A new connection for each.
  kSlowBody,       // A body in pieces, with its length.
  kSlowChunks,     // A body in pieces, in chunks.
  kNearIdleLimit,  // Each just before the idle connection would be too old.
};

// How a request ended for its caller.
enum class CallerOutcome {
  kServed,       // A server's whole answer, and the right one.
  kRefused,      // 408, 421, 429 or 503: promises that it was not executed.
  kError,        // Another status.
  kNoAnswer,     // The connection closed before a byte of the answer.
  kCutAnswer,    // The connection closed within the answer.
  kTooLate,      // No whole answer when the deadline was over.
  kWrongAnswer,  // Something that does not belong to the request.
};

// Returns the name of `manner`, or of `outcome`, for messages.
const char* NameOf(SendingManner manner);
const char* NameOf(CallerOutcome outcome);

// What a group of callers asks for.
struct CallerGroup {
  int callers = 0;
  SendingManner manner = SendingManner::kKept;
  std::string prefix;
  // Number of events of the answer; 0: the answer is no event stream.
  int events = 0;
  Millis deadline{0};
};

// One request, as its caller saw it.
struct CallerRecord {
  std::string id;
  const CallerGroup* group = nullptr;
  int port = 0;
  bool kept_connection = false;  // It was not the connection's first request.
  Duration idle{};               // Of the kept connection, before the request.
  TimePoint begun;
  std::optional<TimePoint> sent;  // When the last byte was written.
  TimePoint ended;
  int status = 0;
  CallerOutcome outcome = CallerOutcome::kServed;
  std::string detail;
};

// What callers know of the system; used on their thread.
struct CallerKnowledge {
  std::vector<int> ports;  // Of the instances to use.
  Millis idle_limit{0};
  bool stopping = false;
};

// One caller. Sends one request after the other until it is told to stop.
class SteadyCaller {
 public:
  SteadyCaller(boost::asio::io_context& io,
               const CallerKnowledge& knowledge,
               const CallerGroup& group,
               const std::string& name,
               uint64_t seed,
               std::vector<CallerRecord>& records);
  boost::asio::awaitable<void> Run();

 private:
  using Awaitable = boost::asio::awaitable<void>;

  bool KeepsConnection() const;
  bool InPieces() const;
  int Random(int from, int to);
  // A time that the caller waits before its next request.
  Duration ThinkTime();
  Awaitable Sleep(Duration time);
  // Refreshes the ports that this caller uses. Some callers do so seldom.
  void UpdatePorts();
  bool ConnectionUsable();
  Awaitable Connect();
  Awaitable SendRequest();
  Awaitable SendPieces();
  Awaitable ReadAnswer();
  void CheckAnswer(int status,
                   const std::string& id,
                   bool stamped,
                   const std::string& body);
  std::string ExpectedBody() const;
  std::string Head(size_t body_size) const;

  boost::asio::io_context& io_;
  const CallerKnowledge& knowledge_;
  const CallerGroup& group_;
  std::string name_;
  std::mt19937_64 random_;
  std::vector<CallerRecord>& records_;
  std::vector<int> ports_;
  Duration ports_ttl_;
  TimePoint ports_read_{};
  std::unique_ptr<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_;
  int port_ = 0;
  int requests_on_connection_ = 0;
  TimePoint idle_since_{};
  int requests_ = 0;
  std::string body_;
  CallerRecord record_;
};

// Runs groups of callers on a thread of their own.
class SteadyCallers {
 public:
  // `list_ports`: where instances serve the list of instances.
  SteadyCallers(std::vector<CallerGroup> groups,
                std::vector<int> list_ports,
                Millis idle_limit,
                uint64_t seed);
  ~SteadyCallers();

  void Start();
  // The limit that callers keep to from now on.
  void SetIdleLimit(Millis limit);
  // Lets each caller finish its request; returns all records.
  const std::vector<CallerRecord>& Stop();

 private:
  boost::asio::awaitable<void> FollowInstanceList();

  boost::asio::io_context io_{1};
  std::vector<CallerGroup> groups_;
  std::vector<int> list_ports_;
  CallerKnowledge knowledge_;
  std::vector<CallerRecord> records_;
  std::vector<std::unique_ptr<SteadyCaller>> callers_;
  std::thread thread_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_TESTS_SUPPORT_STEADY_CALLERS_H_
