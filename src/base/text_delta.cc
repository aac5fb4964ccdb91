// Compares the texts piece by piece; a piece ends with the end of an object.

#include "base/text_delta.h"

#include <unordered_map>

namespace mangoyoke {
namespace {

constexpr char kPieceEnd = '}';

// Removes the first piece of `text` and returns it.
std::string_view TakePiece(std::string_view& text) {
  size_t end = text.find(kPieceEnd);
  size_t size = end == std::string_view::npos ? text.size() : end + 1;
  std::string_view piece = text.substr(0, size);
  text.remove_prefix(size);
  return piece;
}

// Where each piece of `base` begins; of equal ones, the first.
std::unordered_map<std::string_view, size_t> FindPieces(std::string_view base) {
  std::unordered_map<std::string_view, size_t> begins;
  size_t begin = 0;
  while (!base.empty()) {
    std::string_view piece = TakePiece(base);
    begins.emplace(piece, begin);
    begin += piece.size();
  }
  return begins;
}

void AppendRange(TextDelta& delta, const TextRange& range) {
  auto* last = delta.empty() ? nullptr : std::get_if<TextRange>(&delta.back());
  if (last != nullptr && last->begin + last->size == range.begin) {
    last->size += range.size;
    return;
  }
  delta.emplace_back(range);
}

void AppendText(TextDelta& delta, std::string_view text) {
  auto* last =
      delta.empty() ? nullptr : std::get_if<std::string>(&delta.back());
  if (last != nullptr) {
    last->append(text);
    return;
  }
  delta.emplace_back(std::string(text));
}

}  // namespace

TextDelta MakeTextDelta(std::string_view base, std::string_view text) {
  auto begins = FindPieces(base);
  TextDelta delta;
  size_t expected = 0;  // Where the piece after the last range begins.
  while (!text.empty()) {
    std::string_view piece = TakePiece(text);
    if (base.substr(expected, piece.size()) == piece) {
      AppendRange(delta, TextRange{expected, piece.size()});
      expected += piece.size();
    } else if (auto found = begins.find(piece); found != begins.end()) {
      AppendRange(delta, TextRange{found->second, piece.size()});
      expected = found->second + piece.size();
    } else {
      AppendText(delta, piece);
    }
  }
  return delta;
}

std::optional<std::string> ApplyTextDelta(std::string_view base,
                                          const TextDelta& delta,
                                          size_t max_size) {
  std::string text;
  for (const auto& part : delta) {
    std::string_view piece;
    if (const auto* range = std::get_if<TextRange>(&part)) {
      if (range->begin > base.size() ||
          range->size > base.size() - range->begin) {
        return std::nullopt;
      }
      piece = base.substr(range->begin, range->size);
    } else {
      piece = std::get<std::string>(part);
    }
    if (piece.size() > max_size - text.size()) {
      return std::nullopt;
    }
    text.append(piece);
  }
  return text;
}

}  // namespace mangoyoke
