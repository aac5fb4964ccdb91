// Implementation of requests between instances. Messages are encoded as
// MessagePack. An error is an object with the fields "error" (the code) and
// "detail", sent with HTTP status 500.

#include "peer/peer_transport.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <list>
#include <map>
#include <set>
#include <utility>

#include "base/message_pack.h"
#include "base/run_guarded.h"
#include "peer/peer_connection.h"

namespace mangoyoke {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr int kStatusOk = 200;
constexpr int kStatusError = 500;
// A connection is replaced after this many timeouts without a response.
constexpr int kMaxConsecutiveTimeouts = 3;
// A connection that is not used for this long is closed.
constexpr Duration kIdleTimeout = Seconds(8);
constexpr Duration kIdleCheckInterval = Seconds(2);

std::string Encode(const Json& message) {
  std::string bytes;
  Json::to_msgpack(message, bytes);
  return bytes;
}

Json Decode(const std::string& bytes) {
  return DecodeMessagePack(reinterpret_cast<const uint8_t*>(bytes.data()),
                           bytes.size());
}

Json EncodeError(const Error& error) {
  return Json{{"error", static_cast<int>(error.code)},
              {"detail", error.detail}};
}

Result<Json> DecodeResponse(int status, const std::string& bytes) {
  Json message = Decode(bytes);
  if (message.is_discarded()) {
    return Error{ErrorCode::kPeerMalformed,
                 "response body of " + std::to_string(bytes.size()) +
                     " bytes is not valid MessagePack"};
  }
  if (status == kStatusOk) {
    return message;
  }
  if (!message.is_object() || !message.contains("error") ||
      !message["error"].is_number_integer()) {
    return Error{ErrorCode::kPeerMalformed, "response with HTTP status " +
                                                std::to_string(status) +
                                                " has no integer error code"};
  }
  return Error{static_cast<ErrorCode>(message["error"].get<int>()),
               message.value("detail", "")};
}

}  // namespace

Result<std::pair<std::string, uint16_t>> ParseAddress(
    const std::string& address) {
  size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return Error{ErrorCode::kSettingsInvalid,
                 "expected IP:port, got '" + address + "'"};
  }
  uint16_t port = 0;
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  auto [parse_end, error] = std::from_chars(begin, end, port);
  if (error != std::errc() || parse_end != end || port == 0) {
    return Error{ErrorCode::kSettingsInvalid,
                 "expected IP:port, got '" + address + "'"};
  }
  return std::pair(address.substr(0, colon), port);
}

class PeerServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, PeerHandler& handler)
      : io_(io), handler_(handler), acceptor_(io) {}

  Result<Unit> Listen(const std::string& address) {
    auto parsed = ParseAddress(address);
    if (const auto* error = std::get_if<Error>(&parsed)) {
      return *error;
    }
    const auto& [ip, port] = std::get<0>(parsed);
    boost::system::error_code error;
    Tcp::endpoint endpoint(asio::ip::make_address(ip, error), port);
    if (!error) {
      acceptor_.open(endpoint.protocol(), error);
    }
    if (!error) {
      acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      acceptor_.bind(endpoint, error);
    }
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return Error{ErrorCode::kSettingsInvalid,
                   "cannot listen on " + address + ": " + error.message()};
    }
    Accept();
    return Unit{};
  }

  void Stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const auto& connection : connections_) {
      connection->Close();
    }
    connections_.clear();
  }

 private:
  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](const boost::system::error_code& error,
                                    Tcp::socket socket) {
          if (error == asio::error::operation_aborted ||
              !self->acceptor_.is_open()) {
            return;
          }
          if (!error) {
            self->Serve(std::move(socket));
          }
          self->Accept();
        });
  }

  void Serve(Tcp::socket socket) {
    auto connection = std::make_shared<PeerConnection>(
        std::move(socket), PeerConnection::Side::kServer,
        [self = shared_from_this()](PeerConnection& from, int32_t id,
                                    PeerStream& stream) {
          self->Dispatch(from, id, stream);
        },
        [self = shared_from_this()](PeerConnection& closed) {
          self->connections_.erase(closed.shared_from_this());
        });
    connections_.insert(connection);
    connection->Start();
  }

  void Dispatch(PeerConnection& from, int32_t id, PeerStream& stream) {
    // Handled from the event loop, because nghttp2 must not be re-entered from
    // its callback.
    asio::post(io_, [self = shared_from_this(), id,
                     weak = from.weak_from_this(), path = stream.path,
                     bytes = std::move(stream.received_body)] {
      PeerResponder respond = [weak, id](Result<Json> result) {
        auto connection = weak.lock();
        if (!connection) {
          return;
        }
        if (const auto* error = std::get_if<Error>(&result)) {
          connection->SendResponse(id, kStatusError,
                                   Encode(EncodeError(*error)));
        } else {
          connection->SendResponse(id, kStatusOk, Encode(std::get<0>(result)));
        }
      };
      Json message = Decode(bytes);
      if (!message.is_object()) {
        respond(Error{ErrorCode::kPeerMalformed,
                      "request body of " + std::to_string(bytes.size()) +
                          " bytes is not a MessagePack object"});
        return;
      }
      try {
        self->handler_.OnPeerRequest(path, message, respond);
      } catch (const std::exception& exception) {
        // A field is missing or has the wrong type or value.
        respond(Error{ErrorCode::kPeerMalformed, exception.what()});
      }
    });
  }

  asio::io_context& io_;
  PeerHandler& handler_;
  Tcp::acceptor acceptor_;
  std::set<std::shared_ptr<PeerConnection>> connections_;
};

PeerServer::PeerServer(asio::io_context& io, PeerHandler& handler)
    : impl_(std::make_shared<Impl>(io, handler)) {}

PeerServer::~PeerServer() {
  impl_->Stop();
}

Result<Unit> PeerServer::Listen(const std::string& address) {
  return impl_->Listen(address);
}

class PeerClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(asio::io_context& io) : io_(io), idle_check_timer_(io) {}

  void Call(const std::string& address,
            const std::string& path,
            const Json& message,
            Millis timeout,
            Callback callback) {
    ScheduleIdleCheck();
    uint64_t id = ++last_call_;
    auto call = std::make_shared<PendingCall>(io_);
    call->address = address;
    call->path = path;
    call->body = Encode(message);
    call->callback = std::move(callback);
    calls_[id] = call;
    call->timer.expires_after(timeout);
    call->timer.async_wait([self = shared_from_this(),
                            id](const boost::system::error_code& error) {
      if (!error) {
        self->OnTimeout(id);
      }
    });
    Dispatch(id, *call);
  }

  uint64_t BytesTransferred() const {
    uint64_t bytes = closed_connection_bytes_;
    for (const auto& [address, link] : links_) {
      if (link.connection) {
        bytes += link.connection->bytes_in() + link.connection->bytes_out();
      }
    }
    return bytes;
  }

  void Stop() {
    idle_check_timer_.cancel();
    for (auto& [id, call] : calls_) {
      call->timer.cancel();
    }
    calls_.clear();
    for (auto& [address, link] : links_) {
      if (link.connection) {
        link.connection->Close();
      }
    }
    links_.clear();
  }

 private:
  struct PendingCall {
    explicit PendingCall(asio::io_context& io) : timer(io) {}
    std::string address;
    std::string path;
    std::string body;
    Callback callback;
    asio::steady_timer timer;
    int32_t stream_id = 0;  // 0 until sent.
  };

  // The connection to one address and its calls.
  struct Link {
    std::shared_ptr<PeerConnection> connection;
    std::shared_ptr<Tcp::socket> connecting;  // Set during a connect.
    std::list<uint64_t> queued_calls;         // Waiting for the connection.
    std::map<int32_t, uint64_t> calls_by_stream;
    int consecutive_timeouts = 0;  // Timeouts since the last response.
    TimePoint last_used;
  };

  // Schedules the next check for idle connections. They are closed because most
  // peers are contacted only once, and each connection costs memory on both
  // sides.
  void ScheduleIdleCheck() {
    if (std::exchange(idle_check_scheduled_, true)) {
      return;
    }
    idle_check_timer_.expires_after(kIdleCheckInterval);
    idle_check_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          self->idle_check_scheduled_ = false;
          if (!error) {
            self->CloseIdleConnections();
          }
        });
  }

  void CloseIdleConnections() {
    TimePoint now = SteadyClock::now();
    for (auto it = links_.begin(); it != links_.end();) {
      Link& link = it->second;
      bool idle = link.calls_by_stream.empty() && link.queued_calls.empty() &&
                  !link.connecting && now - link.last_used > kIdleTimeout;
      if (idle && link.connection) {
        link.connection->Close();
        closed_connection_bytes_ +=
            link.connection->bytes_in() + link.connection->bytes_out();
      }
      it = idle ? links_.erase(it) : std::next(it);
    }
    if (!links_.empty()) {
      ScheduleIdleCheck();
    }
  }

  // Drops a connection on which calls keep timing out. After a partition a new
  // connection works at once, while the old one waits for TCP's retransmission
  // timeout, which has grown.
  void Reconnect(Link& link) {
    link.connection->Close();
    closed_connection_bytes_ +=
        link.connection->bytes_in() + link.connection->bytes_out();
    link.connection.reset();
    link.consecutive_timeouts = 0;
    for (const auto& [stream, id] : std::exchange(link.calls_by_stream, {})) {
      asio::post(io_, [self = shared_from_this(), id = id] {
        self->Finish(id, Error{ErrorCode::kPeerUnreachable,
                               "connection dropped after " +
                                   std::to_string(kMaxConsecutiveTimeouts) +
                                   " consecutive timeouts"});
      });
    }
  }

  void Dispatch(uint64_t id, PendingCall& call) {
    Link& link = links_[call.address];
    link.last_used = SteadyClock::now();
    if (link.connection) {
      SendCall(link, id, call);
      return;
    }
    link.queued_calls.push_back(id);
    if (!link.connecting) {
      Connect(call.address, link);
    }
  }

  void SendCall(Link& link, uint64_t id, PendingCall& call) {
    int32_t stream_id = link.connection->SendRequest(call.path, call.body);
    if (stream_id < 0) {
      asio::post(io_, [self = shared_from_this(), id] {
        self->Finish(id, Error{ErrorCode::kPeerUnreachable,
                               "no HTTP/2 stream could be opened"});
      });
      return;
    }
    call.stream_id = stream_id;
    link.calls_by_stream[stream_id] = id;
  }

  void Connect(const std::string& address, Link& link) {
    auto parsed = ParseAddress(address);
    boost::system::error_code error;
    Tcp::endpoint endpoint;
    if (Ok(parsed)) {
      const auto& [ip, port] = std::get<0>(parsed);
      endpoint = Tcp::endpoint(asio::ip::make_address(ip, error), port);
    }
    link.connecting = std::make_shared<Tcp::socket>(io_);
    link.connecting->async_connect(
        endpoint,
        [self = shared_from_this(), address,
         socket = link.connecting](const boost::system::error_code& failure) {
          self->OnConnected(address, socket, failure);
        });
  }

  void OnConnected(const std::string& address,
                   const std::shared_ptr<Tcp::socket>& socket,
                   const boost::system::error_code& failure) {
    auto it = links_.find(address);
    if (it == links_.end() || it->second.connecting != socket) {
      return;
    }
    Link& link = it->second;
    link.connecting.reset();
    std::list<uint64_t> queued_calls = std::move(link.queued_calls);
    link.queued_calls.clear();
    if (failure) {
      for (uint64_t id : queued_calls) {
        Finish(id, Error{ErrorCode::kPeerUnreachable, failure.message()});
      }
      return;
    }
    link.connection = std::make_shared<PeerConnection>(
        std::move(*socket), PeerConnection::Side::kClient,
        [self = shared_from_this(), address](PeerConnection&, int32_t stream,
                                             PeerStream& response) {
          self->OnResponse(address, stream, response);
        },
        [self = shared_from_this(), address](PeerConnection& closed) {
          self->OnClosed(address, closed);
        });
    link.connection->Start();
    for (uint64_t id : queued_calls) {
      if (auto call = calls_.find(id); call != calls_.end()) {
        SendCall(link, id, *call->second);
      }
    }
  }

  void OnResponse(const std::string& address,
                  int32_t stream,
                  PeerStream& response) {
    Link& link = links_[address];
    auto it = link.calls_by_stream.find(stream);
    if (it == link.calls_by_stream.end()) {
      return;
    }
    link.consecutive_timeouts = 0;
    uint64_t id = it->second;
    // Delivered from the event loop, because nghttp2 must not be re-entered
    // from its callback.
    asio::post(io_, [self = shared_from_this(), id, status = response.status,
                     bytes = std::move(response.received_body)] {
      self->Finish(id, DecodeResponse(status, bytes));
    });
  }

  void OnClosed(const std::string& address, PeerConnection& closed) {
    auto it = links_.find(address);
    if (it == links_.end() || it->second.connection.get() != &closed) {
      return;
    }
    closed_connection_bytes_ += closed.bytes_in() + closed.bytes_out();
    std::map<int32_t, uint64_t> lost_calls =
        std::move(it->second.calls_by_stream);
    links_.erase(it);
    for (const auto& [stream, id] : lost_calls) {
      Finish(id, Error{ErrorCode::kPeerUnreachable,
                       "connection closed before the response arrived"});
    }
  }

  void OnTimeout(uint64_t id) {
    auto it = calls_.find(id);
    if (it == calls_.end()) {
      return;
    }
    Link& link = links_[it->second->address];
    if (link.connection && it->second->stream_id > 0) {
      link.connection->CancelStream(it->second->stream_id);
      if (++link.consecutive_timeouts >= kMaxConsecutiveTimeouts) {
        Reconnect(link);
      }
    }
    link.queued_calls.remove(id);
    if (link.connecting && link.queued_calls.empty()) {
      // A connect that hangs would delay all later calls to this address.
      boost::system::error_code ignored;
      link.connecting->close(ignored);
      link.connecting.reset();
    }
    Finish(id, Error{ErrorCode::kPeerUnreachable,
                     "no response before the timeout"});
  }

  void Finish(uint64_t id, Result<Json> result) {
    auto it = calls_.find(id);
    if (it == calls_.end()) {
      return;
    }
    auto call = it->second;
    calls_.erase(it);
    call->timer.cancel();
    if (auto link = links_.find(call->address); link != links_.end()) {
      link->second.calls_by_stream.erase(call->stream_id);
    }
    RunGuarded(
        "peer_response", [&] { call->callback(std::move(result)); },
        [&] {
          call->callback(Error{ErrorCode::kPeerMalformed,
                               "the response could not be handled"});
        });
  }

  asio::io_context& io_;
  asio::steady_timer idle_check_timer_;
  bool idle_check_scheduled_ = false;
  uint64_t last_call_ = 0;
  uint64_t closed_connection_bytes_ = 0;  // Transferred on closed connections.
  std::map<uint64_t, std::shared_ptr<PendingCall>> calls_;
  std::map<std::string, Link> links_;
};

PeerClient::PeerClient(asio::io_context& io)
    : impl_(std::make_shared<Impl>(io)) {}

PeerClient::~PeerClient() {
  impl_->Stop();
}

void PeerClient::Call(const std::string& address,
                      const std::string& path,
                      const Json& message,
                      Millis timeout,
                      Callback callback) {
  impl_->Call(address, path, message, timeout, std::move(callback));
}

uint64_t PeerClient::BytesTransferred() const {
  return impl_->BytesTransferred();
}

}  // namespace mangoyoke
