// Sends requests and parses responses on one connection.

#include "gateway/net/http_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

#include "base/log.h"
#include "base/run_guarded.h"

namespace mangoyoke {
namespace {

// The server's host accepts a connection within a few round trips, so a longer
// wait means that it is unreachable.
constexpr Duration kConnectTimeout = Millis(300);
// The connection fails if the server's host does not respond this long, or a
// full socket of the server takes no bytes this long. A sound host or server
// may be silent for a second or so.
constexpr Millis kUnackedTimeout{4000};
constexpr size_t kReadBytes = 8 << 10;
// Limits for a server that sends bytes without end that are no response:
// interim responses and responses to earlier requests in one exchange, with
// their bodies.
constexpr int kMaxSkippedResponses = 16;
constexpr size_t kMaxSkippedBytes = 1 << 20;
// A connection is given up after this many exchanges with a request id, which
// bounds the memory for the ids.
constexpr size_t kMaxCarriedIds = 1024;

std::string ToString(const Tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

size_t HashOf(const std::string& request_id) {
  return std::hash<std::string>()(request_id);
}

// Parses "timeout=N" (seconds) in the value of a Keep-Alive header.
std::optional<Duration> ParseKeepAliveTimeout(std::string_view value) {
  constexpr std::string_view kName = "timeout=";
  size_t at = value.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  value.remove_prefix(at + kName.size());
  int seconds = 0;
  auto [end, error] =
      std::from_chars(value.data(), value.data() + value.size(), seconds);
  if (error != std::errc()) {
    return std::nullopt;
  }
  return Seconds(seconds);
}

}  // namespace

HttpConnection::HttpConnection(boost::asio::io_context& io,
                               Tcp::endpoint endpoint,
                               ResponseCheck check_response)
    : io_(io),
      socket_(io),
      endpoint_(std::move(endpoint)),
      check_response_(std::move(check_response)),
      connect_timer_(io) {}

void HttpConnection::Send(HttpRequest request,
                          const ExpectedResponse& expected,
                          ExchangeObserver& observer) {
  is_head_request_ = request.method() == http::verb::head;
  request_ = std::move(request);
  expected_ = expected;
  observer_ = &observer;
  maybe_sent_ = false;
  skipped_responses_ = 0;
  skipped_bytes_ = 0;
  ++exchanges_;
  if (!expected_.request_id.empty()) {
    carried_ids_.push_back(HashOf(expected_.request_id));
  }
  ResetReader();
  if (connected_) {
    Write();
  } else {
    Connect();
  }
}

template <typename Handler>
void HttpConnection::Run(const Handler& handler) {
  RunGuarded("server_connection", handler, [this] {
    keep_alive_ = false;
    Finish(ExchangeResult::kIncomplete);
    CloseSocket();
  });
}

void HttpConnection::Connect() {
  connect_timer_.expires_after(kConnectTimeout);
  connect_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->connected_) {
          self->Run([&] { self->Finish(ExchangeResult::kNotSent); });
        }
      });
  socket_.async_connect(endpoint_, [self = shared_from_this()](
                                       const boost::system::error_code& error) {
    if (!self->closed_) {
      self->Run([&] { self->OnConnect(error); });
    }
  });
}

void HttpConnection::OnConnect(const boost::system::error_code& error) {
  connect_timer_.cancel();
  if (error) {
    Finish(ExchangeResult::kNotSent);
    return;
  }
  connected_ = true;
  PrepareSocket(socket_, kUnackedTimeout);
  if (!SocketIsQuiet()) {
    Finish(ExchangeResult::kNotSent);
    return;
  }
  Read();
  Write();
}

void HttpConnection::Write() {
  writing_ = true;
  http::async_write(socket_, *request_,
                    [self = shared_from_this()](
                        const boost::system::error_code& error, size_t size) {
                      self->Run([&] { self->OnWritten(error, size); });
                    });
}

void HttpConnection::OnWritten(const boost::system::error_code& error,
                               size_t size) {
  writing_ = false;
  request_.reset();
  maybe_sent_ = maybe_sent_ || size > 0;
  if (closed_) {
    return;
  }
  if (error) {
    Finish(maybe_sent_ ? ExchangeResult::kIncomplete
                       : ExchangeResult::kNotSent);
  } else if (ended_early_) {
    Finish(ExchangeResult::kEndedByClose);
  }
}

void HttpConnection::Read() {
  if (reading_ || paused_ || closed_) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes),
      [self = shared_from_this()](const boost::system::error_code& error,
                                  size_t size) {
        self->reading_ = false;
        if (!self->closed_) {
          self->Run([&] { self->OnRead(error, size); });
        }
      });
}

void HttpConnection::OnRead(const boost::system::error_code& error,
                            size_t size) {
  if (error) {
    OnReadError(error);
    return;
  }
  buffer_.commit(size);
  if (observer_ == nullptr) {
    LogUnsolicited("bytes came while it was idle");
    CloseSocket();
    return;
  }
  maybe_sent_ = true;
  Parse();
  Read();
}

