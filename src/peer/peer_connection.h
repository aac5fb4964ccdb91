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

// A request or answer on one stream. `path` is set on requests only.
struct PeerStream {
  std::string path;
  std::string received;
  std::string outgoing;
  size_t sent = 0;  // Prefix of `outgoing` handed to nghttp2.
  int status = 0;   // Set on answers.
};

// Both ends. The owner supplies what to do with a finished inbound message.
// All calls are on the io_context's thread.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  using MessageCallback =
      std::function<void(PeerConnection&, int32_t stream_id, PeerStream&)>;
  using ClosedCallback = std::function<void(PeerConnection&)>;

  enum class Side { kServer, kClient };

  PeerConnection(boost::asio::ip::tcp::socket socket,
                 Side side,
                 MessageCallback on_message,
                 ClosedCallback on_closed);
  ~PeerConnection();

  // Starts the session on a connected socket.
  void Start();
  // Sends a request (client side). Returns the stream id, or negative.
  int32_t SendRequest(const std::string& path, std::string body);
  // Sends the answer to a request (server side). Ignored if it is gone.
  void SendResponse(int32_t stream_id, int status, std::string body);
  // Resets one stream, for example after a timeout.
  void CancelStream(int32_t stream_id);
  void Close();

  uint64_t bytes_in() const { return bytes_in_; }
  uint64_t bytes_out() const { return bytes_out_; }

 private:
  static constexpr size_t kReadBytes = 16 << 10;

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
  void Flush();
  void Fail();

  boost::asio::ip::tcp::socket socket_;
  Side side_;
  MessageCallback on_message_;
  ClosedCallback on_closed_;
  nghttp2_session* session_ = nullptr;
  std::map<int32_t, PeerStream> streams_;
  std::array<uint8_t, kReadBytes> read_buffer_;
  std::string writing_;  // Bytes of the outstanding write.
  bool in_write_ = false;
  bool closed_ = false;
  uint64_t bytes_in_ = 0;
  uint64_t bytes_out_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_PEER_PEER_CONNECTION_H_
