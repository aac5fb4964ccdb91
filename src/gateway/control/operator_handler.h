// HTTP handler of the operators' address: what the control handler serves, and
// previews of where a request would go.

#ifndef MANGOYOKE_GATEWAY_CONTROL_OPERATOR_HANDLER_H_
#define MANGOYOKE_GATEWAY_CONTROL_OPERATOR_HANDLER_H_

#include <functional>
#include <memory>
#include <string>

#include "gateway/core/preview_query.h"
#include "gateway/net/http_listener.h"

namespace mangoyoke {

class OperatorHandler : public RequestHandler {
 public:
  using Respond = std::function<void(std::string)>;
  // Makes the preview on another thread, and calls back on this one with its
  // JSON.
  using Preview = std::function<void(PreviewQuery, Respond)>;

  // `others` handles all other requests, and must outlive this object.
  explicit OperatorHandler(RequestHandler& others) : others_(others) {}

  void SetPreview(Preview preview) { preview_ = std::move(preview); }

  void OnRequest(HttpRequest request,
                 std::shared_ptr<HttpResponder> responder) override;
  CallerLimits Limits() const override { return others_.Limits(); }
  HttpResponse MakeParseErrorResponse(const Error& error) const override {
    return others_.MakeParseErrorResponse(error);
  }

 private:
  // Whether one more preview may be made now.
  bool TakePreview(TimePoint now);

  RequestHandler& others_;
  Preview preview_;
  double previews_left_ = 0;
  TimePoint counted_{};
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_OPERATOR_HANDLER_H_
