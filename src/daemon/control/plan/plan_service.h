// Keeps the active plan up to date and submits new plans.
//
// The table service decides which plans are accepted: it holds one row for each
// revision, and a row is written only once. Each instance polls the table and
// also pulls newer revisions from its peers, so that an accepted plan spreads
// while the table service is out.

#ifndef MANGOYOKE_DAEMON_CONTROL_PLAN_PLAN_SERVICE_H_
#define MANGOYOKE_DAEMON_CONTROL_PLAN_PLAN_SERVICE_H_

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "daemon/control/control_context.h"
#include "daemon/control/plan/plan_codec.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// A plan that an operator submits.
struct PlanSubmission {
  std::string text;
  Revision base_revision = 0;  // Revision that the plan is based on.
  std::string submission_id;   // Chosen by the operator; a retry reuses it.

  bool operator==(const PlanSubmission&) const = default;
};

// Runs on the control thread, except Current().
class PlanService {
 public:
  explicit PlanService(ControlContext context);

  // Reads the stored plan and starts to poll the table service.
  void Start();

  // Returns the active plan, or null if none is known. Safe on any thread.
  std::shared_ptr<const Plan> Current() const;
  std::string CurrentText() const { return JoinSections(sections_); }
  Revision revision() const { return revision_; }

  // Gets the accepted revision, or an error: kPlanInvalid, kPlanConflict,
  // kStoreUnavailable, or kSubmitUnknown if the write may have taken effect.
  using SubmitCallback = std::function<void(Result<Revision>)>;
  // Validates a plan and writes it to the table service. A retry with the same
  // submission id succeeds if the earlier attempt was accepted.
  void Submit(const PlanSubmission& submission, const SubmitCallback& callback);

  // Responds to a peer with all revisions newer than the one that it has.
  Result<Json> OnPlanRequest(const Json& message) const;
  // Requests newer revisions from the peer at `address`.
  void PullFrom(const std::string& address);

  // Notified after a newer plan has become active.
  Observers<const Plan&> on_plan_changed;

 private:
  using RowCallback =
      std::function<void(const ClientResponse&, std::optional<PlanRow>)>;

  // Reads the row of `key`, or the last row if `key` is empty.
  void ReadRow(const std::string& key, RowCallback callback);
  // Reads the last row and, if revisions are missing before it, those too.
  void ReadStore();
  // Reads the missing revisions up to `last`, one row after another.
  void CatchUp(Revision last);
  // These activate a revision if it is newer than the active one, and return
  // whether they did. `source` is logged.
  bool ActivateRow(const PlanRow& row, const char* source);
  bool ActivateDelta(const PlanDelta& delta, const char* source);
  bool ActivateText(const std::string& text,
                    Revision revision,
                    const char* source);
  // Makes a valid plan active if it is newer than the active one. Logs and
  // ignores an invalid plan.
  bool Activate(Result<Plan> parsed, const char* source);
  // Publishes the active plan to metrics and observers.
  void NotifyPlanChanged();
  // Writes the row of a new revision, unless the revision exists already.
  void WriteRow(const PlanSubmission& submission,
                const PlanRow& row,
                const SubmitCallback& callback);
  // Reads the row that `submission` tried to write, to find out which
  // submission was accepted.
  void ResolveSubmit(const PlanSubmission& submission,
                     const SubmitCallback& callback);
  // Reports the result of `submission`, given the stored row of its revision.
  void FinishSubmit(const PlanSubmission& submission,
                    const std::optional<PlanRow>& row,
                    const SubmitCallback& callback);

  ControlContext context_;
  mutable std::mutex mutex_;  // Guards current_ only.
  std::shared_ptr<const Plan> current_;
  PlanSections sections_;
  Revision revision_ = 0;  // Never decreases.
  // The most recent deltas, oldest first, contiguous and ending at revision_.
  std::deque<PlanDelta> recent_deltas_;
  bool reading_ = false;
  bool pulling_ = false;
  std::unique_ptr<PeriodicTimer> read_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_PLAN_PLAN_SERVICE_H_
