// Finds the lines of a stream of server-sent events (SSE), which arrives in
// parts. Lines end with LF, CR LF or CR.

#ifndef MANGOYOKE_GATEWAY_CORE_EVENT_STREAM_LINES_H_
#define MANGOYOKE_GATEWAY_CORE_EVENT_STREAM_LINES_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace mangoyoke {

// Keeps positions in a buffer of the caller's, to which received bytes are
// appended and from whose front they are taken.
class EventStreamLines {
 public:
  // The next line that is complete in `buffer`, without its end. A CR that is
  // the last byte may be half of a CR LF: it ends the line at once only if the
  // line before ended with a CR alone, since a stream that uses CR would
  // otherwise be an event late.
  std::optional<std::string_view> Next(std::string_view buffer);
  // Where the line after the last one returned begins.
  size_t next_line() const { return next_line_; }
  // The first `size` bytes, all before next_line(), were taken away.
  void Remove(size_t size);

 private:
  enum class LineEnd { kNone, kLf, kCrLf, kCr };

  size_t next_line_ = 0;
  size_t searched_ = 0;  // No line ends between next_line_ and this.
  LineEnd last_end_ = LineEnd::kNone;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_EVENT_STREAM_LINES_H_
