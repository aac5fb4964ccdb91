// Accepts callers' connections.

#include "gateway/net/http_listener.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <vector>

#include "base/log.h"
#include "base/run_guarded.h"
#include "gateway/net/http_session.h"

namespace mangoyoke {
namespace {

constexpr int kBacklog = 1024;
// Wait after a failed accept, for example when no file descriptors are left.
constexpr Duration kAcceptRetryDelay = Millis(20);
// Expired sessions are removed each time the list reaches a multiple of this
// size.
constexpr size_t kSweepEverySessions = 64;

}  // namespace

class HttpListener::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& io, RequestHandler& handler)
      : acceptor_(io),
        accept_retry_timer_(io),
        handler_(handler),
        state_(std::make_shared<ListenerState>()) {}

  Result<Unit> Listen(const std::string& address) {
    auto endpoint = ParseEndpoint(address);
    if (const auto* error = std::get_if<Error>(&endpoint)) {
      return *error;
    }
    boost::system::error_code error;
    const auto& listen_endpoint = std::get<Tcp::endpoint>(endpoint);
    acceptor_.open(listen_endpoint.protocol(), error);
    if (!error) {
      acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      acceptor_.bind(listen_endpoint, error);
    }
    if (!error) {
      acceptor_.listen(kBacklog, error);
    }
    if (error) {
      return Error{ErrorCode::kSettingsInvalid,
                   "cannot listen on " + address + ": " + error.message()};
    }
    Accept();
    return Unit{};
  }

  void StartDraining() { state_->draining = true; }

  void Stop() {
    state_->draining = true;
    state_->stopped = true;
    AcceptBacklog();
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    accept_retry_timer_.cancel();
    for (const auto& weak : sessions_) {
      if (auto session = weak.lock()) {
        session->CloseIfIdle();
      }
    }
  }

  void SetBodyMemory(size_t limit) { state_->body_memory.SetLimit(limit); }

  void RejectUnfinished() {
    for (const auto& weak : sessions_) {
      if (auto session = weak.lock()) {
        session->RejectUnfinished();
      }
    }
  }

  size_t busy_connections() const {
    return static_cast<size_t>(
        std::count_if(sessions_.begin(), sessions_.end(), [](const auto& weak) {
          auto session = weak.lock();
          return session && session->busy();
        }));
  }

 private:
  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](const boost::system::error_code& error,
                                    Tcp::socket socket) {
          if (self->state_->stopped) {
            if (!error) {
              self->StartSession(std::move(socket));
            }
            return;
          }
          if (error) {
            LogEvent("accept_failed", LogLevel::kWarning)
                .Field("why", error.message());
            self->RetryAcceptLater();
            return;
          }
          self->StartSession(std::move(socket));
          self->Accept();
        });
  }

  void StartSession(Tcp::socket socket) {
    RunGuarded("accepted_connection", [&] {
      auto session =
          std::make_shared<HttpSession>(std::move(socket), handler_, state_);
      TrackSession(session);
      session->Start();
    });
  }

  // Takes the connections that the kernel has established already: closing the
  // acceptor would reset them, with the requests on them.
  void AcceptBacklog() {
    if (!acceptor_.is_open()) {
      return;
    }
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
      Tcp::socket socket(acceptor_.get_executor());
      acceptor_.accept(socket, error);
      if (!error) {
        StartSession(std::move(socket));
      }
    }
    if (error != boost::asio::error::would_block) {
      LogEvent("accept_failed", LogLevel::kWarning)
          .Field("why", error.message());
    }
  }

  void RetryAcceptLater() {
    accept_retry_timer_.expires_after(kAcceptRetryDelay);
    accept_retry_timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (!error) {
            self->Accept();
          }
        });
  }

  void TrackSession(const std::shared_ptr<HttpSession>& session) {
    if (sessions_.size() % kSweepEverySessions == 0) {
      std::erase_if(sessions_, [](const auto& weak) { return weak.expired(); });
    }
    sessions_.push_back(session);
  }

  Tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  RequestHandler& handler_;
  std::shared_ptr<ListenerState> state_;
  std::vector<std::weak_ptr<HttpSession>> sessions_;
};

HttpListener::HttpListener(boost::asio::io_context& io, RequestHandler& handler)
    : impl_(std::make_shared<Impl>(io, handler)) {}

HttpListener::~HttpListener() {
  impl_->Stop();
}

Result<Unit> HttpListener::Listen(const std::string& address) {
  return impl_->Listen(address);
}

void HttpListener::SetBodyMemory(size_t limit) {
  impl_->SetBodyMemory(limit);
}

void HttpListener::StartDraining() {
  impl_->StartDraining();
}

void HttpListener::Stop() {
  impl_->Stop();
}

void HttpListener::RejectUnfinished() {
  impl_->RejectUnfinished();
}

size_t HttpListener::busy_connections() const {
  return impl_->busy_connections();
}

}  // namespace mangoyoke
