// Sending requests and parsing answers on one connection.

#include "gateway/net/http_connection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>

namespace mangoyoke {
namespace {

// A server's machine answers a connection request within some round trips.
constexpr Duration kConnectTimeout = Millis(300);
// Written bytes that stay unacknowledged this long break the connection.
constexpr Millis kSilence{1500};
constexpr size_t kReadBytes = 8 << 10;

// The seconds in "timeout=N" of a Keep-Alive header.
std::optional<Duration> KeepAliveLimit(std::string_view value) {
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
                               RequestIdExtractor answer_id)
    : io_(io),
      socket_(io),
      endpoint_(std::move(endpoint)),
      answer_id_(std::move(answer_id)),
      connect_timer_(io) {}

void HttpConnection::Send(HttpRequest request,
                          const std::string& request_id,
                          ExchangeObserver& observer) {
  request_ = std::move(request);
  request_id_ = request_id;
  observer_ = &observer;
  sent_ = false;
  ++exchanges_;
  NewParser();
  if (connected_) {
    Write();
  } else {
    Connect();
  }
}

void HttpConnection::Connect() {
  connect_timer_.expires_after(kConnectTimeout);
  connect_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && !self->connected_) {
          self->Finish(ExchangeResult::kNotSent);
        }
      });
  socket_.async_connect(endpoint_, [self = shared_from_this()](
                                       const boost::system::error_code& error) {
    if (self->closed_) {
      return;
    }
    self->connect_timer_.cancel();
    if (error) {
      self->Finish(ExchangeResult::kNotSent);
      return;
    }
    self->connected_ = true;
    PrepareSocket(self->socket_, kSilence);
    self->Read();
    self->Write();
  });
}

void HttpConnection::Write() {
  writing_ = true;
  http::async_write(socket_, *request_,
                    [self = shared_from_this()](
                        const boost::system::error_code& error, size_t size) {
                      self->writing_ = false;
                      self->sent_ = self->sent_ || size > 0;
                      if (error && !self->closed_) {
                        self->Finish(self->sent_ ? ExchangeResult::kIncomplete
                                                 : ExchangeResult::kNotSent);
                      }
                    });
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
          self->OnRead(error, size);
        }
      });
}

void HttpConnection::OnRead(const boost::system::error_code& error,
                            size_t size) {
  if (error) {
    OnEof(error);
    return;
  }
  buffer_.commit(size);
  if (observer_ == nullptr) {
    // Bytes that no request waits for.
    Drop();
    return;
  }
  sent_ = true;
  Parse();
  Read();
}

void HttpConnection::Parse() {
  while (observer_ != nullptr && buffer_.size() > 0) {
    boost::system::error_code error;
    size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error && error != http::error::need_more) {
      Finish(ExchangeResult::kIncomplete);
      return;
    }
    if (parser_->is_header_done() && !head_done_) {
      OnHeadParsed();
    }
    if (observer_ == nullptr || closed_) {
      return;
    }
    Deliver();
    if (observer_ == nullptr || closed_) {
      return;
    }
    if (parser_->is_done()) {
      if (foreign_) {
        NewParser();
        continue;
      }
      keep_ = keep_ && parser_->keep_alive() && buffer_.size() == 0;
      Finish(ExchangeResult::kComplete);
      return;
    }
    if (used == 0) {
      return;
    }
  }
}

void HttpConnection::OnHeadParsed() {
  head_done_ = true;
  const auto& head = parser_->get().base();
  if (head.result_int() / 100 == 1) {
    foreign_ = true;  // An interim answer; the final one follows.
    return;
  }
  std::string id = answer_id_ ? answer_id_(head) : std::string();
  // Without an id only the first answer of a connection is surely the one.
  bool known = request_id_.empty() || id == request_id_ ||
               (id.empty() && exchanges_ == 1);
  if (!known) {
    foreign_ = true;
    return;
  }
  if (auto found = head.find(http::field::keep_alive); found != head.end()) {
    idle_limit_ = KeepAliveLimit(
        std::string_view(found->value().data(), found->value().size()));
  }
  observer_->OnHead(head);
}

void HttpConnection::Deliver() {
  std::string data = std::exchange(parser_->get().body(), std::string());
  if (head_done_ && !foreign_ && !data.empty()) {
    observer_->OnData(std::move(data));
  }
}

void HttpConnection::NewParser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->body_limit(boost::none);
  if (request_ && request_->method() == http::verb::head) {
    parser_->skip(true);
  }
  head_done_ = false;
  foreign_ = false;
}

void HttpConnection::OnEof(const boost::system::error_code& error) {
  if (observer_ == nullptr) {
    Drop();
    return;
  }
  bool orderly = error == boost::asio::error::eof;
  keep_ = false;
  if (orderly && head_done_ && !foreign_) {
    boost::system::error_code eof_error;
    parser_->put_eof(eof_error);
    if (!eof_error && parser_->is_done()) {
      Finish(ExchangeResult::kComplete);
      return;
    }
  }
  // The write may be under way although it has not reported yet.
  Finish(ExchangeResult::kIncomplete);
}

void HttpConnection::Finish(ExchangeResult result) {
  ExchangeObserver* observer = std::exchange(observer_, nullptr);
  // The rest of a request whose answer came early is owed to the server.
  if (result != ExchangeResult::kComplete || !keep_ || writing_) {
    Drop();
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
  return connected_ && !closed_ && observer_ == nullptr && keep_ && !paused_;
}

void HttpConnection::Close() {
  observer_ = nullptr;
  on_idle_close_ = nullptr;
  Drop();
}

void HttpConnection::Drop() {
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
