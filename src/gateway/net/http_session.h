// One caller's connection: requests one after another, each with its answer.

#ifndef MANGOYOKE_GATEWAY_NET_HTTP_SESSION_H_
#define MANGOYOKE_GATEWAY_NET_HTTP_SESSION_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "gateway/net/http_listener.h"

namespace mangoyoke {

// Flags that a listener shares with its sessions.
struct ListenerState {
  bool draining = false;  // Answers announce that the connection closes.
  bool stopped = false;   // Connections close when idle.
};

class HttpSession : public HttpResponder,
                    public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(Tcp::socket socket,
              RequestHandler& handler,
              std::shared_ptr<ListenerState> state);

  void Start();
  // Closes the connection if no request is being read or answered.
  void CloseIfIdle();
  bool closed() const { return closed_; }

  void Reply(HttpResponse response) override;
  void BeginStream(http::response_header<> head) override;
  void Write(std::string data) override;
  void EndStream() override;
  void Abort() override;
  void SetDisconnectCallback(std::function<void()> callback) override;
  void SetBackpressureCallback(std::function<void(bool)> callback) override;

 private:
  using Parser = http::request_parser<http::string_body>;
  enum class State { kIdle, kReading, kAnswering, kLingering };

  void NextRequest();
  void ReadMore();
  void Parse();
  void OnHeadParsed();
  void Dispatch();
  void RejectParse(const boost::system::error_code& error);
  void WatchCaller();
  void CallerGone();
  void Enqueue(std::string data);
  void Flush();
  void AnswerWritten();
  void EndAnswer();
  void Linger();
  void ArmTimer(Duration timeout);
  void Close();

  Tcp::socket socket_;
  RequestHandler& handler_;
  std::shared_ptr<ListenerState> state_flags_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  State state_ = State::kIdle;
  bool head_seen_ = false;
  bool keep_alive_ = true;     // As the request asks.
  bool is_head_ = false;       // The request's method has no answer body.
  bool chunked_ = false;       // Of the streamed answer.
  bool answer_ended_ = false;  // All of the answer is in the queue.
  bool watching_ = false;
  bool closed_ = false;
  bool under_pressure_ = false;
  std::deque<std::string> queue_;  // The first is being written.
  size_t queued_bytes_ = 0;
  bool writing_ = false;
  std::function<void()> on_gone_;
  std::function<void(bool)> on_pressure_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_HTTP_SESSION_H_
