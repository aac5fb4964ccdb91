// Finds event boundaries and event ids in a stream of server-sent events.

#include "gateway/core/event_stream_framer.h"

#include <algorithm>

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

// Whether `event` has a data field.
bool HasData(std::string_view event) {
  constexpr std::string_view kField = "data";
  for (size_t pos = event.find(kField); pos != std::string_view::npos;
       pos = event.find(kField, pos + 1)) {
    bool line_start = pos == 0 || event[pos - 1] == '\n';
    size_t next = pos + kField.size();
    if (line_start && (next == event.size() || event[next] == ':' ||
                       event[next] == '\n' || event[next] == '\r')) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string EventStreamFramer::Push(std::string_view bytes) {
  // An end can begin in the bytes searched before.
  size_t searched = partial_event_.size();
  size_t from = searched - std::min(searched, kCrLfEventEnd.size() - 1);
  partial_event_.append(bytes);
  size_t end = FindEventsEnd(std::string_view(partial_event_).substr(from));
  if (end == 0) {
    return {};
  }
  end += from;
  std::string events = partial_event_.substr(0, end);
  partial_event_.erase(0, end);
  CountEvents(events);
  UpdateLastEventId(events);
  return events;
}

void EventStreamFramer::CountEvents(std::string_view events) {
  bool uses_crlf = events.ends_with(kCrLfEventEnd);
  std::string_view end = uses_crlf ? kCrLfEventEnd : kLfEventEnd;
  size_t start = 0;
  for (size_t pos = events.find(end); pos != std::string_view::npos;
       pos = events.find(end, start)) {
    event_count_ += HasData(events.substr(start, pos - start)) ? 1 : 0;
    start = pos + end.size();
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
