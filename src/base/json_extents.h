// Finds where the parts of a JSON text begin and end without reading them, so
// that each part can be read by itself: a part that cannot be read, or that is
// nested very deeply, does no harm to the others.

#ifndef MANGOYOKE_BASE_JSON_EXTENTS_H_
#define MANGOYOKE_BASE_JSON_EXTENTS_H_

#include <optional>
#include <string_view>
#include <vector>

namespace mangoyoke {

// One member of an object, as it stands in the text.
struct JsonMember {
  std::string_view name;  // Without its quotes; escapes are kept.
  std::string_view value;
};

// The members of the object `text`, in order. Nothing if `text` is no object or
// if the end of a member cannot be told. What is inside of the values is not
// checked. Uses no recursion.
std::optional<std::vector<JsonMember>> FindJsonMembers(std::string_view text);

// The elements of the array `text`, with the same rules.
std::optional<std::vector<std::string_view>> FindJsonElements(
    std::string_view text);

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_JSON_EXTENTS_H_
