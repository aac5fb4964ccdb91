// JSON layout of plan rows and plan deltas.

#include "daemon/control/plan/plan_codec.h"

#include <iomanip>
#include <sstream>

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

// Row keys are zero-padded to this width, so that they sort by revision.
constexpr int kRevisionDigits = 12;
// One row in this many contains the complete plan.
constexpr Revision kSnapshotInterval = 64;

}  // namespace

bool IsSnapshot(Revision revision) {
  return revision % kSnapshotInterval == 1;
}

Revision SnapshotBefore(Revision revision) {
  return (revision - 1) / kSnapshotInterval * kSnapshotInterval + 1;
}

std::string RowKey(Revision revision) {
  std::ostringstream key;
  key << std::setw(kRevisionDigits) << std::setfill('0') << revision;
  return key.str();
}

Json EncodeDelta(const PlanDelta& delta) {
  return Json{{"revision", delta.revision},
              {"changed", delta.changed},
              {"removed", delta.removed}};
}

PlanDelta DecodeDelta(const Json& message) {
  PlanDelta delta;
  delta.revision = message.at("revision").get<Revision>();
  delta.changed = message.at("changed").get<PlanSections>();
  delta.removed = message.at("removed").get<std::vector<std::string>>();
  return delta;
}

std::string FormatRow(const PlanRow& row) {
  Json json{{"submission_id", row.submission_id},
            {"delta", EncodeDelta(row.delta)}};
  if (row.text) {
    json["text"] = *row.text;
  }
  return json.dump();
}

std::optional<PlanRow> ParseRowResponse(const std::string& body) {
  Json response = Json::parse(body, nullptr, false);
  if (!response.is_object()) {
    return std::nullopt;
  }
  Json json = Json::parse(response.value("value", ""), nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  try {
    PlanRow row;
    row.submission_id = json.at("submission_id").get<std::string>();
    row.delta = DecodeDelta(json.at("delta"));
    if (json.contains("text")) {
      row.text = json["text"].get<std::string>();
    }
    return row;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace mangoyoke
