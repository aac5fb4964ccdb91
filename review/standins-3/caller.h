// A client: sends one request on a connection of its own and collects the
// answer.

#ifndef MANGOYOKE_REVIEW_STANDINS_3_CALLER_H_
#define MANGOYOKE_REVIEW_STANDINS_3_CALLER_H_

#include <cstdint>
#include <string>

namespace mangoyoke::review {

struct CallerRequest {
  std::string id;
  std::string method = "POST";
  std::string host;
  std::string path;
  std::string headers;  // More of them: lines that end with CR LF.
  std::string body;
  int64_t deadline_ms = 4000;
};

struct CallerAnswer {
  int status = 0;         // 0: no answer came.
  bool complete = false;  // The answer ended as its head announces.
  std::string body;       // What arrived of it.
  std::string stamp;      // The server's signature; empty if there is none.
  std::string served_by;  // The id of the server; empty if it names none.
  int64_t retry_after_ms = 0;  // When to come back, if it says so.
  int64_t elapsed_ms = 0;
};

// Blocks until the answer has ended, or the deadline has passed by a second.
CallerAnswer Call(const std::string& ip,
                  uint16_t port,
                  const CallerRequest& request);

// The status that a GET of `path` gets, e.g. from a health check; 0 if none.
int StatusOf(const std::string& ip, uint16_t port, const std::string& path);

}  // namespace mangoyoke::review

#endif  // MANGOYOKE_REVIEW_STANDINS_3_CALLER_H_
