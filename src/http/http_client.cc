// Implementation of the HTTP client: libcurl's multi-socket interface, whose
// socket and timer events come from Boost.Asio.

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
// Maximum size of a body that is collected. A larger one ends the exchange as
// kIncomplete.
constexpr size_t kMaxBodyBytes = 16 << 20;
// libcurl fails a transfer whose callback takes fewer bytes than it was given.
constexpr size_t kAbortTransfer = 0;
constexpr long kFirstFinalStatus = 200;  // Lower ones are interim responses.

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
      // libcurl rejects curl_multi_add_handle() inside its own callbacks.
      asio::post(io_, [this, id, alive = alive_] {
        if (*alive) {
          AddToMulti(id);
        }
      });
    } else {
      AddToMulti(id);
    }
    return id;
  }

  void Cancel(TransferId id) {
    auto it = transfers_.find(id);
    if (it == transfers_.end()) {
      return;
    }
    if (in_curl_) {
      // libcurl rejects curl_multi_remove_handle() inside its own callbacks.
      it->second->cancelled = true;
      asio::post(io_, [this, id, alive = alive_] {
        if (*alive) {
          RemoveTransfer(id);
        }
      });
      return;
    }
    RemoveTransfer(id);
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
          InCurlScope in_curl_scope(*this);
          curl_easy_pause(found->second->easy, CURLPAUSE_CONT);
        }
        ReportFinishedTransfers();
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
    bool head_complete = false;  // Of the final response.
    bool cancelled = false;
    bool paused = false;
  };

  // A socket that libcurl asked for. Wait handlers hold a weak pointer, so
  // that one which runs after the socket was closed does nothing.
  struct Socket {
    explicit Socket(asio::io_context& io) : tcp(io) {}
    Tcp::socket tcp;
    int wanted_events = 0;  // CURL_POLL_* flags that libcurl asked for.
    bool read_wait_pending = false;
    bool write_wait_pending = false;
  };

  // Sets in_curl_ for the duration of a scope that calls into libcurl. Scopes
  // may nest.
  class InCurlScope {
   public:
    explicit InCurlScope(Impl& impl) : impl_(impl), previous_(impl.in_curl_) {
      impl_.in_curl_ = true;
    }
    ~InCurlScope() { impl_.in_curl_ = previous_; }

   private:
    Impl& impl_;
    bool previous_;
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
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Impl::OnHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Impl::OnOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Impl::OnCloseSocket);
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
    // An empty Expect header keeps libcurl from sending "100-continue".
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
      if (transfer->body.size() + view.size() > kMaxBodyBytes) {
        return kAbortTransfer;
      }
      transfer->body.append(view);
      return view.size();
    }
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    transfer->on_data(static_cast<int>(status), view);
    return view.size();
  }

  static size_t OnHeaderLine(char* data,
                             size_t size,
                             size_t count,
                             void* user) {
    auto* transfer = static_cast<Transfer*>(user);
    std::string_view line(data, size * count);
    if (line == "\r\n" || line == "\n") {
      long status = 0;
      curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
      transfer->head_complete = status >= kFirstFinalStatus;
    }
    return line.size();
  }

  static curl_socket_t OnOpenSocket(void* user,
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

  static int OnCloseSocket(void* user, curl_socket_t fd) {
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
    it->second->wanted_events = what == CURL_POLL_REMOVE ? 0 : what;
    self->WaitForEvents(fd, it->second);
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
            self->RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
          }
        });
    return 0;
  }

  // Starts the waits for the events that libcurl wants on `fd`.
  void WaitForEvents(curl_socket_t fd, const std::shared_ptr<Socket>& socket) {
    if ((socket->wanted_events & CURL_POLL_IN) != 0 &&
        !socket->read_wait_pending) {
      socket->read_wait_pending = true;
      socket->tcp.async_wait(Tcp::socket::wait_read,
                             MakeWaitHandler(fd, socket, CURL_CSELECT_IN));
    }
    if ((socket->wanted_events & CURL_POLL_OUT) != 0 &&
        !socket->write_wait_pending) {
      socket->write_wait_pending = true;
      socket->tcp.async_wait(Tcp::socket::wait_write,
                             MakeWaitHandler(fd, socket, CURL_CSELECT_OUT));
    }
  }

  // The handler for `event` (CURL_CSELECT_IN or CURL_CSELECT_OUT) on `fd`.
  std::function<void(const boost::system::error_code&)> MakeWaitHandler(
      curl_socket_t fd,
      const std::shared_ptr<Socket>& socket,
      int event) {
    return [this, fd, event, weak = std::weak_ptr<Socket>(socket),
            alive = alive_](const boost::system::error_code& error) {
      auto socket = weak.lock();
      if (!*alive || !socket) {
        return;
      }
      (event == CURL_CSELECT_IN ? socket->read_wait_pending
                                : socket->write_wait_pending) = false;
      int poll_flag = event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
      if ((socket->wanted_events & poll_flag) == 0) {
        return;
      }
      RunSocketAction(fd, error ? CURL_CSELECT_ERR : event);
      // libcurl calls OnSocket only when the wanted events change, so the wait
      // is renewed here.
      if (auto it = sockets_.find(fd);
          it != sockets_.end() && it->second == socket) {
        WaitForEvents(fd, socket);
      }
    };
  }

  // Tells libcurl that `event` happened on `fd`, or that its timer fired when
  // `fd` is CURL_SOCKET_TIMEOUT.
  void RunSocketAction(curl_socket_t fd, int event) {
    int running_transfers = 0;
    {
      InCurlScope in_curl_scope(*this);
      curl_multi_socket_action(multi_, fd, event, &running_transfers);
    }
    ReportFinishedTransfers();
  }

  // Removes each finished transfer and calls its DoneCallback, unless it was
  // cancelled. Does nothing inside a libcurl call.
  void ReportFinishedTransfers() {
    if (in_curl_) {
      return;
    }
    int messages_left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &messages_left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      ClientResponse response = MakeResponse(*transfer, message->data.result);
      DoneCallback on_done = std::move(transfer->on_done);
      bool cancelled = transfer->cancelled;
      RemoveTransfer(transfer->id);
      if (!cancelled && on_done) {
        on_done(std::move(response));
      }
    }
  }

  static ClientResponse MakeResponse(Transfer& transfer, CURLcode code) {
    ClientResponse response;
    long status = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    const char* type = nullptr;
    curl_easy_getinfo(transfer.easy, CURLINFO_CONTENT_TYPE, &type);
    response.content_type = type != nullptr ? type : "";
    response.body = std::move(transfer.body);
    response.result = ClassifyResult(transfer, code);
    if (code != CURLE_OK) {
      response.error = curl_easy_strerror(code);
    } else if (!transfer.head_complete) {
      response.error = "the connection closed within the response head";
    }
    return response;
  }

  static TransferResult ClassifyResult(Transfer& transfer, CURLcode code) {
    if (code == CURLE_OK) {
      // libcurl accepts a head that ends with the connection.
      return transfer.head_complete ? TransferResult::kComplete
                                    : TransferResult::kIncomplete;
    }
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST) {
      return TransferResult::kConnectFailed;
    }
    // 0 if libcurl never became ready to send the request.
    curl_off_t pretransfer_us = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_PRETRANSFER_TIME_T,
                      &pretransfer_us);
    if (pretransfer_us == 0) {
      return TransferResult::kConnectFailed;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? TransferResult::kTimeout
                                            : TransferResult::kIncomplete;
  }

  void AddToMulti(TransferId id) {
    if (auto it = transfers_.find(id); it != transfers_.end()) {
      curl_multi_add_handle(multi_, it->second->easy);
    }
  }

  void RemoveTransfer(TransferId id) {
    auto it = transfers_.find(id);
    if (it == transfers_.end()) {
      return;
    }
    auto transfer = std::move(it->second);
    transfers_.erase(it);
    InCurlScope in_curl_scope(*this);
    curl_multi_remove_handle(multi_, transfer->easy);
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->headers);
  }

  asio::io_context& io_;
  asio::steady_timer timer_;
  CURLM* multi_ = nullptr;
  TransferId last_id_ = 0;
  bool in_curl_ = false;  // A libcurl call is on the call stack.
  std::unordered_map<TransferId, std::unique_ptr<Transfer>> transfers_;
  std::map<curl_socket_t, std::shared_ptr<Socket>> sockets_;
  // Shared with posted handlers; false once this object is destroyed.
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
