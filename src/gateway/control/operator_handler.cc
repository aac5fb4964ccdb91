// Previews at a bounded rate.

#include "gateway/control/operator_handler.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace mangoyoke {
namespace {

constexpr double kPreviewsPerSecond = 5;
constexpr double kMaxPreviewBurst = 10;
constexpr double kMillisPerSecond = 1000;

void ReplyJson(HttpResponder& responder,
               http::status status,
               std::string json) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(json);
  responder.Reply(std::move(response));
}

void ReplyError(HttpResponder& responder,
                http::status status,
                const Error& error) {
  nlohmann::json json = {
      {"error",
       {{"code", static_cast<int>(error.code)}, {"detail", error.detail}}}};
  ReplyJson(
      responder, status,
      json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}  // namespace

bool OperatorHandler::TakePreview(TimePoint now) {
  double earned = ToMillis(now - counted_) / kMillisPerSecond;
  previews_left_ =
      std::min(kMaxPreviewBurst, previews_left_ + earned * kPreviewsPerSecond);
  counted_ = now;
  if (previews_left_ < 1) {
    return false;
  }
  previews_left_ -= 1;
  return true;
}

void OperatorHandler::OnRequest(HttpRequest request,
                                std::shared_ptr<HttpResponder> responder) {
  std::string_view target(request.target().data(), request.target().size());
  if (!preview_ || target.substr(0, target.find('?')) != kPreviewPath) {
    others_.OnRequest(std::move(request), std::move(responder));
    return;
  }
  if (!TakePreview(SteadyClock::now())) {
    ReplyError(*responder, http::status::too_many_requests,
               // The closest code; the detail tells what is wrong.
               Error{ErrorCode::kNotReady,
                     "too many previews; try again in a second"});
    return;
  }
  auto query = ParsePreviewQuery(target);
  if (const auto* error = std::get_if<Error>(&query)) {
    ReplyError(*responder, http::status::bad_request, *error);
    return;
  }
  preview_(std::get<PreviewQuery>(query), [responder](std::string json) {
    ReplyJson(*responder, http::status::ok, std::move(json));
  });
}

}  // namespace mangoyoke
