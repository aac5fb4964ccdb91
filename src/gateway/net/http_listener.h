// HTTP/1.1 server for callers. Parses requests, preserving the target and the
// header list byte for byte, passes each request to a handler and writes its
// response.
//
// Pistache is not used here because it drops repeated headers and reorders
// query parameters, which a router must not do; see docs/design/house-style.md.

#ifndef MANGOYOKE_GATEWAY_NET_HTTP_LISTENER_H_
#define MANGOYOKE_GATEWAY_NET_HTTP_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/core/codecs.h"
#include "gateway/net/memory_budget.h"
#include "gateway/net/sockets.h"

namespace mangoyoke {

class HttpSession;

// Writes the response to one request. Exactly one of Reply, EndStream and Abort
// ends it. All methods and callbacks run on the event loop's thread.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  // Sends a complete response. `body_memory` is held until it is written; if it
  // has to make room, the connection is closed.
  virtual void Reply(HttpResponse response,
                     MemoryBudget::Share body_memory) = 0;
  // The same for a response that this instance made itself.
  void Reply(HttpResponse response) {
    Reply(std::move(response), MemoryBudget::Share());
  }
  // Starts a streamed response, which EndStream ends. The transfer encoding is
  // chunked for HTTP/1.1 callers.
  virtual void BeginStream(http::response_header<> head) = 0;
  // Appends `data` to the body of a streamed response.
  virtual void Write(std::string data) = 0;
  // Ends a streamed response.
  virtual void EndStream() = 0;
  // Closes the connection, so that the caller sees an incomplete response.
  virtual void Abort() = 0;
  // `callback` is called once if the caller disconnects before the response has
  // ended.
  virtual void SetDisconnectCallback(std::function<void()> callback) = 0;
  // `callback` is called with true when the unsent bytes queued for the caller
  // exceed a limit, and with false when they have fallen well below it again.
  virtual void SetBackpressureCallback(std::function<void(bool)> callback) = 0;
};

// Handles the requests that a listener receives, on the event loop's thread.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  // Handles `request`; the response may be sent later through `responder`.
  virtual void OnRequest(HttpRequest request,
                         std::shared_ptr<HttpResponder> responder) = 0;
  // Called when the head of a request has arrived and its body has not. An
  // error rejects the request without its body.
  virtual std::optional<Error> CheckHead(
      const http::request_header<>& /*head*/) const {
    return std::nullopt;
  }
  // Size limits and timeouts for reading requests; read again for each request.
  virtual CallerLimits Limits() const = 0;
  // Returns the response to bytes that are malformed or exceed a size limit, or
  // to a request that CheckHead rejected.
  virtual HttpResponse MakeParseErrorResponse(const Error& error) const = 0;
};

// Accepts callers' connections on one address.
class HttpListener {
 public:
  // `handler` must outlive the listener and its sessions.
  HttpListener(boost::asio::io_context& io, RequestHandler& handler);
  ~HttpListener();

  // Listens on `address` ("IP:port"). Fails with the errors of ParseEndpoint,
  // or with kSettingsInvalid if the address cannot be bound.
  Result<Unit> Listen(const std::string& address);
  // Sets the limit, in bytes, of the memory of requests' bodies.
  void SetBodyMemory(size_t limit);
  // From now on, responses announce that the connection closes.
  void StartDraining();
  // Accepts no new connections and closes idle ones.
  void Stop();
  // Rejects the requests that are being read, since the process stops.
  void RejectUnfinished();
  // Number of connections that are not idle: a request is being read or
  // responded to, or a response may not have reached its caller yet.
  size_t busy_connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_HTTP_LISTENER_H_
