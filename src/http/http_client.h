// Asynchronous HTTP client on libcurl's multi interface, driven by an
// io_context. Used towards backend servers and the platform.

#ifndef MANGOYOKE_HTTP_HTTP_CLIENT_H_
#define MANGOYOKE_HTTP_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_server.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

struct ClientRequest {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  Millis timeout{5000};
  Millis connect_timeout{1000};
  // Uses a connection of its own. libcurl sends a request again by itself
  // when a kept connection turns out closed; a request that must not run
  // twice therefore never uses a kept connection.
  bool fresh_connection = false;
};

// How an exchange ended.
enum class TransferResult {
  kComplete,       // A whole answer came, with any status.
  kConnectFailed,  // No connection was made: no byte of the request left.
  kTimeout,        // Connected, but the time ran out.
  kIncomplete,     // Connected, but the answer broke off.
};

struct ClientResponse {
  TransferResult result = TransferResult::kIncomplete;
  int status = 0;  // 0 without a status line.
  std::string content_type;
  std::string body;  // Empty when a data callback took it.
  std::string error;

  // Whole answer with a 2xx status.
  bool Succeeded() const {
    return result == TransferResult::kComplete && status >= 200 && status < 300;
  }
};

using TransferId = uint64_t;

// All calls and callbacks are on the io_context's thread.
class HttpClient {
 public:
  using DataCallback = std::function<void(int status, std::string_view data)>;
  using DoneCallback = std::function<void(ClientResponse response)>;

  explicit HttpClient(boost::asio::io_context& io);
  ~HttpClient();

  // Starts an exchange. `on_data`, if given, gets the body as it comes.
  // `on_done` is called once, never from within Start, unless cancelled.
  TransferId Start(ClientRequest request,
                   DoneCallback on_done,
                   DataCallback on_data = nullptr);
  // Ends an exchange without a callback. Unknown ids are ignored.
  void Cancel(TransferId id);
  // Stops or resumes reading the answer of an exchange (back-pressure).
  void Pause(TransferId id, bool paused);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_HTTP_HTTP_CLIENT_H_
