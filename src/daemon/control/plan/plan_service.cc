// Reads plans from the table service and peers, and submits new ones.

#include "daemon/control/plan/plan_service.h"

#include "base/log.h"

namespace mangoyoke {
namespace {

constexpr Millis kReadTimeout{2000};
constexpr Millis kWriteTimeout{3000};
constexpr Millis kPullTimeout{3000};
// Number of deltas kept for peers. A peer that lacks more gets the whole plan.
constexpr size_t kMaxRecentDeltas = 256;
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
  context_.http.Start(std::move(request), [callback](
                                              const ClientResponse& response) {
    callback(response, response.Succeeded() ? ParseRowResponse(response.body)
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
              if (!ActivateRow(*row, "store")) {
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
            if (row && ActivateRow(*row, "store")) {
              CatchUp(last);
            }
          });
}

bool PlanService::ActivateRow(const PlanRow& row, const char* source) {
  if (ActivateDelta(row.delta, source)) {
    return true;
  }
  return row.text && ActivateText(*row.text, row.delta.revision, source);
}

bool PlanService::ActivateDelta(const PlanDelta& delta, const char* source) {
  if (delta.revision != revision_ + 1) {
    return false;
  }
  auto current = Current();
  if (!Activate(ApplyDelta(current ? *current : Plan{}, delta), source)) {
    return false;
  }
  ApplyDelta(sections_, delta);
  recent_deltas_.push_back(delta);
  if (recent_deltas_.size() > kMaxRecentDeltas) {
    recent_deltas_.pop_front();
  }
  NotifyPlanChanged();
  return true;
}

bool PlanService::ActivateText(const std::string& text,
                               Revision revision,
                               const char* source) {
  if (revision <= revision_) {
    return false;  // A stale read, or a revision that is already active.
  }
  auto parsed =
      ParsePlan(text, "revision " + std::to_string(revision), revision);
  if (!Activate(std::move(parsed), source)) {
    return false;
  }
  sections_ = SplitSections(text);
  recent_deltas_.clear();  // The deltas would not be contiguous.
  NotifyPlanChanged();
  return true;
}

bool PlanService::Activate(Result<Plan> parsed, const char* source) {
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

void PlanService::NotifyPlanChanged() {
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
    callback(Error{ErrorCode::kPlanConflict,
                   "base revision " + std::to_string(submission.base_revision) +
                       " is newer than this instance's revision " +
                       std::to_string(revision_)});
    return;
  }
  if (submission.base_revision < revision_) {
    // The base is outdated, unless this is a retry of a submission that was
    // accepted: the stored row tells which.
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
  request.body =
      Json{{"expected_version", 0}, {"value", FormatRow(row)}}.dump();
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
      FinishSubmit(submission, ParseRowResponse(response.body), callback);
    } else {
      callback(Error{ErrorCode::kStoreUnavailable,
                     "the table service responded with status " +
                         std::to_string(response.status)});
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
            // An absent row does not prove failure: the write may still take
            // effect.
            callback(Error{ErrorCode::kSubmitUnknown, response.error});
          });
}

void PlanService::FinishSubmit(const PlanSubmission& submission,
                               const std::optional<PlanRow>& row,
                               const SubmitCallback& callback) {
  if (!row) {
    callback(Error{ErrorCode::kSubmitUnknown,
                   "the stored row of revision " +
                       std::to_string(submission.base_revision + 1) +
                       " is unreadable"});
    return;
  }
  ActivateRow(*row, "submit");
  if (row->submission_id == submission.submission_id) {
    callback(row->delta.revision);
    return;
  }
  callback(Error{ErrorCode::kPlanConflict,
                 "revision " + std::to_string(row->delta.revision) +
                     " was accepted from another submission"});
}

Result<Json> PlanService::OnPlanRequest(const Json& message) const {
  Revision peer_revision = message.at("have").get<Revision>();
  Json response{{"r", revision_}};
  if (peer_revision >= revision_) {
    return response;
  }
  if (recent_deltas_.empty() ||
      recent_deltas_.front().revision > peer_revision + 1) {
    response["t"] = CurrentText();
    return response;
  }
  Json deltas = Json::array();
  for (const PlanDelta& delta : recent_deltas_) {
    if (delta.revision > peer_revision) {
      deltas.push_back(EncodeDelta(delta));
    }
  }
  response["d"] = std::move(deltas);
  return response;
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
        const Json& response = std::get<Json>(result);
        if (response.contains("t")) {
          ActivateText(response["t"].get<std::string>(),
                       response.at("r").get<Revision>(), "peer");
        }
        for (const Json& delta : response.value("d", Json::array())) {
          ActivateDelta(DecodeDelta(delta), "peer");
        }
      });
}

}  // namespace mangoyoke
