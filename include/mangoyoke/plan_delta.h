// Plans as sections, and what changes between two revisions. At thousands of
// backend servers a change touches one section, so deltas travel, not plans.

#ifndef MANGOYOKE_PLAN_DELTA_H_
#define MANGOYOKE_PLAN_DELTA_H_

#include <map>
#include <string>
#include <vector>

#include "mangoyoke/plan.h"

namespace mangoyoke {

// Header without brackets, as "backend d1", to the lines below it.
using PlanSections = std::map<std::string, std::string>;

// Splits the text that FormatPlan wrote.
PlanSections SplitSections(const std::string& text);
// The text of all sections. ParsePlan reads it.
std::string JoinSections(const PlanSections& sections);

// Turns revision `revision` - 1 into `revision`.
struct PlanDelta {
  Revision revision = 0;
  PlanSections changed;              // New or different.
  std::vector<std::string> removed;  // Headers.

  bool operator==(const PlanDelta&) const = default;
};

PlanDelta MakeDelta(const PlanSections& from,
                    const PlanSections& to,
                    Revision revision);
void ApplyDelta(PlanSections& sections, const PlanDelta& delta);
// The plan that `delta` makes of `plan`, checked.
Result<Plan> ApplyDelta(const Plan& plan, const PlanDelta& delta);

}  // namespace mangoyoke

#endif  // MANGOYOKE_PLAN_DELTA_H_
