// Starts, times and ends an exchange.

#include "gateway/net/timed_exchange.h"

#include <boost/asio/post.hpp>

#include "base/run_guarded.h"

namespace mangoyoke {

TimedExchange::TimedExchange(boost::asio::io_context& io, ConnectionPool& pool)
    : io_(io), pool_(pool), timer_(io) {}

TimedExchange::~TimedExchange() {
  if (connection_) {
    connection_->Close();
  }
}

void TimedExchange::Start(const std::string& address,
                          HttpRequest request,
                          const ExpectedResponse& expected,
                          const ExchangeOptions& options,
                          ExchangeCallbacks callbacks) {
  started_ = SteadyClock::now();
  address_ = address;
  callbacks_ = std::move(callbacks);
  max_body_bytes_ = options.max_body_bytes;
  body_timeout_ = options.body_timeout;
  body_bytes_before_ = 0;
  connection_ = pool_.Take(address, expected.request_id, options.avoid_stale);
  if (!connection_) {
    // The address cannot be parsed.
    boost::asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired()) {
        RunGuarded("exchange_end", [this] { OnEnd(ExchangeResult::kNotSent); });
      }
    });
    return;
  }
  SetTimeout(options.timeout);
  connection_->Send(std::move(request), expected, *this);
}

void TimedExchange::SetTimeout(Duration timeout) {
  timeout_ = timeout;
  if (!paused_) {
    StartTimer();
  }
}

void TimedExchange::StartTimer() {
  timer_.expires_after(timeout_);
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](
                        const boost::system::error_code& error) {
    if (error || alive.expired() || !connection_ ||
        timer_.expiry() > SteadyClock::now()) {
      return;
    }
    RunGuarded("exchange_timeout", [this] { OnTimeout(); });
  });
}

bool TimedExchange::BodyProgresses() {
  size_t before = std::exchange(body_bytes_before_, outcome_.body.size());
  return outcome_.body.size() >= before + ExchangeOptions::kMinProgressBytes;
}

void TimedExchange::OnTimeout() {
  if (body_timeout_ > Duration::zero() && BodyProgresses()) {
    SetTimeout(body_timeout_);
    return;
  }
  if (callbacks_.on_timeout) {
    if (std::optional<Duration> wait = callbacks_.on_timeout()) {
      SetTimeout(*wait);
      return;
    }
  }
  outcome_.timed_out = true;
  connection_->Close();
  OnEnd(ExchangeResult::kIncomplete);
}

void TimedExchange::Abort() {
  if (connection_) {
    outcome_.aborted = true;
    connection_->Close();
    OnEnd(ExchangeResult::kIncomplete);
  }
}

void TimedExchange::SetPaused(bool paused) {
  if (!connection_ || paused == paused_) {
    return;
  }
  paused_ = paused;
  connection_->SetPaused(paused);
  if (paused) {
    timer_.cancel();
  } else {
    StartTimer();
  }
}

void TimedExchange::OnHead(const http::response_header<>& head,
                           std::optional<uint64_t> body_length) {
  outcome_.head = head;
  if (callbacks_.on_head) {
    stream_body_ = callbacks_.on_head(head);
  }
  // Such a body would be received in vain.
  if (!stream_body_ && body_length.value_or(0) > max_body_bytes_) {
    Abort();
    return;
  }
  // What is left for the head may be longer.
  if (body_timeout_ > Duration::zero() &&
      timer_.expiry() < SteadyClock::now() + body_timeout_) {
    SetTimeout(body_timeout_);
  }
}

void TimedExchange::OnData(std::string data) {
  if (stream_body_) {
    callbacks_.on_data(std::move(data));
    return;
  }
  if (outcome_.body.empty()) {
    outcome_.body_memory =
        pool_.body_memory().NewShare([this] { AbortLater(); });
  }
  if (outcome_.body.size() + data.size() > max_body_bytes_ ||
      !AppendWithin(outcome_.body_memory, outcome_.body, data)) {
    Abort();
  }
}

void TimedExchange::AbortLater() {
  boost::asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      RunGuarded("exchange_abort", [this] { Abort(); });
    }
  });
}

void TimedExchange::OnEnd(ExchangeResult result) {
  timer_.cancel();
  auto connection = std::exchange(connection_, nullptr);
  if (connection && result == ExchangeResult::kComplete) {
    pool_.Return(address_, std::move(connection));
  }
  outcome_.body_memory.SetGiveUp(nullptr);
  outcome_.result = result;
  outcome_.elapsed = SteadyClock::now() - started_;
  // The callback may destroy this object.
  auto on_end = std::move(callbacks_.on_end);
  on_end(std::exchange(outcome_, ExchangeOutcome{}));
}

}  // namespace mangoyoke
