// A request that is not sent: what operators ask a preview of.

#ifndef MANGOYOKE_GATEWAY_CORE_PREVIEW_QUERY_H_
#define MANGOYOKE_GATEWAY_CORE_PREVIEW_QUERY_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "mangoyoke/error.h"

namespace mangoyoke {

// The path of previews on the operators' address.
inline constexpr std::string_view kPreviewPath = "/where";

// A request that is not sent.
struct PreviewQuery {
  std::string host;
  std::string path;
  std::string method = "POST";
  std::string account;  // Empty: none. Never a key.
  int64_t prompt_tokens = 0;
  int64_t output_tokens = 0;  // 0: the usual number is expected.

  bool operator==(const PreviewQuery&) const = default;
};

// The query in the parameters of `target`, as in "/where?host=h&path=/p".
// kUnknownPath, with the reason, if it is none.
Result<PreviewQuery> ParsePreviewQuery(std::string_view target);
// The target that ParsePreviewQuery() reads as `query`.
std::string PreviewTarget(const PreviewQuery& query);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_PREVIEW_QUERY_H_
