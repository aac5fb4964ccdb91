// Fake backend servers with scripted behavior.

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
#include "platform/wire_names.h"

namespace mangoyoke {

using platform::kDrainingHeader;
using platform::kNotExecutedHeader;
using platform::kRequestIdHeader;
using platform::kResponseStampHeader;

// A backend server that handles each request with `action`, except DELETE (the
// release of a KV handle or reservation), which it accepts. Counts all
// requests, and the releases among them.
class FakeServer : public RequestHandler {
 public:
  using Action =
      std::function<void(const HttpRequest&, std::shared_ptr<HttpResponder>)>;

  FakeServer(boost::asio::io_context& io, BackendServer record, Action action)
      : record_(std::move(record)),
        action_(std::move(action)),
        listener_(io, *this) {
    EXPECT_TRUE(Ok(listener_.Listen(record_.address)));
  }

  void OnRequest(HttpRequest request,
                 std::shared_ptr<HttpResponder> responder) override {
    ++requests_;
    if (request.method() == http::verb::delete_) {
      ++releases_;
      responder->Reply(HttpResponse(http::status::ok, 11));
      return;
    }
    action_(request, std::move(responder));
  }
  CallerLimits Limits() const override { return CallerLimits{}; }
  HttpResponse MakeParseErrorResponse(const Error&) const override {
    return HttpResponse(http::status::bad_request, 11);
  }

  const BackendServer& record() const { return record_; }
  int requests_received() const { return requests_; }
  int releases_received() const { return releases_; }

 private:
  BackendServer record_;
  Action action_;
  HttpListener listener_;
  std::atomic<int> requests_{0};
  std::atomic<int> releases_{0};
};

// A response that echoes the request id and carries a stamp, as backend servers
// send it.
inline HttpResponse StampedResponse(const HttpRequest& request,
                                    http::status status,
                                    const std::string& body) {
  HttpResponse response(status, 11);
  response.set(kRequestIdHeader, request[kRequestIdHeader]);
  response.set(kResponseStampHeader, "stamp");
  response.body() = body;
  return response;
}

inline FakeServer::Action RespondWith(http::status status,
                                      const std::string& body) {
  return [status, body](const HttpRequest& request, auto responder) {
    responder->Reply(StampedResponse(request, status, body));
  };
}

// Refuses the request and states that it was not executed.
inline FakeServer::Action RespondNotExecuted() {
  return [](const HttpRequest& request, auto responder) {
    HttpResponse response =
        StampedResponse(request, http::status::service_unavailable, "");
    response.set(kNotExecutedHeader, "1");
    responder->Reply(std::move(response));
  };
}

// The same, and asks for no requests for `retry_after`, as in the header.
inline FakeServer::Action RespondPaused(const std::string& retry_after) {
  return [retry_after](const HttpRequest& request, auto responder) {
    HttpResponse response =
        StampedResponse(request, http::status::service_unavailable, "");
    response.set(kNotExecutedHeader, "1");
    response.set(http::field::retry_after, retry_after);
    responder->Reply(std::move(response));
  };
}

// Responds like a draining server.
inline FakeServer::Action RespondDraining(http::status status,
                                          const std::string& body,
                                          bool not_executed = false) {
  return
      [status, body, not_executed](const HttpRequest& request, auto responder) {
        HttpResponse response = StampedResponse(request, status, body);
        response.set(kDrainingHeader, "1");
        if (not_executed) {
          response.set(kNotExecutedHeader, "1");
        }
        responder->Reply(std::move(response));
      };
}

inline FakeServer::Action ResetConnection() {
  return [](const HttpRequest&, auto responder) { responder->Abort(); };
}

inline FakeServer::Action NeverRespond() {
  // Keeps the responders alive, so that the connections stay open.
  auto responders =
      std::make_shared<std::vector<std::shared_ptr<HttpResponder>>>();
  return [responders](const HttpRequest&, auto responder) {
    responders->push_back(responder);
  };
}

inline FakeServer::Action RespondWithKvHandle(const std::string& handle) {
  return RespondWith(http::status::ok, R"({"Handle":")" + handle +
                                           R"(","Tokens":9,"Version":1})");
}

// Streams the events `first` to `last`. Unless `complete`, closes the
// connection in the middle of a further event.
inline FakeServer::Action StreamEvents(boost::asio::io_context& io,
                                       int first,
                                       int last,
                                       bool complete) {
  return [&io, first, last, complete](const HttpRequest& request,
                                      auto responder) {
    http::response_header<> head;
    head.result(200);
    head.set(kRequestIdHeader, request[kRequestIdHeader]);
    head.set(kResponseStampHeader, "stamp");
    head.set(http::field::content_type, "text/event-stream");
    responder->BeginStream(head);
    for (int id = first; id <= last; ++id) {
      responder->Write("id: " + std::to_string(id) + "\ndata: t\n\n");
    }
    if (complete) {
      responder->EndStream();
      return;
    }
    responder->Write("id: 99\nda");
    // Closes the connection after the bytes have been sent.
    auto timer = std::make_shared<boost::asio::steady_timer>(io, Millis(30));
    timer->async_wait([timer, responder](const boost::system::error_code&) {
      responder->Abort();
    });
  };
}

}  // namespace mangoyoke

#endif  // MANGOYOKE_TESTS_SUPPORT_FAKE_SERVER_H_
