// The parts of a prompt that its caller names. Requests share parts, for
// example a system prompt or a document; the text itself is not known here.

#ifndef MANGOYOKE_GATEWAY_CORE_PROMPT_PARTS_H_
#define MANGOYOKE_GATEWAY_CORE_PROMPT_PARTS_H_

#include <cstddef>
#include <string>
#include <vector>

namespace mangoyoke {

// Identifies a part of a prompt: equal ids stand for equal text.
using PromptPartId = std::string;

// Parts of one prompt that are read; further ones are ignored.
inline constexpr size_t kMaxPromptParts = 64;
inline constexpr size_t kMaxPromptPartIdBytes = 64;

struct PromptParts {
  std::vector<PromptPartId> shared;  // In the order of the prompt.
  PromptPartId own;  // The last part: of this request or its session alone.

  bool operator==(const PromptParts&) const = default;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_PROMPT_PARTS_H_
