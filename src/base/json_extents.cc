// A scanner that follows quotes and brackets only.

#include "base/json_extents.h"

#include <algorithm>
#include <string>

namespace mangoyoke {
namespace {

constexpr std::string_view kSpaces = " \t\r\n";
constexpr std::string_view kScalarEnds = ",]} \t\r\n";

class Scanner {
 public:
  explicit Scanner(std::string_view text) : text_(text) {}

  // Skips spaces and then `c`, if it comes next.
  bool Consume(char c) {
    SkipSpaces();
    if (at_ == text_.size() || text_[at_] != c) {
      return false;
    }
    ++at_;
    return true;
  }

  bool AtEnd() {
    SkipSpaces();
    return at_ == text_.size();
  }

  // Skips a value and returns it. Nothing if its end cannot be told.
  std::optional<std::string_view> Value() {
    SkipSpaces();
    size_t start = at_;
    if (!SkipValue() || at_ == start) {
      return std::nullopt;
    }
    return text_.substr(start, at_ - start);
  }

  // Skips a string and returns it without its quotes.
  std::optional<std::string_view> String() {
    SkipSpaces();
    size_t start = at_;
    if (start == text_.size() || text_[start] != '"' || !SkipString()) {
      return std::nullopt;
    }
    return text_.substr(start + 1, at_ - start - 2);
  }

 private:
  void SkipSpaces() {
    at_ = std::min(text_.find_first_not_of(kSpaces, at_), text_.size());
  }

  bool SkipValue() {
    if (at_ == text_.size()) {
      return false;
    }
    char first = text_[at_];
    if (first == '"') {
      return SkipString();
    }
    if (first == '{' || first == '[') {
      return SkipNested();
    }
    at_ = std::min(text_.find_first_of(kScalarEnds, at_), text_.size());
    return true;
  }

  bool SkipString() {
    for (++at_; at_ < text_.size(); ++at_) {
      if (text_[at_] == '\\') {
        ++at_;
      } else if (text_[at_] == '"') {
        ++at_;
        return true;
      }
    }
    return false;
  }

  bool SkipNested() {
    std::string open;  // The closing brackets that are still to come.
    while (at_ < text_.size()) {
      char c = text_[at_];
      if (c == '"') {
        if (!SkipString()) {
          return false;
        }
        continue;
      }
      ++at_;
      if (c == '{' || c == '[') {
        open += c == '{' ? '}' : ']';
      } else if (c == '}' || c == ']') {
        if (open.back() != c) {
          return false;
        }
        open.pop_back();
        if (open.empty()) {
          return true;
        }
      }
    }
    return false;
  }

  std::string_view text_;
  size_t at_ = 0;
};

}  // namespace

std::optional<std::vector<JsonMember>> FindJsonMembers(std::string_view text) {
  Scanner scanner(text);
  std::vector<JsonMember> members;
  if (!scanner.Consume('{')) {
    return std::nullopt;
  }
  bool more = !scanner.Consume('}');
  while (more) {
    auto name = scanner.String();
    if (!name || !scanner.Consume(':')) {
      return std::nullopt;
    }
    auto value = scanner.Value();
    if (!value) {
      return std::nullopt;
    }
    members.push_back(JsonMember{*name, *value});
    more = scanner.Consume(',');
    if (!more && !scanner.Consume('}')) {
      return std::nullopt;
    }
  }
  return scanner.AtEnd() ? std::optional(std::move(members)) : std::nullopt;
}

std::optional<std::vector<std::string_view>> FindJsonElements(
    std::string_view text) {
  Scanner scanner(text);
  std::vector<std::string_view> elements;
  if (!scanner.Consume('[')) {
    return std::nullopt;
  }
  bool more = !scanner.Consume(']');
  while (more) {
    auto value = scanner.Value();
    if (!value) {
      return std::nullopt;
    }
    elements.push_back(*value);
    more = scanner.Consume(',');
    if (!more && !scanner.Consume(']')) {
      return std::nullopt;
    }
  }
  return scanner.AtEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

}  // namespace mangoyoke
