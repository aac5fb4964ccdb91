// HTTP/1.1 towards callers: parses requests with every byte of target and
// header list kept, hands each to a handler and writes its one answer.
//
// Pistache drops repeated headers and reorders queries, which a router must
// not do; see docs/design/house-style.md.

#ifndef MANGOYOKE_GATEWAY_NET_HTTP_LISTENER_H_
#define MANGOYOKE_GATEWAY_NET_HTTP_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "gateway/core/codecs.h"
#include "gateway/net/sockets.h"

namespace mangoyoke {

class HttpSession;

// The answer side of one request. Exactly one of Reply, EndStream and Abort
// ends it. All calls are on the event loop's thread.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;
  // A whole answer.
  virtual void Reply(HttpResponse response) = 0;
  // An answer that is written bit by bit and ends with EndStream.
  virtual void BeginStream(http::response_header<> head) = 0;
  virtual void Write(std::string data) = 0;
  virtual void EndStream() = 0;
  // Closes the connection, so that the answer does not look complete.
  virtual void Abort() = 0;
  // Called once if the caller leaves before the answer ended.
  virtual void SetDisconnectCallback(std::function<void()> callback) = 0;
  // Called when the bytes that wait for the caller pass a bound or fall
  // below it again.
  virtual void SetBackpressureCallback(std::function<void(bool)> callback) = 0;
};

class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual void OnRequest(HttpRequest request,
                         std::shared_ptr<HttpResponder> responder) = 0;
  virtual CallerLimits Limits() const = 0;
  // The answer to bytes that are no acceptable request.
  virtual HttpResponse MakeParseErrorResponse(const Error& error) const = 0;
};

class HttpListener {
 public:
  // `handler` must outlive the listener and its sessions.
  HttpListener(boost::asio::io_context& io, RequestHandler& handler);
  ~HttpListener();

  // Listens on `address` ("IP:port").
  Result<Unit> Listen(const std::string& address);
  // Answers tell callers from now on that the connection closes.
  void StartDraining();
  // Takes no new connections and closes idle ones.
  void Stop();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_HTTP_LISTENER_H_
