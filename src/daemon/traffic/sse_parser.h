// Parser for a stream of server-sent events.

#ifndef MANGOYOKE_DAEMON_TRAFFIC_SSE_PARSER_H_
#define MANGOYOKE_DAEMON_TRAFFIC_SSE_PARSER_H_

#include <string>
#include <string_view>

namespace mangoyoke {

// Extracts the data field of each event. An event must have at most one
// "data: " line, as its last line, and end with an empty line ("\n\n").
class SseParser {
 public:
  // Appends received bytes.
  void Push(std::string_view bytes) { buffer_.append(bytes); }

  // Removes the next complete event and stores its data in `data`. Returns
  // false if no event is complete. `data` is empty if the event has none.
  bool Next(std::string& data) {
    constexpr std::string_view kEnd = "\n\n";
    constexpr std::string_view kData = "data: ";
    size_t end = buffer_.find(kEnd, start_);
    if (end == std::string::npos) {
      buffer_.erase(0, start_);
      start_ = 0;
      return false;
    }
    std::string_view event(buffer_.data() + start_, end - start_);
    start_ = end + kEnd.size();
    size_t position = event.find(kData);
    data = position == std::string_view::npos
               ? std::string()
               : std::string(event.substr(position + kData.size()));
    return true;
  }

 private:
  std::string buffer_;
  size_t start_ = 0;  // Everything before this offset was returned.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_SSE_PARSER_H_
