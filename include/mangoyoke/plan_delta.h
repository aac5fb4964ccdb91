// Plans as sections of text, and deltas between two revisions of a plan. With
// thousands of backend servers a change usually concerns one section, so deltas
// are sent instead of whole plans.

#ifndef MANGOYOKE_PLAN_DELTA_H_
#define MANGOYOKE_PLAN_DELTA_H_

#include <map>
#include <string>
#include <vector>

#include "mangoyoke/plan.h"

namespace mangoyoke {

// Maps a section header without brackets, as in "backend d1", to the lines
// below it.
using PlanSections = std::map<std::string, std::string>;

// Splits text written by FormatPlan into its sections.
PlanSections SplitSections(const std::string& text);
// Returns the sections as text that ParsePlan reads.
std::string JoinSections(const PlanSections& sections);

// The change from revision `revision` - 1 to `revision`.
struct PlanDelta {
  Revision revision = 0;
  PlanSections changed;              // Added or changed.
  std::vector<std::string> removed;  // Headers of removed sections.

  bool operator==(const PlanDelta&) const = default;
};

// Returns the delta that turns `from` into `to`, which is revision `revision`.
PlanDelta MakeDelta(const PlanSections& from,
                    const PlanSections& to,
                    Revision revision);
// Applies `delta` to `sections`.
void ApplyDelta(PlanSections& sections, const PlanDelta& delta);
// Returns `plan` with `delta` applied, or kPlanInvalid if that is not a valid
// plan.
Result<Plan> ApplyDelta(const Plan& plan, const PlanDelta& delta);

}  // namespace mangoyoke

#endif  // MANGOYOKE_PLAN_DELTA_H_
