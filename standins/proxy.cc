// Fault-injecting TCP proxy: delays data, stalls or closes connections, and
// loses responses.

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cxxopts.hpp>
#include <set>

#include "standin_server.h"

namespace mangoyoke::standin {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// kCut closes all connections and each new one, kStall holds all data back,
// kLoseReply closes a connection as soon as the target responds.
enum class Fault { kNone, kCut, kStall, kLoseReply };

// The fault in effect, shared by all connections.
struct ProxyState {
  Fault fault = Fault::kNone;
  double delay_ms = 0;  // Added to each piece of forwarded data.
};

// One relayed connection. Side 0 is the client, side 1 the target.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(Tcp::socket client, asio::io_context& io, const ProxyState& state)
      : state_(state),
        client_(std::move(client)),
        server_(io),
        timers_{asio::steady_timer(io), asio::steady_timer(io)} {}

  void Start(const Tcp::endpoint& target) {
    server_.async_connect(target, [self = shared_from_this()](
                                      const boost::system::error_code& error) {
      if (error) {
        self->Close();
        return;
      }
      self->Read(0);
      self->Read(1);
    });
  }

  void Close() {
    boost::system::error_code ignored;
    client_.close(ignored);
    server_.close(ignored);
  }

 private:
  static constexpr size_t kBufferBytes = 64 << 10;
  static constexpr Duration kStallPollInterval = Millis(20);

  Tcp::socket& Source(int side) { return side == 0 ? client_ : server_; }
  Tcp::socket& Destination(int side) { return side == 0 ? server_ : client_; }

  void Read(int side) {
    Source(side).async_read_some(
        asio::buffer(buffers_[side]),
        [self = shared_from_this(), side](
            const boost::system::error_code& error, size_t count) {
          if (error) {
            self->Close();
            return;
          }
          self->Forward(side, count);
        });
  }

  // Forwards `count` bytes read from `side`, subject to the fault.
  void Forward(int side, size_t count) {
    bool is_response = side == 1;
    if (state_.fault == Fault::kLoseReply && is_response) {
      Close();
      return;
    }
    if (state_.fault == Fault::kStall) {
      RetryForwardAfter(side, count, kStallPollInterval);
      return;
    }
    if (state_.delay_ms > 0) {
      timers_[side].expires_after(FromMillis(state_.delay_ms));
      timers_[side].async_wait([self = shared_from_this(), side,
                                count](const boost::system::error_code& error) {
        if (!error) {
          self->Write(side, count);
        }
      });
      return;
    }
    Write(side, count);
  }

  // Calls Forward() again after `wait`.
  void RetryForwardAfter(int side, size_t count, Duration wait) {
    timers_[side].expires_after(wait);
    timers_[side].async_wait([self = shared_from_this(), side,
                              count](const boost::system::error_code& error) {
      if (!error) {
        self->Forward(side, count);
      }
    });
  }

  void Write(int side, size_t count) {
    asio::async_write(Destination(side),
                      asio::buffer(buffers_[side].data(), count),
                      [self = shared_from_this(), side](
                          const boost::system::error_code& error, size_t) {
                        if (error) {
                          self->Close();
                          return;
                        }
                        self->Read(side);
                      });
  }

  const ProxyState& state_;
  Tcp::socket client_;
  Tcp::socket server_;
  std::array<std::array<char, kBufferBytes>, 2> buffers_;
  std::array<asio::steady_timer, 2> timers_;
};

Tcp::endpoint ParseEndpoint(const std::string& text) {
  size_t colon = text.rfind(':');
  return Tcp::endpoint(
      asio::ip::make_address(text.substr(0, colon)),
      static_cast<uint16_t>(std::stoi(text.substr(colon + 1))));
}

// Accepts connections to relay; the fault is set over HTTP.
class Proxy : public ServerRequestHandler {
 public:
  Proxy(asio::io_context& io,
        const std::string& listen,
        const std::string& target)
      : io_(io),
        acceptor_(io, ParseEndpoint(listen)),
        target_(ParseEndpoint(target)) {
    Accept();
  }

  void OnRequest(ServerRequest request,
                 std::shared_ptr<ResponseStream> stream) override {
    Json body = ReadBody(request);
    std::string fault = body.value("fault", "none");
    state_.fault = fault == "cut"          ? Fault::kCut
                   : fault == "stall"      ? Fault::kStall
                   : fault == "lose_reply" ? Fault::kLoseReply
                                           : Fault::kNone;
    state_.delay_ms = body.value("delay_ms", 0.0);
    if (state_.fault == Fault::kCut) {
      for (const auto& weak : relays_) {
        if (auto relay = weak.lock()) {
          relay->Close();
        }
      }
      relays_.clear();
    }
    Reply(stream, 200, Json::object());
  }

  void OnDisconnect(uint64_t) override {}

 private:
  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error,
                                  Tcp::socket socket) {
      if (!error && state_.fault != Fault::kCut) {
        auto relay = std::make_shared<Relay>(std::move(socket), io_, state_);
        std::erase_if(relays_, [](const auto& weak) { return weak.expired(); });
        relays_.push_back(relay);
        relay->Start(target_);
      }
      Accept();
    });
  }

  asio::io_context& io_;
  ProxyState state_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint target_;
  std::vector<std::weak_ptr<Relay>> relays_;
};

}  // namespace

int RunProxy(int argc, char** argv) {
  cxxopts::Options parser("standin proxy", "Fault-injecting TCP proxy");
  std::string listen;
  std::string target;
  std::string admin;
  parser.add_options()("listen", "IP:port", cxxopts::value(listen))(
      "target", "IP:port", cxxopts::value(target))(
      "admin", "IP:port of the HTTP interface", cxxopts::value(admin));
  parser.parse(argc, argv);
  asio::io_context io(1);
  Proxy proxy(io, listen, target);
  return RunServer(io, proxy, admin);
}

}  // namespace mangoyoke::standin
