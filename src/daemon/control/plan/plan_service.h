// Follows and accepts plans. The table service decides what is accepted: one
// row for each revision, written once. Peers spread what they have seen.

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

// A plan that an operator hands in.
struct PlanSubmission {
  std::string text;
  Revision base_revision = 0;  // The revision it was made against.
  std::string submission_id;   // Chosen by the operator; makes it repeatable.

  bool operator==(const PlanSubmission&) const = default;
};

class PlanService {
 public:
  explicit PlanService(ControlContext context);

  void Start();

  // The plan in force, from any thread; null if none is known.
  std::shared_ptr<const Plan> Current() const;
  std::string CurrentText() const { return JoinSections(sections_); }
  Revision revision() const { return revision_; }

  // Submits to the table service. The callback gets the accepted revision.
  using SubmitCallback = std::function<void(Result<Revision>)>;
  void Submit(const PlanSubmission& submission, const SubmitCallback& callback);

  // Another instance asks for what is newer than what it has.
  Result<Json> OnPlanRequest(const Json& message) const;
  // Another instance at `address` has a newer plan.
  void PullFrom(const std::string& address);

  // Fired after a newer plan came into force.
  Observers<const Plan&> on_plan_changed;

 private:
  using RowCallback =
      std::function<void(const ClientResponse&, std::optional<PlanRow>)>;

  // Reads one row, or the last one if `key` is empty.
  void ReadRow(const std::string& key, RowCallback callback);
  void ReadStore();
  // Reads what is missing up to `last`, row by row.
  void CatchUp(Revision last);
  bool TakeRow(const PlanRow& row, const char* source);
  bool TakeDelta(const PlanDelta& delta, const char* source);
  bool TakeText(const std::string& text, Revision revision, const char* source);
  // Takes a valid plan into force if it is newer than the current one.
  bool Adopt(Result<Plan> parsed, const char* source);
  void Announce();
  void WriteRow(const PlanSubmission& submission,
                const PlanRow& row,
                const SubmitCallback& callback);
  // Reads the row that `submission` wanted to write, to see whose it is.
  void ResolveSubmit(const PlanSubmission& submission,
                     const SubmitCallback& callback);
  void FinishSubmit(const PlanSubmission& submission,
                    const std::optional<PlanRow>& row,
                    const SubmitCallback& callback);

  ControlContext context_;
  mutable std::mutex mutex_;  // Guards current_ only.
  std::shared_ptr<const Plan> current_;
  PlanSections sections_;
  Revision revision_ = 0;  // Never decreases.
  // The last deltas, oldest first, without a gap, ending at revision_.
  std::deque<PlanDelta> history_;
  bool reading_ = false;
  bool pulling_ = false;
  std::unique_ptr<PeriodicTimer> read_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_PLAN_PLAN_SERVICE_H_
