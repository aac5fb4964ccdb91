// Backend servers that do what a test says.

#ifndef MANGOYOKE_TESTS_SUPPORT_FAKE_SERVER_H_
#define MANGOYOKE_TESTS_SUPPORT_FAKE_SERVER_H_

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/net/http_listener.h"
#include "platform/names.h"

namespace mangoyoke {

using platform::kNotExecuted;
using platform::kRequestId;
using platform::kStamp;

// A backend server that does what the test says and counts what reached it.
class FakeServer : public RequestHandler {
 public:
  using Action =
      std::function<void(const HttpRequest&, std::shared_ptr<Exchange>)>;

  FakeServer(boost::asio::io_context& io, BackendServer record, Action action)
      : record_(std::move(record)),
        action_(std::move(action)),
        listener_(io, *this) {
    EXPECT_TRUE(Ok(listener_.Listen(record_.address)));
  }

  void OnRequest(HttpRequest request,
                 std::shared_ptr<Exchange> exchange) override {
    ++requests_;
    if (request.method() == http::verb::delete_) {
      ++released_;
      exchange->Reply(HttpResponse(http::status::ok, 11));
      return;
    }
    action_(request, std::move(exchange));
  }
  CallerLimits Limits() const override { return CallerLimits{}; }
  HttpResponse OnBadRequest(const Error&) const override {
    return HttpResponse(http::status::bad_request, 11);
  }

  const BackendServer& record() const { return record_; }
  int requests() const { return requests_; }
  int released() const { return released_; }

 private:
  BackendServer record_;
  Action action_;
  HttpListener listener_;
  std::atomic<int> requests_{0};
  std::atomic<int> released_{0};
};

inline HttpResponse StampedAnswer(const HttpRequest& request,
                                  http::status status,
                                  const std::string& body) {
  HttpResponse response(status, 11);
  response.set(kRequestId, request[kRequestId]);
  response.set(kStamp, "stamp");
  response.body() = body;
  return response;
}

inline FakeServer::Action Answers(http::status status,
                                  const std::string& body) {
  return [status, body](const HttpRequest& request, auto exchange) {
    exchange->Reply(StampedAnswer(request, status, body));
  };
}

inline FakeServer::Action Rejects() {
  return [](const HttpRequest& request, auto exchange) {
    HttpResponse response =
        StampedAnswer(request, http::status::service_unavailable, "");
    response.set(kNotExecuted, "1");
    exchange->Reply(std::move(response));
  };
}

inline FakeServer::Action Resets() {
  return [](const HttpRequest&, auto exchange) { exchange->Abort(); };
}

inline FakeServer::Action Silent() {
  // Keeps the exchange, so that the connection stays open.
  auto kept = std::make_shared<std::vector<std::shared_ptr<Exchange>>>();
  return
      [kept](const HttpRequest&, auto exchange) { kept->push_back(exchange); };
}

inline FakeServer::Action Reads(const std::string& handle) {
  return Answers(http::status::ok,
                 R"({"Handle":")" + handle + R"(","Tokens":9,"Version":1})");
}

// Streams events from `first` to `last`; cuts the stream unless `whole`.
inline FakeServer::Action Streams(boost::asio::io_context& io,
                                  int first,
                                  int last,
                                  bool whole) {
  return [&io, first, last, whole](const HttpRequest& request, auto exchange) {
    http::response_header<> head;
    head.result(200);
    head.set(kRequestId, request[kRequestId]);
    head.set(kStamp, "stamp");
    head.set(http::field::content_type, "text/event-stream");
    exchange->BeginStream(head);
    for (int id = first; id <= last; ++id) {
      exchange->Write("id: " + std::to_string(id) + "\ndata: t\n\n");
    }
    if (whole) {
      exchange->EndStream();
      return;
    }
    exchange->Write("id: 99\nda");
    // The bytes leave before the connection closes.
    auto timer = std::make_shared<boost::asio::steady_timer>(io, Millis(30));
    timer->async_wait([timer, exchange](const boost::system::error_code&) {
      exchange->Abort();
    });
  };
}

}  // namespace mangoyoke

#endif  // MANGOYOKE_TESTS_SUPPORT_FAKE_SERVER_H_
