// Encodes plans as rows of the table service and as messages between instances.

#ifndef MANGOYOKE_DAEMON_CONTROL_PLAN_PLAN_CODEC_H_
#define MANGOYOKE_DAEMON_CONTROL_PLAN_PLAN_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "mangoyoke/plan_delta.h"

namespace mangoyoke {

// A row of the table "plan". Each row holds one accepted revision.
struct PlanRow {
  std::string submission_id;
  PlanDelta delta;
  // The complete plan text; set if IsSnapshot(delta.revision).
  std::optional<std::string> text;
};

// Returns whether the row of `revision` contains the complete plan text.
bool IsSnapshot(Revision revision);
// Returns the last snapshot revision at or before `revision`.
Revision SnapshotBefore(Revision revision);

// Returns the row key of `revision`. Keys sort in the order of revisions.
std::string RowKey(Revision revision);
// Returns the row's value as JSON text.
std::string FormatRow(const PlanRow& row);
// Returns the row in a response body of the table service, or nullopt if the
// body is malformed.
std::optional<PlanRow> ParseRowResponse(const std::string& body);

nlohmann::json EncodeDelta(const PlanDelta& delta);
// Throws nlohmann::json::exception if the message is malformed.
PlanDelta DecodeDelta(const nlohmann::json& message);

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_CONTROL_PLAN_PLAN_CODEC_H_
