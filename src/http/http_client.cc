// Implementation of the HTTP client: libcurl's socket actions on Boost.Asio.

#include "http/http_client.h"

#include <curl/curl.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <mutex>
#include <unordered_map>

namespace mangoyoke {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr long kMaxIdleConnections = 256;

void InitCurlOnce() {
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_ALL); });
}

}  // namespace

class HttpClient::Impl {
 public:
  explicit Impl(asio::io_context& io) : io_(io), timer_(io) {
    InitCurlOnce();
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  }

  ~Impl() {
    *alive_ = false;
    for (auto& [id, transfer] : transfers_) {
      curl_multi_remove_handle(multi_, transfer->easy);
      curl_easy_cleanup(transfer->easy);
      curl_slist_free_all(transfer->headers);
    }
    transfers_.clear();
    curl_multi_cleanup(multi_);
  }

  TransferId Start(ClientRequest request,
                   DoneCallback on_done,
                   DataCallback on_data) {
    TransferId id = ++last_id_;
    auto transfer = std::make_unique<Transfer>();
    transfer->id = id;
    transfer->impl = this;
    transfer->request = std::move(request);
    transfer->on_done = std::move(on_done);
    transfer->on_data = std::move(on_data);
    transfer->easy = curl_easy_init();
    Configure(*transfer);
    transfers_[id] = std::move(transfer);
    if (in_curl_) {
      // libcurl refuses new handles inside its own callbacks.
      asio::post(io_, [this, id, alive = alive_] {
        if (*alive) {
          Add(id);
        }
      });
    } else {
      Add(id);
    }
    return id;
  }

  void Cancel(TransferId id) {
    auto it = transfers_.find(id);
    if (it == transfers_.end()) {
      return;
    }
    if (in_curl_) {
      // Inside a libcurl callback handles cannot be removed.
      it->second->cancelled = true;
      asio::post(io_, [this, id, alive = alive_] {
        if (*alive) {
          Remove(id);
        }
      });
      return;
    }
    Remove(id);
  }

  void Pause(TransferId id, bool paused) {
    auto it = transfers_.find(id);
    if (it == transfers_.end() || it->second->paused == paused) {
      return;
    }
    it->second->paused = paused;
    if (!paused) {
      asio::post(io_, [this, id, alive = alive_] {
        if (!*alive) {
          return;
        }
        if (auto found = transfers_.find(id); found != transfers_.end()) {
          Guard guard(*this);
          curl_easy_pause(found->second->easy, CURLPAUSE_CONT);
        }
        CheckDone();
      });
    }
  }

 private:
  struct Transfer {
    TransferId id = 0;
    Impl* impl = nullptr;
    ClientRequest request;
    DoneCallback on_done;
    DataCallback on_data;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    std::string body;
    bool cancelled = false;
    bool paused = false;
  };

  // One socket of libcurl. The generation tells stale waits apart.
  struct Socket {
    explicit Socket(asio::io_context& io) : tcp(io) {}
    Tcp::socket tcp;
    int action = 0;  // CURL_POLL_* wanted by libcurl.
    bool reading = false;
    bool writing = false;
  };

  // Marks that libcurl is on the stack.
  class Guard {
   public:
    explicit Guard(Impl& impl) : impl_(impl), outer_(impl.in_curl_) {
      impl_.in_curl_ = true;
    }
    ~Guard() { impl_.in_curl_ = outer_; }

   private:
    Impl& impl_;
    bool outer_;
  };

