// Writes one answer to a caller's connection, whole or in chunks.

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

// All calls are made on the thread that runs the given io_context. The object
// keeps itself alive until what was written is flushed.
class ResponseStream : public std::enable_shared_from_this<ResponseStream> {
 public:
  ResponseStream(boost::asio::io_context& io, ServerConnection connection);
  ~ResponseStream();

  // Sends a complete answer with Content-Length. Ends the stream.
  void Send(int status,
            std::string_view content_type,
            std::string_view body,
            const HttpHeaders& headers = {});

  // Starts a chunked answer.
  void StartChunks(int status,
                   std::string_view content_type,
                   const HttpHeaders& headers = {});
  // Appends one chunk. Empty chunks are ignored.
  void WriteChunk(std::string_view data);
  // Ends a chunked answer.
  void FinishChunks();

  // Breaks the connection off, so that the caller sees an incomplete answer.
  void Abort();

  // Bytes accepted but not yet taken by the socket.
  size_t PendingBytes() const { return pending_.size() - written_; }
  bool failed() const { return failed_; }
  bool started() const { return started_; }

 private:
  void Append(std::string_view data);
  void Flush();

  boost::asio::ip::tcp::socket socket_;
  std::shared_ptr<ConnectionState> state_;
  std::string pending_;
  size_t written_ = 0;     // Prefix of pending_ that the socket took.
  bool waiting_ = false;   // A wait for writability is outstanding.
  bool started_ = false;   // The status line was appended.
  bool finished_ = false;  // The last byte was appended.
  bool failed_ = false;    // The caller is gone; writes are dropped.
};

// Sends a complete JSON answer.
void SendJson(const std::shared_ptr<ResponseStream>& stream,
              int status,
              std::string_view json,
              const HttpHeaders& headers = {});

}  // namespace mangoyoke

#endif  // MANGOYOKE_HTTP_RESPONSE_STREAM_H_
