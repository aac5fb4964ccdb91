// Moves requests from the HTTP server's worker threads to event loops, where
// each is handled with a ResponseStream.

#ifndef MANGOYOKE_HTTP_HTTP_DISPATCHER_H_
#define MANGOYOKE_HTTP_HTTP_DISPATCHER_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "http/http_server.h"
#include "http/response_stream.h"

namespace mangoyoke {

// Handles requests on one event loop.
class ServerRequestHandler {
 public:
  virtual ~ServerRequestHandler() = default;
  virtual void OnRequest(ServerRequest request,
                         std::shared_ptr<ResponseStream> stream) = 0;
  // The caller of `connection_id` closed its side.
  virtual void OnDisconnect(uint64_t connection_id) = 0;
};

// An event loop with the sink that runs on it. Both outlive the dispatcher.
struct DispatchTarget {
  boost::asio::io_context* io = nullptr;
  ServerRequestHandler* handler = nullptr;
};

class HttpDispatcher : public HttpHandler {
 public:
  // `targets` must not be empty. A connection always uses the same target.
  explicit HttpDispatcher(std::vector<DispatchTarget> targets);

  void OnRequest(ServerRequest request, ServerConnection connection) override;
  void OnDisconnect(uint64_t connection_id) override;

 private:
  const DispatchTarget& TargetOf(uint64_t connection_id) const;

  std::vector<DispatchTarget> targets_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_HTTP_HTTP_DISPATCHER_H_
