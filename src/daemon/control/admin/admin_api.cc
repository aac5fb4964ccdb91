// Request handlers of the operators' interface.

#include "daemon/control/admin/admin_api.h"

#include "daemon/traffic/traffic_context.h"

namespace mangoyoke {

AdminApi::AdminApi(ControlPlane& control, Metrics& metrics)
    : control_(control), metrics_(metrics) {}

void AdminApi::OnRequest(ServerRequest request,
                         std::shared_ptr<ResponseStream> stream) {
  const std::string& path = request.path;
  bool post = request.method == "POST";
  if (path == "/metrics") {
    stream->Send(200, "text/plain; version=0.0.4", metrics_.FormatText());
  } else if (path == "/admin/status") {
    SendJson(stream, 200, control_.DescribeInstance().dump());
  } else if (path == "/admin/cluster") {
    control_.DescribeCluster([stream](const Json& instances) {
      SendJson(stream, 200, Json{{"instances", instances}}.dump());
    });
  } else if (path == "/admin/plan" && !post) {
    GetPlan(stream);
  } else if (path == "/admin/plan") {
    SubmitPlan(request, stream);
  } else if (path == "/admin/drain" && post) {
    control_.StartDraining();
    SendJson(stream, 200, Json{{"leaving", true}}.dump());
  } else {
    SendErrorResponse(metrics_, stream, Error{ErrorCode::kUnknownPath, path});
  }
}

void AdminApi::GetPlan(const std::shared_ptr<ResponseStream>& stream) {
  PlanService& plans = control_.plans();
  SendJson(stream, 200,
           Json{{"revision", plans.revision()}, {"text", plans.CurrentText()}}
               .dump());
}

void AdminApi::SubmitPlan(const ServerRequest& request,
                          const std::shared_ptr<ResponseStream>& stream) {
  Json body = Json::parse(request.body, nullptr, false);
  bool valid =
      body.is_object() && body.contains("text") && body["text"].is_string() &&
      body.contains("base") && body["base"].is_number_unsigned() &&
      body.contains("submission_id") && body["submission_id"].is_string();
  if (!valid) {
    SendErrorResponse(
        metrics_, stream,
        Error{ErrorCode::kMalformedRequest,
              "expected a JSON object with text (string), base (unsigned "
              "integer) and submission_id (string)"});
    return;
  }
  PlanSubmission submission{body["text"].get<std::string>(),
                            body["base"].get<Revision>(),
                            body["submission_id"].get<std::string>()};
  control_.plans().Submit(submission, [this, stream](Result<Revision> result) {
    if (const auto* error = std::get_if<Error>(&result)) {
      SendErrorResponse(metrics_, stream, *error);
    } else {
      SendJson(stream, 200,
               Json{{"revision", std::get<Revision>(result)}}.dump());
    }
  });
}

}  // namespace mangoyoke
