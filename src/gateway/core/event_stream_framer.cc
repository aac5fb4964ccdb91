// Finds event boundaries and event ids in a stream of server-sent events.

#include "gateway/core/event_stream_framer.h"

namespace mangoyoke {
namespace {

constexpr std::string_view kLfEventEnd = "\n\n";
constexpr std::string_view kCrLfEventEnd = "\r\n\r\n";

// The position after the last blank line that ends an event in `text`; 0 if
// there is none.
size_t FindEventsEnd(std::string_view text) {
  size_t end = 0;
  if (size_t pos = text.rfind(kLfEventEnd); pos != std::string_view::npos) {
    end = pos + kLfEventEnd.size();
  }
  if (size_t pos = text.rfind(kCrLfEventEnd); pos != std::string_view::npos) {
    end = std::max(end, pos + kCrLfEventEnd.size());
  }
  return end;
}

}  // namespace

std::string EventStreamFramer::Push(std::string_view bytes) {
  partial_event_.append(bytes);
  size_t end = FindEventsEnd(partial_event_);
  if (end == 0) {
    return {};
  }
  std::string events = partial_event_.substr(0, end);
  partial_event_.erase(0, end);
  CountEvents(events);
  UpdateLastEventId(events);
  return events;
}

void EventStreamFramer::CountEvents(std::string_view events) {
  bool uses_crlf = events.ends_with(kCrLfEventEnd);
  std::string_view end = uses_crlf ? kCrLfEventEnd : kLfEventEnd;
  for (size_t pos = events.find(end); pos != std::string_view::npos;
       pos = events.find(end, pos + end.size())) {
    ++event_count_;
  }
}

void EventStreamFramer::UpdateLastEventId(std::string_view events) {
  constexpr std::string_view kField = "id:";
  size_t pos = events.rfind(kField);
  while (pos != std::string_view::npos && pos > 0 && events[pos - 1] != '\n') {
    pos = events.rfind(kField, pos - 1);
  }
  if (pos == std::string_view::npos) {
    return;
  }
  std::string_view id = events.substr(pos + kField.size());
  id = id.substr(0, id.find_first_of("\r\n"));
  if (id.starts_with(' ')) {
    id.remove_prefix(1);
  }
  last_event_id_ = id;
}

}  // namespace mangoyoke
