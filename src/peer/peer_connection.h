// One HTTP/2 connection between two instances: nghttp2 on a Boost.Asio socket.

#ifndef MANGOYOKE_PEER_PEER_CONNECTION_H_
#define MANGOYOKE_PEER_PEER_CONNECTION_H_

#include <nghttp2/nghttp2.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mangoyoke {

// The request and response on one HTTP/2 stream.
struct PeerStream {
  std::string path;  // Set on received requests.
  std::string received_body;
  std::string outgoing_body;
  size_t sent_bytes = 0;  // Prefix of `outgoing_body` handed to nghttp2.
  int status = 0;         // Set on received responses.
};

// Client or server end of a connection. Must be held by a shared_ptr. All calls
// are on the io_context's thread.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  using MessageCallback =
      std::function<void(PeerConnection&, int32_t stream_id, PeerStream&)>;
  using ClosedCallback = std::function<void(PeerConnection&)>;

  enum class Side { kServer, kClient };

  // `on_message` is called for each complete inbound message, from within
  // nghttp2: it must not call this connection. `on_closed` is called if the
  // connection fails, but not after Close.
  PeerConnection(boost::asio::ip::tcp::socket socket,
                 Side side,
                 MessageCallback on_message,
                 ClosedCallback on_closed);
  ~PeerConnection();

  // Starts the session on a connected socket.
  void Start();
  // Sends a request (client side). Returns the stream id, or a negative value
  // on failure.
  int32_t SendRequest(const std::string& path, std::string body);
  // Sends the response to a request (server side). Does nothing if the stream
  // has been closed.
  void SendResponse(int32_t stream_id, int status, std::string body);
  // Resets one stream, for example after a timeout.
  void CancelStream(int32_t stream_id);
  // Closes the socket without calling `on_closed`.
  void Close();

  // Bytes received and sent on the socket.
  uint64_t bytes_in() const { return bytes_in_; }
  uint64_t bytes_out() const { return bytes_out_; }

 private:
  static constexpr size_t kReadBytes = 16 << 10;

  // Callbacks of nghttp2; the last argument is the PeerConnection.
  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame*,
                      const uint8_t*,
                      size_t,
                      const uint8_t*,
                      size_t,
                      uint8_t,
                      void*);
  static int OnData(nghttp2_session*,
                    uint8_t,
                    int32_t,
                    const uint8_t*,
                    size_t,
                    void*);
  static int OnFrame(nghttp2_session*, const nghttp2_frame*, void*);
  static int OnStreamClose(nghttp2_session*, int32_t, uint32_t, void*);
  static ssize_t ReadBody(nghttp2_session*,
                          int32_t,
                          uint8_t*,
                          size_t,
                          uint32_t*,
                          nghttp2_data_source*,
                          void*);

  void Read();
  // Writes all pending frames, unless a write is in progress.
  void Flush();
  // Closes the connection after an error and calls `on_closed`.
  void Fail();

  boost::asio::ip::tcp::socket socket_;
  Side side_;
  MessageCallback on_message_;
  ClosedCallback on_closed_;
  nghttp2_session* session_ = nullptr;
  std::map<int32_t, PeerStream> streams_;
  std::array<uint8_t, kReadBytes> read_buffer_;
  std::string write_buffer_;  // Data of the write in progress.
  bool write_in_progress_ = false;
  bool closed_ = false;
  uint64_t bytes_in_ = 0;
  uint64_t bytes_out_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_PEER_PEER_CONNECTION_H_
