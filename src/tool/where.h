// The command `where`: asks an instance where a request would go now, and why.

#ifndef MANGOYOKE_TOOL_WHERE_H_
#define MANGOYOKE_TOOL_WHERE_H_

#include <nlohmann/json.hpp>
#include <string>

#include "gateway/core/preview_query.h"
#include "tool/admin_client.h"

namespace mangoyoke {

// The preview of `query` as the first instance that responds makes it.
Result<nlohmann::json> FetchPreview(AdminClient& client,
                                    const PreviewQuery& query);

// A preview as text, one line for each fact.
std::string DescribePreview(const nlohmann::json& preview);

}  // namespace mangoyoke

#endif  // MANGOYOKE_TOOL_WHERE_H_
