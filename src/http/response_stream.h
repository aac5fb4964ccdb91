// Writes one response to a caller's connection, whole or chunked.

#ifndef MANGOYOKE_HTTP_RESPONSE_STREAM_H_
#define MANGOYOKE_HTTP_RESPONSE_STREAM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/http_server.h"

namespace mangoyoke {

// The response to one request. All calls must be made on the thread that runs
// the given io_context. The object keeps itself alive until its buffer has been
// sent. If it is destroyed before the response is finished, it aborts the
// connection.
class ResponseStream : public std::enable_shared_from_this<ResponseStream> {
 public:
  ResponseStream(boost::asio::io_context& io, ServerConnection connection);
  ~ResponseStream();

  // Sends a complete response with Content-Length. Ignored if a response was
  // already started.
  void Send(int status,
            std::string_view content_type,
            std::string_view body,
            const HttpHeaders& headers = {});

  // Starts a chunked response. Ignored if a response was already started.
  void StartChunks(int status,
                   std::string_view content_type,
                   const HttpHeaders& headers = {});
  // Appends one chunk. Ignored if `data` is empty or the response is finished.
  void WriteChunk(std::string_view data);
  // Ends a chunked response.
  void FinishChunks();

  // Closes the connection, so that the caller sees an incomplete response.
  void Abort();

  // Bytes buffered here that the socket has not accepted yet.
  size_t PendingBytes() const { return buffer_.size() - sent_bytes_; }
  // Whether the connection is gone; further writes are dropped.
  bool failed() const { return failed_; }
  // Whether a response was started.
  bool started() const { return started_; }

 private:
  void Append(std::string_view data);
  void Flush();

  boost::asio::ip::tcp::socket socket_;
  std::shared_ptr<ConnectionState> state_;
  std::string buffer_;
  size_t sent_bytes_ = 0;              // Prefix of buffer_ that was sent.
  bool waiting_for_writable_ = false;  // A wait for the socket is pending.
  bool started_ = false;               // The head was buffered.
  bool finished_ = false;              // The last byte was buffered.
  bool failed_ = false;                // Connection gone; writes are dropped.
};

// Sends a complete JSON response.
void SendJson(const std::shared_ptr<ResponseStream>& stream,
              int status,
              std::string_view json,
              const HttpHeaders& headers = {});

}  // namespace mangoyoke

#endif  // MANGOYOKE_HTTP_RESPONSE_STREAM_H_
