// The difference between two texts that have most of their parts in common,
// such as two revisions of a JSON document.

#ifndef MANGOYOKE_BASE_TEXT_DELTA_H_
#define MANGOYOKE_BASE_TEXT_DELTA_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace mangoyoke {

// A range of the base text, in bytes.
struct TextRange {
  size_t begin = 0;
  size_t size = 0;

  bool operator==(const TextRange&) const = default;
};

// The parts of a text in order: ranges of the base text, and new text.
using TextDelta = std::vector<std::variant<TextRange, std::string>>;

// Returns the parts that make `text` out of `base`. Objects of a JSON text that
// are in `base` anywhere become ranges.
TextDelta MakeTextDelta(std::string_view base, std::string_view text);

// Returns the text that `delta` makes out of `base`; nothing if a range is not
// within `base`, or if the text would be longer than `max_size` bytes.
std::optional<std::string> ApplyTextDelta(std::string_view base,
                                          const TextDelta& delta,
                                          size_t max_size);

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_TEXT_DELTA_H_