void HttpConnection::Parse() {
  while (observer_ != nullptr && buffer_.size() > 0) {
    auto read = reader_->Read(buffer_);
    if (!Ok(read)) {
      Finish(ExchangeResult::kIncomplete);
      return;
    }
    if (reader_->head_done() && !head_done_) {
      OnHeadParsed();
    }
    if (observer_ == nullptr || closed_) {
      return;
    }
    DeliverBody();
    if (observer_ == nullptr || closed_) {
      return;
    }
    if (SendsWithoutEnd()) {
      Finish(ExchangeResult::kIncomplete);
      return;
    }
    if (reader_->done()) {
      if (skip_response_) {
        ResetReader();
        continue;
      }
      if (buffer_.size() > 0) {
        LogUnsolicited("bytes came after the response");
        keep_alive_ = false;
      }
      keep_alive_ = keep_alive_ && reader_->keep_alive();
      Finish(ExchangeResult::kComplete);
      return;
    }
    if (std::get<size_t>(read) == 0) {
      return;
    }
  }
}

void HttpConnection::OnHeadParsed() {
  head_done_ = true;
  const auto& head = reader_->head();
  if (IsInterimStatus(head.result_int())) {
    SkipResponse();  // The final one follows.
    return;
  }
  ResponseFault fault = check_response_(head, expected_);
  if (MayBeLate(fault)) {
    SkipForeignResponse(fault);
    return;
  }
  if (fault != ResponseFault::kNone) {
    RejectResponse(fault);
    return;
  }
  if (auto found = head.find(http::field::keep_alive); found != head.end()) {
    server_idle_timeout_ = ParseKeepAliveTimeout(
        std::string_view(found->value().data(), found->value().size()));
  }
  observer_->OnHead(head, reader_->body_length());
}

void HttpConnection::DeliverBody() {
  std::string data = reader_->TakeBody();
  if (skip_response_) {
    skipped_bytes_ += data.size();
  } else if (head_done_ && !data.empty()) {
    observer_->OnData(std::move(data));
  }
}

void HttpConnection::SkipResponse() {
  skip_response_ = true;
  ++skipped_responses_;
}

bool HttpConnection::MayBeLate(ResponseFault fault) const {
  return fault == ResponseFault::kOtherRequest ||
         (fault == ResponseFault::kNoRequestId && exchanges_ > 1);
}

void HttpConnection::SkipForeignResponse(ResponseFault fault) {
  keep_alive_ = false;
  LogFault("response_skipped", fault);
  SkipResponse();
}

void HttpConnection::RejectResponse(ResponseFault fault) {
  LogFault("response_rejected", fault);
  Finish(ExchangeResult::kIncomplete);
}

void HttpConnection::LogFault(std::string_view event,
                              ResponseFault fault) const {
  LogEvent(event, LogLevel::kWarning)
      .Field("server", ToString(endpoint_))
      .Field("request", expected_.request_id)
      .Field("why", ResponseFaultName(fault))
      .Field("status", static_cast<int64_t>(reader_->head().result_int()));
}

void HttpConnection::LogUnsolicited(std::string_view when) const {
  LogEvent("connection_given_up", LogLevel::kWarning)
      .Field("server", ToString(endpoint_))
      .Field("request", expected_.request_id)
      .Field("why", when);
}

bool HttpConnection::SendsWithoutEnd() const {
  return skipped_responses_ > kMaxSkippedResponses ||
         skipped_bytes_ > kMaxSkippedBytes;
}

void HttpConnection::ResetReader() {
  reader_.emplace(MessageLimits{});
  if (is_head_request_) {
    reader_->SkipBody();
  }
  head_done_ = false;
  skip_response_ = false;
}

void HttpConnection::OnReadError(const boost::system::error_code& error) {
  if (observer_ == nullptr) {
    CloseSocket();
    return;
  }
  bool orderly = error == boost::asio::error::eof;
  keep_alive_ = false;
  if (orderly && head_done_ && !skip_response_ &&
      reader_->EndsWithConnection()) {
    if (writing_) {
      ended_early_ = true;  // OnWritten decides.
    } else {
      Finish(ExchangeResult::kEndedByClose);
    }
    return;
  }
  // Not kNotSent: bytes of the request may have been sent although the write
  // has not completed yet.
  Finish(ExchangeResult::kIncomplete);
}

void HttpConnection::Finish(ExchangeResult result) {
  ExchangeObserver* observer = std::exchange(observer_, nullptr);
  // If the response arrived before the request was completely written, the
  // connection cannot be reused, because the server still expects the rest of
  // the request.
  if (result != ExchangeResult::kComplete || !keep_alive_ || writing_) {
    CloseSocket();
  } else {
    idle_since_ = SteadyClock::now();
  }
  if (observer != nullptr) {
    observer->OnEnd(result);
  }
}

void HttpConnection::SetPaused(bool paused) {
  paused_ = paused;
  if (connected_) {
    Read();
  }
}

bool HttpConnection::Reusable() const {
  return connected_ && !closed_ && observer_ == nullptr && keep_alive_ &&
         !paused_ && carried_ids_.size() < kMaxCarriedIds;
}

bool HttpConnection::HasCarried(const std::string& request_id) const {
  return !request_id.empty() &&
         std::find(carried_ids_.begin(), carried_ids_.end(),
                   HashOf(request_id)) != carried_ids_.end();
}

bool HttpConnection::SocketIsQuiet() {
  char byte = 0;
  ssize_t peeked =
      recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (peeked > 0) {
    LogUnsolicited("bytes came before the request");
  }
  return peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpConnection::Close() {
  observer_ = nullptr;
  on_idle_close_ = nullptr;
  CloseSocket();
}

void HttpConnection::CloseSocket() {
  if (closed_) {
    return;
  }
  closed_ = true;
  connect_timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (auto callback = std::exchange(on_idle_close_, nullptr)) {
    callback();
  }
}

}  // namespace mangoyoke
