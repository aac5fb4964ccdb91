// Reads requests and writes responses on one caller's connection.

#include "gateway/net/http_session.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

#include "base/log.h"
#include "base/run_guarded.h"

namespace mangoyoke {
namespace {

constexpr size_t kReadBytes = 8 << 10;
// Unsent bytes queued for a slow caller at which backpressure is applied to its
// backend server. It is released below half of this.
constexpr size_t kBackpressureBytes = 256 << 10;
// A longer body is not copied in order to send it together with its head.
constexpr size_t kMaxCopiedBodyBytes = 16 << 10;
// The body of a request is kept, and copied for the server that gets it.
constexpr size_t kMemoryPerBodyByte = 2;
// Requests of ordinary size are not accounted for.
constexpr size_t kMaxFreeBodyBytes = 32 << 10;
// The connection fails if written bytes stay unacknowledged this long.
constexpr Millis kUnackedTimeout{10'000};
// How long incoming bytes are read and discarded after the last response.
// Closing a socket with unread bytes resets the connection, and the caller
// could lose the response.
constexpr Duration kLingerTimeout = Millis(500);
// Time to read bytes that had arrived when a timeout expired.
constexpr Duration kUnreadGrace = Millis(50);
constexpr int kHttp10 = 10;

std::string_view CloseReasonName(CloseReason reason) {
  switch (reason) {
    case CloseReason::kCallerLeft:
      return "caller_left";
    case CloseReason::kLastResponse:
      return "last_response";
    case CloseReason::kLingerTimeout:
      return "linger_timeout";
    case CloseReason::kIdleTimeout:
      return "idle_timeout";
    case CloseReason::kHeaderTimeout:
      return "header_timeout";
    case CloseReason::kBodyTimeout:
      return "body_timeout";
    case CloseReason::kStopping:
      return "stopping";
    case CloseReason::kResponseBroken:
      return "response_broken";
    case CloseReason::kInternalError:
      return "internal_error";
    case CloseReason::kMemory:
      return "memory";
  }
  return "unknown";
}

}  // namespace

HttpSession::HttpSession(Tcp::socket socket,
                         RequestHandler& handler,
                         std::shared_ptr<ListenerState> state)
    : socket_(std::move(socket)),
      handler_(handler),
      listener_state_(std::move(state)),
      timer_(socket_.get_executor()) {}

std::string_view HttpSession::StateName(State state) {
  switch (state) {
    case State::kIdle:
      return "idle";
    case State::kReading:
      return "reading";
    case State::kResponding:
      return "responding";
    case State::kLingering:
      return "lingering";
  }
  return "unknown";
}

void HttpSession::Start() {
  PrepareSocket(socket_, kUnackedTimeout);
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  if (error) {
    Close(CloseReason::kCallerLeft);
    return;
  }
  NextRequest();
}

template <typename Handler>
void HttpSession::Run(const Handler& handler) {
  RunGuarded("caller_connection", handler, [this] {
    auto callback = std::exchange(on_disconnect_, nullptr);
    Close(CloseReason::kInternalError);
    if (callback) {
      callback();
    }
  });
}

void HttpSession::NextRequest() {
  reader_.reset();
  body_memory_ = MemoryBudget::Share();
  state_ = State::kIdle;
  head_parsed_ = false;
  request_bytes_ = 0;
  if (buffer_.size() > 0) {
    Parse();
    return;
  }
  idle_since_ = SteadyClock::now();
  ArmTimer(IdleTimeout());
  WaitForBytes();
  if (listener_state_->stopped) {
    CloseIfIdle();
  }
}

void HttpSession::WaitForBytes() {
  if (waiting_ || closed_) {
    return;
  }
  waiting_ = true;
  // An error shows again when OnReadable reads.
  socket_.async_wait(
      Tcp::socket::wait_read,
      [self = shared_from_this()](const boost::system::error_code& /*error*/) {
        self->waiting_ = false;
        if (!self->closed_) {
          self->Run([&] { self->OnReadable(); });
        }
      });
}

void HttpSession::OnReadable() {
  if (state_ == State::kLingering) {
    buffer_.clear();
  } else if (state_ == State::kResponding && buffer_.size() >= kReadBytes) {
    return;  // Enough of the next requests; the rest waits for the response.
  }
  boost::system::error_code error;
  size_t size = socket_.read_some(buffer_.prepare(kReadBytes), error);
  if (error && error != boost::asio::error::would_block) {
    OnReadEnd();
    return;
  }
  buffer_.commit(size);
  bool reads_request = state_ == State::kIdle || state_ == State::kReading;
  if (reads_request && size > 0) {
    Parse();
  } else {
    WaitForBytes();
  }
}

void HttpSession::OnReadEnd() {
  if (state_ == State::kResponding) {
    OnCallerDisconnected();
    return;
  }
  Close(state_ == State::kLingering ? CloseReason::kLastResponse
                                    : CloseReason::kCallerLeft);
}

void HttpSession::Parse() {
  if (state_ == State::kIdle) {
    BeginRequest();
  }
  size_t used = 1;
  while (buffer_.size() > 0 && !reader_->done() && used > 0) {
    auto read = reader_->Read(buffer_);
    if (const auto* error = std::get_if<Error>(&read)) {
      RejectMalformedRequest(*error);
      return;
    }
    used = std::get<size_t>(read);
    request_bytes_ += used;
    if (reader_->head_done() && !head_parsed_ && !OnHeadParsed()) {
      return;
    }
    if (!HoldBody()) {
      RejectForMemory();
      return;
    }
  }
  if (reader_->done()) {
    Dispatch();
    return;
  }
  if (head_parsed_) {
    ArmTimer(IdleTimeout());
  }
  WaitForBytes();
}

bool HttpSession::HoldBody() {
  size_t bytes = kMemoryPerBodyByte * reader_->body_memory();
  if (bytes <= kMaxFreeBodyBytes) {
    return true;
  }
  if (!body_memory_.in_use()) {
    body_memory_ = listener_state_->body_memory.NewShare(
        [weak = weak_from_this(), executor = socket_.get_executor()] {
          boost::asio::post(executor, [weak] {
            if (auto self = weak.lock()) {
              self->Run([&] { self->RejectForMemory(); });
            }
          });
        });
  }
  return body_memory_.Resize(bytes);
}

void HttpSession::RejectForMemory() {
  if (closed_ || state_ != State::kReading) {
    return;
  }
  body_memory_ = MemoryBudget::Share();
  reader_.reset();
  LogEvent("request_rejected_for_memory", LogLevel::kWarning)
      .Field("request_bytes", static_cast<int64_t>(request_bytes_));
  RejectRequest(Error{ErrorCode::kNoMemory, "too many large requests"});
}

void HttpSession::BeginRequest() {
  CallerLimits limits = handler_.Limits();
  state_ = State::kReading;
  reader_.emplace(MessageLimits{limits.header_bytes, limits.body_bytes});
  ArmTimer(limits.header_timeout);
}

bool HttpSession::OnHeadParsed() {
  head_parsed_ = true;
  if (reader_->done()) {
    return true;
  }
  const auto& head = reader_->head();
  if (auto error = handler_.CheckHead(head)) {
    RejectRequest(*error);
    return false;
  }
  if (head.find(http::field::expect) != head.end()) {
    Enqueue("HTTP/1.1 100 Continue\r\n\r\n");
  }
  return true;
}

void HttpSession::RejectMalformedRequest(const Error& error) {
  LogEvent("request_malformed", LogLevel::kWarning).Field("why", error.detail);
  RejectRequest(error);
}

void HttpSession::RejectRequest(const Error& error) {
  keep_alive_ = false;
  state_ = State::kResponding;
  Reply(handler_.MakeParseErrorResponse(error));
}

void HttpSession::RejectIncompleteRequest() {
  LogEvent("request_timeout", LogLevel::kWarning)
      .Field("why", CloseReasonName(TimeoutReason()))
      .Field("requests", static_cast<int64_t>(requests_))
      .Field("request_bytes", static_cast<int64_t>(request_bytes_));
  RejectRequest(
      Error{ErrorCode::kRequestTimeout, "the request did not arrive in time"});
}

void HttpSession::Dispatch() {
  state_ = State::kResponding;
  ++requests_;
  timer_.cancel();
  // What has been read is served.
  body_memory_.SetGiveUp(nullptr);
  HttpRequest request = reader_->Release();
  if (request.method() == http::verb::trace && !request.body().empty()) {
    RejectMalformedRequest(
        Error{ErrorCode::kMalformedRequest, "a TRACE request with a body"});
    return;
  }
  keep_alive_ = request.keep_alive();
  is_head_request_ = request.method() == http::verb::head;
  chunked_ = request.version() > kHttp10;
  response_begun_ = false;
  response_ended_ = false;
  WaitForBytes();  // For the caller's disconnect.
  RunGuarded(
      "request_handler",
      [&] { handler_.OnRequest(std::move(request), shared_from_this()); },
      [&] { OnDispatchFailed(); });
}

void HttpSession::OnDispatchFailed() {
  if (response_begun_) {
    Abort();
    return;
  }
  Reply(handler_.MakeParseErrorResponse(
      Error{ErrorCode::kInternal, "the request could not be handled"}));
}

void HttpSession::OnCallerDisconnected() {
  auto callback = std::exchange(on_disconnect_, nullptr);
  Close(CloseReason::kCallerLeft);
  if (callback) {
    callback();
  }
}

void HttpSession::SetDisconnectCallback(std::function<void()> callback) {
  on_disconnect_ = std::move(callback);
}

void HttpSession::SetBackpressureCallback(std::function<void(bool)> callback) {
  on_backpressure_ = std::move(callback);
}

void HttpSession::Reply(HttpResponse response,
                        MemoryBudget::Share body_memory) {
  keep_alive_ = keep_alive_ && !listener_state_->draining;
  response.version(11);
  response.keep_alive(keep_alive_);
  if (!is_head_request_) {
    response.prepare_payload();
  } else {
    response.body().clear();
  }
  std::ostringstream head;
  head << response.base();
  std::string body = std::move(response.body());
  if (body.size() <= kMaxCopiedBodyBytes) {
    Enqueue(head.str() + body);
  } else {
    body_memory.SetGiveUp(
        [weak = weak_from_this(), executor = socket_.get_executor()] {
          boost::asio::post(executor, [weak] {
            if (auto self = weak.lock()) {
              self->Close(CloseReason::kMemory);
            }
          });
        });
    Enqueue(head.str());
    Enqueue(std::move(body), std::move(body_memory));
  }
  EndResponse();
}

void HttpSession::BeginStream(http::response_header<> head) {
  keep_alive_ = keep_alive_ && chunked_ && !listener_state_->draining;
  http::response<http::empty_body> start(std::move(head));
  start.version(11);
  start.keep_alive(keep_alive_);
  start.erase(http::field::content_length);
  start.erase(http::field::transfer_encoding);
  if (chunked_) {
    start.set(http::field::transfer_encoding, "chunked");
  }
  std::ostringstream out;
  out << start.base();
  Enqueue(out.str());
}

void HttpSession::Write(std::string data) {
  // An empty chunk would end the response.
  if (data.empty() || is_head_request_) {
    return;
  }
  if (!chunked_) {
    Enqueue(std::move(data));
    return;
  }
  Enqueue(boost::beast::buffers_to_string(
      http::make_chunk(boost::asio::buffer(data))));
}

void HttpSession::EndStream() {
  if (chunked_ && !is_head_request_) {
    Enqueue(boost::beast::buffers_to_string(http::make_chunk_last()));
  }
  EndResponse();
}

void HttpSession::Abort() {
  on_disconnect_ = nullptr;
  Close(CloseReason::kResponseBroken);
}

void HttpSession::EndResponse() {
  on_disconnect_ = nullptr;
  on_backpressure_ = nullptr;
  response_ended_ = true;
  if (!writing_ && !closed_) {
    OnResponseWritten();
  }
}

void HttpSession::Enqueue(std::string data, MemoryBudget::Share memory) {
  if (closed_ || data.empty()) {
    return;
  }
  response_begun_ = true;
  queued_bytes_ += data.size();
  write_queue_.push_back(QueuedBytes{std::move(data), std::move(memory)});
  if (queued_bytes_ > kBackpressureBytes && !backpressure_) {
    backpressure_ = true;
    if (on_backpressure_) {
      on_backpressure_(true);
    }
  }
  WriteNext();
}

void HttpSession::WriteNext() {
  if (writing_ || write_queue_.empty() || closed_) {
    return;
  }
  writing_ = true;
  boost::asio::async_write(socket_,
                           boost::asio::buffer(write_queue_.front().data),
                           [self = shared_from_this()](
                               const boost::system::error_code& error, size_t) {
                             self->writing_ = false;
                             if (!self->closed_) {
                               self->Run([&] { self->OnWritten(error); });
                             }
                           });
}

void HttpSession::OnWritten(const boost::system::error_code& error) {
  if (error) {
    OnCallerDisconnected();
    return;
  }
  queued_bytes_ -= write_queue_.front().data.size();
  write_queue_.pop_front();
  if (backpressure_ && queued_bytes_ < kBackpressureBytes / 2) {
    backpressure_ = false;
    if (on_backpressure_) {
      on_backpressure_(false);
    }
  }
  WriteNext();
  if (write_queue_.empty() && response_ended_) {
    OnResponseWritten();
  }
}

void HttpSession::OnResponseWritten() {
  response_ended_ = false;
  if (keep_alive_) {
    NextRequest();
    return;
  }
  boost::system::error_code ignored;
  socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  state_ = State::kLingering;
  ArmTimer(kLingerTimeout);
  WaitForBytes();
}

void HttpSession::CloseIfIdleTooLong() {
  Duration left = idle_since_ + IdleTimeout() - SteadyClock::now();
  if (left > Duration::zero()) {
    ArmTimer(left);  // The limit was raised meanwhile.
    return;
  }
  Close(CloseReason::kIdleTimeout);
}

Duration HttpSession::IdleTimeout() {
  longest_idle_timeout_ =
      std::max<Duration>(longest_idle_timeout_, handler_.Limits().idle_timeout);
  return longest_idle_timeout_;
}

void HttpSession::RejectUnfinished() {
  if (!closed_ && state_ == State::kReading) {
    RejectIncompleteRequest();
  }
}

void HttpSession::CloseIfIdle() {
  if (state_ == State::kIdle && UnreadBytes() == 0) {
    Close(CloseReason::kStopping);
  }
}

void HttpSession::ArmTimer(Duration timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait(
      [weak = weak_from_this()](const boost::system::error_code& error) {
        auto self = weak.lock();
        if (!error && self && !self->closed_) {
          self->Run([&] { self->OnTimeout(); });
        }
      });
}

void HttpSession::OnTimeout() {
  if (timer_.expiry() > SteadyClock::now()) {
    return;  // Armed anew while this callback was queued.
  }
  bool reads_request = state_ == State::kIdle || state_ == State::kReading;
  if (reads_request && UnreadBytes() > 0) {
    ArmTimer(kUnreadGrace);
    return;
  }
  switch (state_) {
    case State::kReading:
      RejectIncompleteRequest();
      return;
    case State::kIdle:
      CloseIfIdleTooLong();
      return;
    case State::kLingering:
      Close(TimeoutReason());
      return;
    case State::kResponding:
      return;
  }
}

CloseReason HttpSession::TimeoutReason() const {
  switch (state_) {
    case State::kReading:
      return head_parsed_ ? CloseReason::kBodyTimeout
                          : CloseReason::kHeaderTimeout;
    case State::kLingering:
      return CloseReason::kLingerTimeout;
    default:
      return CloseReason::kIdleTimeout;
  }
}

size_t HttpSession::UnreadBytes() const {
  boost::system::error_code error;
  size_t bytes = socket_.available(error);
  return error ? 0 : bytes;
}

void HttpSession::LogClose(CloseReason reason) const {
  size_t unread_bytes = buffer_.size() + UnreadBytes();
  bool nothing_lost = unread_bytes == 0 && state_ == State::kIdle;
  if (nothing_lost || state_ == State::kLingering) {
    return;
  }
  LogEvent("caller_connection_closed", LogLevel::kWarning)
      .Field("why", CloseReasonName(reason))
      .Field("state", StateName(state_))
      .Field("requests", static_cast<int64_t>(requests_))
      .Field("request_bytes", static_cast<int64_t>(request_bytes_))
      .Field("unread_bytes", static_cast<int64_t>(unread_bytes))
      .Field("unsent_bytes", static_cast<int64_t>(queued_bytes_));
}

void HttpSession::Close(CloseReason reason) {
  if (closed_) {
    return;
  }
  LogClose(reason);
  closed_ = true;
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace mangoyoke
