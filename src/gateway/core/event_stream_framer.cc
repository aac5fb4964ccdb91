// Finding of event ends and event ids.

#include "gateway/core/event_stream_framer.h"

namespace mangoyoke {
namespace {

constexpr std::string_view kEnd = "\n\n";
constexpr std::string_view kEndWithReturns = "\r\n\r\n";

// The position after the last event end in `text`; 0 if there is none.
size_t EndOfEvents(std::string_view text) {
  size_t end = 0;
  if (size_t at = text.rfind(kEnd); at != std::string_view::npos) {
    end = at + kEnd.size();
  }
  if (size_t at = text.rfind(kEndWithReturns); at != std::string_view::npos) {
    end = std::max(end, at + kEndWithReturns.size());
  }
  return end;
}

}  // namespace

std::string EventStreamFramer::Push(std::string_view bytes) {
  partial_event_.append(bytes);
  size_t end = EndOfEvents(partial_event_);
  if (end == 0) {
    return {};
  }
  std::string events = partial_event_.substr(0, end);
  partial_event_.erase(0, end);
  CountEvents(events);
  NoteId(events);
  return events;
}

void EventStreamFramer::CountEvents(std::string_view events) {
  bool returns = events.ends_with(kEndWithReturns);
  std::string_view end = returns ? kEndWithReturns : kEnd;
  for (size_t at = events.find(end); at != std::string_view::npos;
       at = events.find(end, at + end.size())) {
    ++event_count_;
  }
}

void EventStreamFramer::NoteId(std::string_view events) {
  constexpr std::string_view kField = "id:";
  size_t at = events.rfind(kField);
  while (at != std::string_view::npos && at > 0 && events[at - 1] != '\n') {
    at = events.rfind(kField, at - 1);
  }
  if (at == std::string_view::npos) {
    return;
  }
  std::string_view id = events.substr(at + kField.size());
  id = id.substr(0, id.find_first_of("\r\n"));
  if (id.starts_with(' ')) {
    id.remove_prefix(1);
  }
  last_event_id_ = id;
}

}  // namespace mangoyoke
