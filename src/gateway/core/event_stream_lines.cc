// Finds line ends in a stream of server-sent events.

#include "gateway/core/event_stream_lines.h"

#include <algorithm>

namespace mangoyoke {

std::optional<std::string_view> EventStreamLines::Next(
    std::string_view buffer) {
  constexpr std::string_view kLineEnds = "\r\n";
  if (last_end_ == LineEnd::kCr && next_line_ < buffer.size() &&
      buffer[next_line_] == '\n') {
    last_end_ = LineEnd::kCrLf;  // Its second half arrived later.
    ++next_line_;
  }
  size_t end = buffer.find_first_of(kLineEnds, std::max(searched_, next_line_));
  if (end == std::string_view::npos) {
    searched_ = buffer.size();
    return std::nullopt;
  }
  searched_ = end;
  bool last_byte = end + 1 == buffer.size();
  if (buffer[end] == '\n') {
    last_end_ = LineEnd::kLf;
  } else if (!last_byte) {
    last_end_ = buffer[end + 1] == '\n' ? LineEnd::kCrLf : LineEnd::kCr;
  } else if (last_end_ != LineEnd::kCr) {
    return std::nullopt;
  }
  std::string_view line = buffer.substr(next_line_, end - next_line_);
  next_line_ = end + (last_end_ == LineEnd::kCrLf ? 2 : 1);
  return line;
}

void EventStreamLines::Remove(size_t size) {
  next_line_ -= size;
  searched_ -= std::min(searched_, size);
}

}  // namespace mangoyoke
