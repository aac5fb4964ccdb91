// Defaults of reporters that add nothing to the reports of load.

#include "gateway/traffic/peer_reporter.h"

#include <nlohmann/json.hpp>

namespace mangoyoke {

nlohmann::json PeerReporter::OwnPart(TimePoint) {
  return nullptr;
}

void PeerReporter::ApplyOwnPart(const InstanceId&,
                                const nlohmann::json&,
                                TimePoint) {}

}  // namespace mangoyoke
