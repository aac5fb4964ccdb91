// Tells where a request would go now, and why, from what this instance knows.
// Sends nothing, charges nothing, draws no random number and takes no retry.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_REQUEST_PREVIEW_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_REQUEST_PREVIEW_H_

#include <nlohmann/json_fwd.hpp>

#include "gateway/core/preview_query.h"
#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

// Where a request like `query` would go at `now`.
nlohmann::json PreviewRequest(TrafficContext& context,
                              const PreviewQuery& query,
                              TimePoint now);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_REQUEST_PREVIEW_H_
