// Asynchronous HTTP client on libcurl's multi interface, driven by an
// io_context. Used for requests to backend servers and to the platform.

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

// One HTTP request.
struct ClientRequest {
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  Millis timeout{5000};  // For the whole exchange, connecting included.
  Millis connect_timeout{1000};
  // Opens a new connection for this request and closes it afterwards. When a
  // reused keep-alive connection turns out to be closed, libcurl retries the
  // request by itself. A request that must not be executed twice therefore
  // needs a connection of its own.
  bool fresh_connection = false;
};

// How an exchange (one request with its response) ended.
enum class TransferResult {
  kComplete,       // The whole response was received, with any status.
  kConnectFailed,  // No connection; no byte of the request was sent.
  kTimeout,        // Connected, but the timeout passed.
  kIncomplete,     // Connected, but the response was missing or cut short.
};

// The response, or what is known of it if the exchange failed.
struct ClientResponse {
  TransferResult result = TransferResult::kIncomplete;
  int status = 0;  // HTTP status; 0 if no status line was received.
  std::string content_type;
  std::string body;   // Empty if a data callback received it.
  std::string error;  // libcurl's error text; empty if complete.

  // Whether a whole response with a 2xx status was received.
  bool Succeeded() const {
    return result == TransferResult::kComplete && status >= 200 && status < 300;
  }
};

// Identifies one exchange of an HttpClient.
using TransferId = uint64_t;

// Starts, pauses and cancels exchanges. All calls must be made, and all
// callbacks are made, on the io_context's thread.
class HttpClient {
 public:
  using DataCallback = std::function<void(int status, std::string_view data)>;
  using DoneCallback = std::function<void(ClientResponse response)>;

  explicit HttpClient(boost::asio::io_context& io);
  ~HttpClient();

  // Starts an exchange. `on_data`, if given, receives the body piece by piece
  // as it arrives. `on_done` is called once, never from within Start(), and not
  // at all after Cancel().
  TransferId Start(ClientRequest request,
                   DoneCallback on_done,
                   DataCallback on_data = nullptr);
  // Ends an exchange without a further callback. Unknown ids are ignored.
  void Cancel(TransferId id);
  // Stops or resumes reading the response of an exchange (backpressure).
  void Pause(TransferId id, bool paused);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_HTTP_HTTP_CLIENT_H_
