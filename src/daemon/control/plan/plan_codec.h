// Plan rows in the table service and plan messages between instances.

#ifndef MANGOYOKE_DAEMON_CONTROL_PLAN_PLAN_CODEC_H_
#define MANGOYOKE_DAEMON_CONTROL_PLAN_PLAN_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "mangoyoke/plan_delta.h"

namespace mangoyoke {

// A row of the table "plan": one accepted revision.
struct PlanRow {
  std::string submission_id;
  PlanDelta delta;
  // The whole plan, in every row whose revision IsSnapshot.
  std::optional<std::string> text;
};

// Whether the row of `revision` holds the whole plan.
bool IsSnapshot(Revision revision);
// The last snapshot at or before `revision`.
Revision SnapshotBefore(Revision revision);

// Row keys sort by revision.
std::string RowKey(Revision revision);
std::string PrintRow(const PlanRow& row);
// The row in a table service's answer; nothing if it is unreadable.
std::optional<PlanRow> ParseRowAnswer(const std::string& body);

nlohmann::json EncodeDelta(const PlanDelta& delta);
// Throws nlohmann::json::exception on a malformed message.
PlanDelta DecodeDelta(const nlohmann::json& message);

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_PLAN_PLAN_CODEC_H_
