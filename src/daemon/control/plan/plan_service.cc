// Reading, submitting and spreading of plans.

#include "daemon/control/plan/plan_service.h"

#include "base/log.h"

namespace mangoyoke {
namespace {

constexpr Millis kReadTimeout{2000};
constexpr Millis kWriteTimeout{3000};
constexpr Millis kPullTimeout{3000};
constexpr size_t kMaxHistory = 256;
constexpr int kConflict = 409;
constexpr int kNotFound = 404;

}  // namespace

PlanService::PlanService(ControlContext context) : context_(context) {}

void PlanService::Start() {
  ReadStore();
  read_timer_ = std::make_unique<PeriodicTimer>(
      context_.io, context_.settings.plan_poll_interval,
      [this] { ReadStore(); });
}

std::shared_ptr<const Plan> PlanService::Current() const {
  std::lock_guard lock(mutex_);
  return current_;
}

void PlanService::ReadRow(const std::string& key, RowCallback callback) {
  ClientRequest request;
  request.url = context_.settings.platform_url + "/tables/plan";
  if (!key.empty()) {
    request.url += "/" + key;
  }
  request.timeout = kReadTimeout;
  context_.http.Start(
      std::move(request), [callback](const ClientResponse& response) {
        callback(response, response.Succeeded() ? ParseRowAnswer(response.body)
                                                : std::nullopt);
      });
}

void PlanService::ReadStore() {
  if (reading_) {
    return;
  }
  reading_ = true;
  ReadRow("",
          [this](const ClientResponse& response, std::optional<PlanRow> row) {
            reading_ = false;
            if (row) {
              if (!TakeRow(*row, "store")) {
                CatchUp(row->delta.revision);
              }
            } else if (response.status != kNotFound) {
              context_.metrics.Increment("mangoyoke_store_errors_total", "call",
                                         "read_plan");
            }
          });
}

void PlanService::CatchUp(Revision last) {
  if (reading_ || last <= revision_) {
    return;
  }
  reading_ = true;
  Revision next = revision_ == 0 ? SnapshotBefore(last) : revision_ + 1;
  ReadRow(RowKey(next),
          [this, last](const ClientResponse&, std::optional<PlanRow> row) {
            reading_ = false;
            if (row && TakeRow(*row, "store")) {
              CatchUp(last);
            }
          });
}

bool PlanService::TakeRow(const PlanRow& row, const char* source) {
  if (TakeDelta(row.delta, source)) {
    return true;
  }
  return row.text && TakeText(*row.text, row.delta.revision, source);
}

bool PlanService::TakeDelta(const PlanDelta& delta, const char* source) {
  if (delta.revision != revision_ + 1) {
    return false;
  }
  auto current = Current();
  if (!Adopt(ApplyDelta(current ? *current : Plan{}, delta), source)) {
    return false;
  }
  ApplyDelta(sections_, delta);
  history_.push_back(delta);
  if (history_.size() > kMaxHistory) {
    history_.pop_front();
  }
  Announce();
  return true;
}

bool PlanService::TakeText(const std::string& text,
                           Revision revision,
                           const char* source) {
  if (revision <= revision_) {
    return false;  // An old read, or news already known.
  }
  auto parsed =
      ParsePlan(text, "revision " + std::to_string(revision), revision);
  if (!Adopt(std::move(parsed), source)) {
    return false;
  }
  sections_ = SplitSections(text);
  history_.clear();  // There would be a gap.
  Announce();
  return true;
}

bool PlanService::Adopt(Result<Plan> parsed, const char* source) {
  if (const auto* error = std::get_if<Error>(&parsed)) {
    LogEvent("plan_rejected", LogLevel::kError).Field("why", error->detail);
    return false;
  }
  auto plan = std::make_shared<const Plan>(std::move(std::get<Plan>(parsed)));
  if (plan->revision <= revision_) {
    return false;
  }
  revision_ = plan->revision;
  {
    std::lock_guard lock(mutex_);
    current_ = std::move(plan);
  }
  LogEvent("plan_in_force")
      .Field("revision", static_cast<int64_t>(revision_))
      .Field("source", source);
  return true;
}

void PlanService::Announce() {
  context_.metrics.SetGauge("mangoyoke_plan_revision",
                            static_cast<double>(revision_));
  on_plan_changed.Notify(*Current());
}

void PlanService::Submit(const PlanSubmission& submission,
                         const SubmitCallback& callback) {
  auto parsed =
      ParsePlan(submission.text, "plan", submission.base_revision + 1);
  if (const auto* error = std::get_if<Error>(&parsed)) {
    callback(*error);
    return;
  }
  if (submission.base_revision > revision_) {
    callback(Error{
        ErrorCode::kPlanConflict,
        "this instance knows revision " + std::to_string(revision_) + " only"});
    return;
  }
  if (submission.base_revision < revision_) {
    // Too late, or a repeated submission that was accepted before.
    ResolveSubmit(submission, callback);
    return;
  }
  std::string text = FormatPlan(std::get<Plan>(parsed));
  PlanRow row;
  row.submission_id = submission.submission_id;
  row.delta =
      MakeDelta(sections_, SplitSections(text), submission.base_revision + 1);
  if (IsSnapshot(row.delta.revision)) {
    row.text = text;
  }
  WriteRow(submission, row, callback);
}

void PlanService::WriteRow(const PlanSubmission& submission,
                           const PlanRow& row,
                           const SubmitCallback& callback) {
  ClientRequest request;
  request.method = "PUT";
  request.url = context_.settings.platform_url + "/tables/plan/" +
                RowKey(row.delta.revision);
  request.body = Json{{"expected_version", 0}, {"value", PrintRow(row)}}.dump();
  request.timeout = kWriteTimeout;
  request.fresh_connection = true;
  context_.http.Start(std::move(request), [this, submission, callback](
                                              const ClientResponse& response) {
    if (response.result == TransferResult::kConnectFailed) {
      callback(Error{ErrorCode::kStoreUnavailable, response.error});
    } else if (response.result != TransferResult::kComplete) {
      context_.metrics.Increment("mangoyoke_store_lost_replies_total");
      ResolveSubmit(submission, callback);
    } else if (response.Succeeded() || response.status == kConflict) {
      FinishSubmit(submission, ParseRowAnswer(response.body), callback);
    } else {
      callback(Error{ErrorCode::kStoreUnavailable,
                     "status " + std::to_string(response.status)});
    }
  });
}

void PlanService::ResolveSubmit(const PlanSubmission& submission,
                                const SubmitCallback& callback) {
  ReadRow(RowKey(submission.base_revision + 1),
          [this, submission, callback](const ClientResponse& response,
                                       std::optional<PlanRow> row) {
            if (row) {
              FinishSubmit(submission, row, callback);
              return;
            }
            // Absence proves nothing: the write may still take effect.
            callback(Error{ErrorCode::kSubmitUnknown, response.error});
          });
}

void PlanService::FinishSubmit(const PlanSubmission& submission,
                               const std::optional<PlanRow>& row,
                               const SubmitCallback& callback) {
  if (!row) {
    callback(Error{ErrorCode::kSubmitUnknown, "unreadable row"});
    return;
  }
  TakeRow(*row, "submit");
  if (row->submission_id == submission.submission_id) {
    callback(row->delta.revision);
    return;
  }
  callback(Error{ErrorCode::kPlanConflict,
                 "revision " + std::to_string(row->delta.revision) +
                     " was accepted from another submission"});
}

Result<Json> PlanService::OnPlanRequest(const Json& message) const {
  Revision have = message.at("have").get<Revision>();
  Json answer{{"r", revision_}};
  if (have >= revision_) {
    return answer;
  }
  if (history_.empty() || history_.front().revision > have + 1) {
    answer["t"] = CurrentText();
    return answer;
  }
  Json deltas = Json::array();
  for (const PlanDelta& delta : history_) {
    if (delta.revision > have) {
      deltas.push_back(EncodeDelta(delta));
    }
  }
  answer["d"] = std::move(deltas);
  return answer;
}

void PlanService::PullFrom(const std::string& address) {
  if (pulling_) {
    return;
  }
  pulling_ = true;
  context_.peers.Call(
      address, "/plan/get", Json{{"have", revision_}}, kPullTimeout,
      [this](Result<Json> result) {
        pulling_ = false;
        if (!Ok(result)) {
          return;
        }
        const Json& answer = std::get<Json>(result);
        if (answer.contains("t")) {
          TakeText(answer["t"].get<std::string>(),
                   answer.at("r").get<Revision>(), "peer");
        }
        for (const Json& delta : answer.value("d", Json::array())) {
          TakeDelta(DecodeDelta(delta), "peer");
        }
      });
}

}  // namespace mangoyoke
