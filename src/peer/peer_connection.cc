// Implementation of the HTTP/2 connection between instances.

#include "peer/peer_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cstring>
#include <string_view>

namespace mangoyoke {
namespace {

namespace asio = boost::asio;

constexpr uint32_t kMaxStreams = 4096;
constexpr uint32_t kWindowBytes = 4 << 20;
constexpr size_t kMaxMessageBytes = 16 << 20;

nghttp2_nv Header(std::string_view name, std::string_view value) {
  auto bytes = [](std::string_view text) {
    // nghttp2 takes non-const pointers, but copies the bytes unless a NO_COPY
    // flag is set.
    return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
  };
  return nghttp2_nv{bytes(name), bytes(value), name.size(), value.size(),
                    NGHTTP2_NV_FLAG_NONE};
}

}  // namespace

PeerConnection::PeerConnection(asio::ip::tcp::socket socket,
                               Side side,
                               MessageCallback on_message,
                               ClosedCallback on_closed)
    : socket_(std::move(socket)),
      side_(side),
      on_message_(std::move(on_message)),
      on_closed_(std::move(on_closed)) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &OnFrame);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &OnStreamClose);
  if (side_ == Side::kServer) {
    nghttp2_session_server_new(&session_, callbacks, this);
  } else {
    nghttp2_session_client_new(&session_, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
}

PeerConnection::~PeerConnection() {
  nghttp2_session_del(session_);
}

void PeerConnection::Start() {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  const nghttp2_settings_entry settings[] = {
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, kMaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kWindowBytes}};
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings,
                          std::size(settings));
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                        kWindowBytes);
  Read();
  Flush();
}

int32_t PeerConnection::SendRequest(const std::string& path, std::string body) {
  if (closed_) {
    return -1;
  }
  const nghttp2_nv headers[] = {
      Header(":method", "POST"), Header(":scheme", "http"),
      Header(":authority", "peer"), Header(":path", path)};
  nghttp2_data_provider provider{};
  provider.read_callback = &ReadBody;
  int32_t id = nghttp2_submit_request(session_, nullptr, headers,
                                      std::size(headers), &provider, nullptr);
  if (id < 0) {
    return id;
  }
  streams_[id].outgoing_body = std::move(body);
  Flush();
  return id;
}

void PeerConnection::SendResponse(int32_t stream_id,
                                  int status,
                                  std::string body) {
  auto it = streams_.find(stream_id);
  if (closed_ || it == streams_.end()) {
    return;
  }
  it->second.outgoing_body = std::move(body);
  std::string status_text = std::to_string(status);
  const nghttp2_nv headers[] = {Header(":status", status_text)};
  nghttp2_data_provider provider{};
  provider.read_callback = &ReadBody;
  nghttp2_submit_response(session_, stream_id, headers, std::size(headers),
                          &provider);
  Flush();
}

void PeerConnection::CancelStream(int32_t stream_id) {
  if (closed_) {
    return;
  }
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream_id,
                            NGHTTP2_CANCEL);
  Flush();
}

void PeerConnection::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

int PeerConnection::OnHeader(nghttp2_session*,
                             const nghttp2_frame* frame,
                             const uint8_t* name,
                             size_t name_length,
                             const uint8_t* value,
                             size_t value_length,
                             uint8_t,
                             void* user_data) {
  auto* self = static_cast<PeerConnection*>(user_data);
  std::string_view key(reinterpret_cast<const char*>(name), name_length);
  std::string_view text(reinterpret_cast<const char*>(value), value_length);
  PeerStream& stream = self->streams_[frame->hd.stream_id];
  if (key == ":path") {
    stream.path = text;
  } else if (key == ":status") {
    std::from_chars(text.data(), text.data() + text.size(), stream.status);
  }
  return 0;
}

int PeerConnection::OnData(nghttp2_session*,
                           uint8_t,
                           int32_t stream_id,
                           const uint8_t* data,
                           size_t length,
                           void* user_data) {
  auto* self = static_cast<PeerConnection*>(user_data);
  std::string& received_body = self->streams_[stream_id].received_body;
  if (received_body.size() + length > kMaxMessageBytes) {
    return NGHTTP2_ERR_CALLBACK_FAILURE;
  }
  received_body.append(reinterpret_cast<const char*>(data), length);
  return 0;
}

int PeerConnection::OnFrame(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user_data) {
  auto* self = static_cast<PeerConnection*>(user_data);
  bool message =
      frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
  if (!message || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
    return 0;
  }
  auto it = self->streams_.find(frame->hd.stream_id);
  if (it != self->streams_.end()) {
    self->on_message_(*self, frame->hd.stream_id, it->second);
  }
  return 0;
}

int PeerConnection::OnStreamClose(nghttp2_session*,
                                  int32_t stream_id,
                                  uint32_t,
                                  void* user_data) {
  static_cast<PeerConnection*>(user_data)->streams_.erase(stream_id);
  return 0;
}

ssize_t PeerConnection::ReadBody(nghttp2_session*,
                                 int32_t stream_id,
                                 uint8_t* buffer,
                                 size_t length,
                                 uint32_t* flags,
                                 nghttp2_data_source*,
                                 void* user_data) {
  auto* self = static_cast<PeerConnection*>(user_data);
  PeerStream& stream = self->streams_[stream_id];
  size_t count =
      std::min(length, stream.outgoing_body.size() - stream.sent_bytes);
  std::memcpy(buffer, stream.outgoing_body.data() + stream.sent_bytes, count);
  stream.sent_bytes += count;
  if (stream.sent_bytes == stream.outgoing_body.size()) {
    *flags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(count);
}

void PeerConnection::Read() {
  socket_.async_read_some(
      asio::buffer(read_buffer_),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t count) {
        if (self->closed_) {
          return;
        }
        if (error) {
          self->Fail();
          return;
        }
        self->bytes_in_ += count;
        ssize_t consumed = nghttp2_session_mem_recv(
            self->session_, self->read_buffer_.data(), count);
        if (consumed < 0) {
          self->Fail();
          return;
        }
        self->Flush();
        if (!self->closed_) {
          self->Read();
        }
      });
}

void PeerConnection::Flush() {
  if (closed_ || write_in_progress_) {
    return;
  }
  write_buffer_.clear();
  while (true) {
    const uint8_t* data = nullptr;
    ssize_t count = nghttp2_session_mem_send(session_, &data);
    if (count < 0) {
      Fail();
      return;
    }
    if (count == 0) {
      break;
    }
    write_buffer_.append(reinterpret_cast<const char*>(data),
                         static_cast<size_t>(count));
  }
  if (write_buffer_.empty()) {
    return;
  }
  write_in_progress_ = true;
  asio::async_write(socket_, asio::buffer(write_buffer_),
                    [self = shared_from_this()](
                        const boost::system::error_code& error, size_t count) {
                      self->write_in_progress_ = false;
                      self->bytes_out_ += count;
                      if (self->closed_) {
                        return;
                      }
                      if (error) {
                        self->Fail();
                        return;
                      }
                      self->Flush();
                    });
}

void PeerConnection::Fail() {
  if (closed_) {
    return;
  }
  Close();
  if (on_closed_) {
    on_closed_(*this);
  }
}

}  // namespace mangoyoke
