// Splitting plan text into sections, joining them, and comparing and applying
// deltas.

#include "mangoyoke/plan_delta.h"

#include <sstream>

namespace mangoyoke {

PlanSections SplitSections(const std::string& text) {
  PlanSections sections;
  std::istringstream input(text);
  std::string* current = nullptr;
  for (std::string line; std::getline(input, line);) {
    if (line.size() > 2 && line.front() == '[' && line.back() == ']') {
      current = &sections[line.substr(1, line.size() - 2)];
    } else if (current != nullptr && !line.empty()) {
      current->append(line).append("\n");
    }
  }
  return sections;
}

std::string JoinSections(const PlanSections& sections) {
  std::string text;
  for (const auto& [header, body] : sections) {
    text.append("[").append(header).append("]\n").append(body).append("\n");
  }
  return text;
}

PlanDelta MakeDelta(const PlanSections& from,
                    const PlanSections& to,
                    Revision revision) {
  PlanDelta delta;
  delta.revision = revision;
  for (const auto& [header, body] : to) {
    auto before = from.find(header);
    if (before == from.end() || before->second != body) {
      delta.changed[header] = body;
    }
  }
  for (const auto& [header, body] : from) {
    if (!to.contains(header)) {
      delta.removed.push_back(header);
    }
  }
  return delta;
}

void ApplyDelta(PlanSections& sections, const PlanDelta& delta) {
  for (const std::string& header : delta.removed) {
    sections.erase(header);
  }
  for (const auto& [header, body] : delta.changed) {
    sections[header] = body;
  }
}

Result<Plan> ApplyDelta(const Plan& plan, const PlanDelta& delta) {
  return UpdatePlan(plan, JoinSections(delta.changed), delta.removed,
                    "revision " + std::to_string(delta.revision),
                    delta.revision);
}

}  // namespace mangoyoke
