// Follows and accepts plans. The table service decides what is accepted: one
// row for each revision, written once. Peers spread what they have seen.

#ifndef MANGOYOKE_DAEMON_CONTROL_PLAN_PLAN_SERVICE_H_
#define MANGOYOKE_DAEMON_CONTROL_PLAN_PLAN_SERVICE_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "daemon/control/control_context.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// A plan that an operator hands in.
struct PlanSubmission {
  std::string text;
  Revision base = 0;          // The revision it was made against.
  std::string submission_id;  // Chosen by the operator; makes it repeatable.

  bool operator==(const PlanSubmission&) const = default;
};

class PlanService {
 public:
  explicit PlanService(ControlContext context);

  void Start();

  // The plan in force, from any thread; null if none is known.
  std::shared_ptr<const Plan> Current() const;
  const std::string& text() const { return text_; }
  Revision revision() const { return revision_; }

  // Submits to the table service. The callback gets the accepted revision.
  using SubmitCallback = std::function<void(Result<Revision>)>;
  void Submit(PlanSubmission submission, SubmitCallback callback);

  // Another instance asks for the plan if it is newer than what it has.
  Result<Json> OnPlanRequest(const Json& message) const;
  // Another instance at `address` has a newer plan.
  void PullFrom(const std::string& address);

  // Fired after a newer plan came into force.
  Observers<const Plan&> on_plan;

 private:
  void ReadStore();
  // Takes a plan into force if it is newer than the current one.
  bool Adopt(const std::string& text, Revision revision, const char* source);
  void ResolveLostReply(const PlanSubmission& submission,
                        SubmitCallback callback);
  void FinishSubmit(const PlanSubmission& submission,
                    const std::string& row_value,
                    const SubmitCallback& callback);

  ControlContext context_;
  mutable std::mutex mutex_;  // Guards current_ only.
  std::shared_ptr<const Plan> current_;
  std::string text_;
  Revision revision_ = 0;  // Never decreases.
  bool reading_ = false;
  bool pulling_ = false;
  std::unique_ptr<PeriodicTimer> read_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_PLAN_PLAN_SERVICE_H_
