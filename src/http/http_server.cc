// Implementation of the HTTP server on Pistache.

#include "http/http_server.h"

#include <fcntl.h>
#include <pistache/endpoint.h>
#include <pistache/http.h>
#include <pistache/peer.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <mutex>
#include <unordered_map>

namespace mangoyoke {
namespace {

// Longer than the longest request. With a shorter timeout Pistache would write
// its timeout response into the middle of a response that is being streamed.
constexpr std::chrono::seconds kHeaderTimeout{700};
constexpr std::chrono::seconds kBodyTimeout{700};
constexpr int kBacklog = 1024;

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

// The state of each open connection, by connection id. Thread-safe.
class ConnectionTable {
 public:
  std::shared_ptr<ConnectionState> GetOrCreate(uint64_t id) {
    std::lock_guard lock(mutex_);
    auto& state = states_[id];
    if (!state) {
      state = std::make_shared<ConnectionState>();
    }
    return state;
  }

  void Remove(uint64_t id) {
    std::lock_guard lock(mutex_);
    states_.erase(id);
  }

 private:
  std::mutex mutex_;
  std::unordered_map<uint64_t, std::shared_ptr<ConnectionState>> states_;
};

// Converts Pistache's requests and passes them to an HttpHandler.
class PistacheHandler : public Pistache::Http::Handler {
 public:
  HTTP_PROTOTYPE(PistacheHandler)

  PistacheHandler(HttpHandler* handler, std::shared_ptr<ConnectionTable> table)
      : handler_(handler), table_(std::move(table)) {}

  void onRequest(const Pistache::Http::Request& request,
                 Pistache::Http::ResponseWriter response) override {
    auto peer = response.peer();
    auto state = table_->GetOrCreate(peer->getID());
    if (state->busy.exchange(true)) {
      // A pipelined request: its response could mix with the one being written,
      // so the connection is closed.
      ::shutdown(peer->fd(), SHUT_RDWR);
      return;
    }
    int duplicate_fd = ::fcntl(peer->fd(), F_DUPFD_CLOEXEC, 0);
    if (duplicate_fd < 0) {
      ::shutdown(peer->fd(), SHUT_RDWR);
      return;
    }
    handler_->OnRequest(
        ConvertRequest(request, peer->getID()),
        ServerConnection{UniqueFd(duplicate_fd), std::move(state)});
  }

  void onDisconnection(
      const std::shared_ptr<Pistache::Tcp::Peer>& peer) override {
    table_->Remove(peer->getID());
    handler_->OnDisconnect(peer->getID());
  }

 private:
  static ServerRequest ConvertRequest(const Pistache::Http::Request& request,
                                      uint64_t connection_id) {
    ServerRequest converted;
    converted.connection_id = connection_id;
    converted.method = Pistache::Http::methodString(request.method());
    converted.path = request.resource();
    for (auto it = request.query().parameters_begin();
         it != request.query().parameters_end(); ++it) {
      converted.query[it->first] = it->second;
    }
    for (const auto& [name, raw] : request.headers().rawList()) {
      converted.headers.emplace_back(ToLower(name), raw.value());
    }
    converted.body = request.body();
    return converted;
  }

  HttpHandler* handler_;
  std::shared_ptr<ConnectionTable> table_;
};

}  // namespace

std::string_view ServerRequest::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

std::string_view ServerRequest::Query(const std::string& name) const {
  auto it = query.find(name);
  return it == query.end() ? std::string_view() : it->second;
}

int ServerRequest::HeaderCount(std::string_view name) const {
  return static_cast<int>(std::count_if(
      headers.begin(), headers.end(),
      [name](const auto& header) { return header.first == name; }));
}

class HttpServer::Impl {
 public:
  Impl(HttpServerOptions options, HttpHandler& handler)
      : options_(std::move(options)), handler_(handler) {}

  Result<Unit> Start() {
    try {
      endpoint_ = std::make_unique<Pistache::Http::Endpoint>(
          Pistache::Address(options_.address));
      auto flags = Pistache::Flags<Pistache::Tcp::Options>(
          Pistache::Tcp::Options::ReuseAddr);
      flags.setFlag(Pistache::Tcp::Options::NoDelay);
      endpoint_->init(Pistache::Http::Endpoint::options()
                          .threads(options_.threads)
                          .maxRequestSize(options_.max_request_bytes)
                          .maxResponseSize(options_.max_request_bytes)
                          .headerTimeout(kHeaderTimeout)
                          .bodyTimeout(kBodyTimeout)
                          .keepaliveTimeout(kHeaderTimeout)
                          .backlog(kBacklog)
                          .flags(flags));
      endpoint_->setHandler(std::make_shared<PistacheHandler>(
          &handler_, std::make_shared<ConnectionTable>()));
      endpoint_->serveThreaded();
    } catch (const std::exception& exception) {
      return Error{
          ErrorCode::kSettingsInvalid,
          "cannot listen on " + options_.address + ": " + exception.what()};
    }
    return Unit{};
  }

  void Stop() {
    if (endpoint_) {
      endpoint_->shutdown();
    }
  }

 private:
  HttpServerOptions options_;
  HttpHandler& handler_;
  std::unique_ptr<Pistache::Http::Endpoint> endpoint_;
};

HttpServer::HttpServer(HttpServerOptions options, HttpHandler& handler)
    : impl_(std::make_unique<Impl>(std::move(options), handler)) {}
HttpServer::~HttpServer() = default;

Result<Unit> HttpServer::Start() {
  return impl_->Start();
}

void HttpServer::Stop() {
  impl_->Stop();
}

}  // namespace mangoyoke
