// Reading, submitting and spreading of plans.

#include "daemon/control/plan/plan_service.h"

#include <iomanip>
#include <sstream>

#include "base/log.h"

namespace mangoyoke {
namespace {

constexpr int kRevisionDigits = 12;
constexpr Millis kReadTimeout{2000};
constexpr Millis kWriteTimeout{3000};
constexpr Millis kPullTimeout{3000};
constexpr int kConflict = 409;
constexpr int kNotFound = 404;

// Zero-padded, so that rows sort by revision.
std::string RowKey(Revision revision) {
  std::ostringstream key;
  key << std::setw(kRevisionDigits) << std::setfill('0') << revision;
  return key.str();
}

// The submission in a row of the table "plan".
struct PlanRow {
  Revision revision = 0;
  std::string submission_id;
  std::string text;
};

std::string PrintRow(const PlanSubmission& submission) {
  return Json{{"revision", submission.base + 1},
              {"submission_id", submission.submission_id},
              {"text", submission.text}}
      .dump();
}

std::optional<PlanRow> ParseRow(const std::string& value) {
  Json json = Json::parse(value, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  return PlanRow{json.value("revision", Revision{0}),
                 json.value("submission_id", ""), json.value("text", "")};
}

// The member "value" of a table service's answer.
std::string RowValue(const std::string& body) {
  Json json = Json::parse(body, nullptr, false);
  return json.is_object() ? json.value("value", "") : "";
}

}  // namespace

PlanService::PlanService(ControlContext context) : context_(context) {}

void PlanService::Start() {
  ReadStore();
  read_timer_ = std::make_unique<PeriodicTimer>(
      context_.io, context_.settings.plan_read_interval,
      [this] { ReadStore(); });
}

std::shared_ptr<const Plan> PlanService::Current() const {
  std::lock_guard lock(mutex_);
  return current_;
}

void PlanService::ReadStore() {
  if (reading_) {
    return;
  }
  reading_ = true;
  ClientRequest request;
  request.url = context_.settings.platform_url + "/tables/plan";
  request.timeout = kReadTimeout;
  context_.http.Start(std::move(request), [this](ClientResponse response) {
    reading_ = false;
    if (!response.Succeeded()) {
      if (response.status != kNotFound) {
        context_.metrics.Count("mangoyoke_store_errors_total", "call",
                               "read_plan");
      }
      return;
    }
    if (auto row = ParseRow(RowValue(response.body))) {
      Adopt(row->text, row->revision, "store");
    }
  });
}

bool PlanService::Adopt(const std::string& text,
                        Revision revision,
                        const char* source) {
  if (revision <= revision_) {
    return false;  // An old read, or news already known.
  }
  auto parsed =
      ParsePlan(text, "revision " + std::to_string(revision), revision);
  if (const auto* error = std::get_if<Error>(&parsed)) {
    LogEvent("plan_rejected", LogLevel::kError)
        .Field("revision", static_cast<int64_t>(revision))
        .Field("why", error->detail);
    return false;
  }
  auto plan = std::make_shared<const Plan>(std::move(std::get<Plan>(parsed)));
  {
    std::lock_guard lock(mutex_);
    current_ = plan;
  }
  text_ = text;
  revision_ = revision;
  context_.metrics.Set("mangoyoke_plan_revision",
                       static_cast<double>(revision));
  LogEvent("plan_in_force")
      .Field("revision", static_cast<int64_t>(revision))
      .Field("source", source);
  on_plan.Notify(*plan);
  return true;
}

void PlanService::Submit(PlanSubmission submission, SubmitCallback callback) {
  auto parsed = ParsePlan(submission.text, "plan", submission.base + 1);
  if (const auto* error = std::get_if<Error>(&parsed)) {
    callback(*error);
    return;
  }
  if (submission.base > revision_) {
    callback(Error{
        ErrorCode::kPlanConflict,
        "this instance knows revision " + std::to_string(revision_) + " only"});
    return;
  }
  ClientRequest request;
  request.method = "PUT";
  request.url = context_.settings.platform_url + "/tables/plan/" +
                RowKey(submission.base + 1);
  request.body =
      Json{{"expected_version", 0}, {"value", PrintRow(submission)}}.dump();
  request.timeout = kWriteTimeout;
  request.fresh_connection = true;
  context_.http.Start(std::move(request), [this, submission,
                                           callback](ClientResponse response) {
    if (response.end == TransferEnd::kNotConnected) {
      callback(Error{ErrorCode::kStoreUnavailable, response.error});
      return;
    }
    if (response.end != TransferEnd::kComplete) {
      ResolveLostReply(submission, callback);
      return;
    }
    if (response.Succeeded() || response.status == kConflict) {
      FinishSubmit(submission, RowValue(response.body), callback);
      return;
    }
    callback(Error{ErrorCode::kStoreUnavailable,
                   "status " + std::to_string(response.status)});
  });
}

void PlanService::ResolveLostReply(const PlanSubmission& submission,
                                   SubmitCallback callback) {
  context_.metrics.Count("mangoyoke_store_lost_replies_total");
  ClientRequest request;
  request.url = context_.settings.platform_url + "/tables/plan/" +
                RowKey(submission.base + 1);
  request.timeout = kReadTimeout;
  context_.http.Start(std::move(request), [this, submission,
                                           callback](ClientResponse response) {
    if (response.Succeeded()) {
      FinishSubmit(submission, RowValue(response.body), callback);
      return;
    }
    // Absence proves nothing: the write may still take effect.
    callback(Error{ErrorCode::kSubmitUnknown, response.error});
  });
}

void PlanService::FinishSubmit(const PlanSubmission& submission,
                               const std::string& row_value,
                               const SubmitCallback& callback) {
  auto row = ParseRow(row_value);
  if (!row) {
    callback(Error{ErrorCode::kSubmitUnknown, "unreadable row"});
    return;
  }
  Adopt(row->text, row->revision, "submit");
  if (row->submission_id == submission.submission_id) {
    callback(row->revision);
    return;
  }
  callback(Error{ErrorCode::kPlanConflict,
                 "revision " + std::to_string(row->revision) +
                     " was accepted from another submission"});
}

Result<Json> PlanService::OnPlanRequest(const Json& message) const {
  if (message.value("have", Revision{0}) >= revision_) {
    return Json{{"r", revision_}};
  }
  return Json{{"r", revision_}, {"t", text_}};
}

void PlanService::PullFrom(const std::string& address) {
  if (pulling_) {
    return;
  }
  pulling_ = true;
  context_.peers.Call(address, "/plan/get", Json{{"have", revision_}},
                      kPullTimeout, [this](Result<Json> result) {
                        pulling_ = false;
                        if (!Ok(result)) {
                          return;
                        }
                        const Json& answer = std::get<Json>(result);
                        if (answer.contains("t")) {
                          Adopt(answer["t"].get<std::string>(),
                                answer.at("r").get<Revision>(), "peer");
                        }
                      });
}

}  // namespace mangoyoke