  void Configure(Transfer& transfer) {
    CURL* easy = transfer.easy;
    const ClientRequest& request = transfer.request;
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Impl::OnData);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Impl::OnOpen);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Impl::OnClose);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(request.connect_timeout.count()));
    if (request.fresh_connection) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (request.method != "GET") {
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    }
    curl_slist* headers = curl_slist_append(nullptr, "Expect:");
    for (const auto& [name, value] : request.headers) {
      headers = curl_slist_append(headers, (name + ": " + value).c_str());
    }
    transfer.headers = headers;
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  }

  static size_t OnData(char* data, size_t size, size_t count, void* user) {
    auto* transfer = static_cast<Transfer*>(user);
    if (transfer->paused) {
      return CURL_WRITEFUNC_PAUSE;
    }
    if (transfer->cancelled) {
      return size * count;
    }
    std::string_view view(data, size * count);
    if (!transfer->on_data) {
      transfer->body.append(view);
      return view.size();
    }
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    transfer->on_data(static_cast<int>(status), view);
    return view.size();
  }

  static curl_socket_t OnOpen(void* user,
                              curlsocktype purpose,
                              curl_sockaddr* address) {
    auto* self = static_cast<Impl*>(user);
    if (purpose != CURLSOCKTYPE_IPCXN) {
      return CURL_SOCKET_BAD;
    }
    auto socket = std::make_shared<Socket>(self->io_);
    boost::system::error_code error;
    socket->tcp.open(address->family == AF_INET6 ? Tcp::v6() : Tcp::v4(),
                     error);
    if (error) {
      return CURL_SOCKET_BAD;
    }
    curl_socket_t fd = socket->tcp.native_handle();
    self->sockets_[fd] = std::move(socket);
    return fd;
  }

  static int OnClose(void* user, curl_socket_t fd) {
    auto* self = static_cast<Impl*>(user);
    self->sockets_.erase(fd);
    return 0;
  }

  static int OnSocket(CURL*, curl_socket_t fd, int what, void* user, void*) {
    auto* self = static_cast<Impl*>(user);
    auto it = self->sockets_.find(fd);
    if (it == self->sockets_.end()) {
      return 0;
    }
    it->second->action = what == CURL_POLL_REMOVE ? 0 : what;
    self->Watch(fd, it->second);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* user) {
    auto* self = static_cast<Impl*>(user);
    self->timer_.cancel();
    if (timeout_ms < 0) {
      return 0;
    }
    self->timer_.expires_after(Millis(timeout_ms));
    self->timer_.async_wait(
        [self, alive = self->alive_](const boost::system::error_code& error) {
          if (!error && *alive) {
            self->Act(CURL_SOCKET_TIMEOUT, 0);
          }
        });
    return 0;
  }

  void Watch(curl_socket_t fd, const std::shared_ptr<Socket>& socket) {
    if ((socket->action & CURL_POLL_IN) != 0 && !socket->reading) {
      socket->reading = true;
      socket->tcp.async_wait(Tcp::socket::wait_read,
                             Waiter(fd, socket, CURL_CSELECT_IN));
    }
    if ((socket->action & CURL_POLL_OUT) != 0 && !socket->writing) {
      socket->writing = true;
      socket->tcp.async_wait(Tcp::socket::wait_write,
                             Waiter(fd, socket, CURL_CSELECT_OUT));
    }
  }

  std::function<void(const boost::system::error_code&)>
  Waiter(curl_socket_t fd, const std::shared_ptr<Socket>& socket, int event) {
    return [this, fd, event, weak = std::weak_ptr<Socket>(socket),
            alive = alive_](const boost::system::error_code& error) {
      auto socket = weak.lock();
      if (!*alive || !socket) {
        return;
      }
      (event == CURL_CSELECT_IN ? socket->reading : socket->writing) = false;
      int wanted = event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
      if ((socket->action & wanted) == 0) {
        return;
      }
      Act(fd, error ? CURL_CSELECT_ERR : event);
      // libcurl does not repeat an unchanged wish, so the wait is renewed.
      if (auto it = sockets_.find(fd);
          it != sockets_.end() && it->second == socket) {
        Watch(fd, socket);
      }
    };
  }

  void Act(curl_socket_t fd, int event) {
    int running = 0;
    {
      Guard guard(*this);
      curl_multi_socket_action(multi_, fd, event, &running);
    }
    CheckDone();
  }

  void CheckDone() {
    if (in_curl_) {
      return;
    }
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      ClientResponse response = Describe(*transfer, message->data.result);
      DoneCallback on_done = std::move(transfer->on_done);
      bool cancelled = transfer->cancelled;
      Remove(transfer->id);
      if (!cancelled && on_done) {
        on_done(std::move(response));
      }
    }
  }

  static ClientResponse Describe(Transfer& transfer, CURLcode code) {
    ClientResponse response;
    long status = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    const char* type = nullptr;
    curl_easy_getinfo(transfer.easy, CURLINFO_CONTENT_TYPE, &type);
    response.content_type = type != nullptr ? type : "";
    response.body = std::move(transfer.body);
    response.result = Classify(transfer, code);
    if (code != CURLE_OK) {
      response.error = curl_easy_strerror(code);
    }
    return response;
  }

  static TransferResult Classify(Transfer& transfer, CURLcode code) {
    if (code == CURLE_OK) {
      return TransferResult::kComplete;
    }
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST) {
      return TransferResult::kConnectFailed;
    }
    curl_off_t connected = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_PRETRANSFER_TIME_T, &connected);
    if (connected == 0) {
      return TransferResult::kConnectFailed;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? TransferResult::kTimeout
                                            : TransferResult::kIncomplete;
  }

  void Add(TransferId id) {
    if (auto it = transfers_.find(id); it != transfers_.end()) {
      curl_multi_add_handle(multi_, it->second->easy);
    }
  }

  void Remove(TransferId id) {
    auto it = transfers_.find(id);
    if (it == transfers_.end()) {
      return;
    }
    auto transfer = std::move(it->second);
    transfers_.erase(it);
    Guard guard(*this);
    curl_multi_remove_handle(multi_, transfer->easy);
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->headers);
  }

  asio::io_context& io_;
  asio::steady_timer timer_;
  CURLM* multi_ = nullptr;
  TransferId last_id_ = 0;
  bool in_curl_ = false;  // A libcurl call is on the stack.
  std::unordered_map<TransferId, std::unique_ptr<Transfer>> transfers_;
  std::map<curl_socket_t, std::shared_ptr<Socket>> sockets_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

HttpClient::HttpClient(asio::io_context& io)
    : impl_(std::make_unique<Impl>(io)) {}
HttpClient::~HttpClient() = default;

TransferId HttpClient::Start(ClientRequest request,
                             DoneCallback on_done,
                             DataCallback on_data) {
  return impl_->Start(std::move(request), std::move(on_done),
                      std::move(on_data));
}

void HttpClient::Cancel(TransferId id) {
  impl_->Cancel(id);
}

void HttpClient::Pause(TransferId id, bool paused) {
  impl_->Pause(id, paused);
}

}  // namespace mangoyoke
