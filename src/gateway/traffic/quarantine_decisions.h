// Lets the quarantine decide on new evidence, and reports what it decided.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_QUARANTINE_DECISIONS_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_QUARANTINE_DECISIONS_H_

#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

// To be called after evidence was recorded in `context.quarantine`. Logs and
// counts the changes, and calls context.on_quarantine if a part was added.
void DecideQuarantine(TrafficContext& context);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_QUARANTINE_DECISIONS_H_
