// Finds event boundaries and event ids in a stream of server-sent events.

#include "gateway/core/event_stream_framer.h"

#include <algorithm>
#include <array>
#include <utility>

#include "gateway/core/header_text.h"

namespace mangoyoke {
namespace {

// Without the byte order mark with which the first line of a stream may begin.
std::string_view WithoutByteOrderMark(std::string_view line) {
  constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
  size_t received = std::min(line.size(), kByteOrderMark.size());
  if (line.starts_with(kByteOrderMark.substr(0, received))) {
    line.remove_prefix(received);
  }
  return line;
}

std::string_view FieldName(std::string_view line) {
  return line.substr(0, line.find(':'));
}

// Whether `line` can be a line of an event, or the beginning of one: a comment,
// or a field with or without a value. The names of fields are in lowercase,
// unlike those in most response heads.
bool IsEventLine(std::string_view line) {
  std::string_view name = FieldName(WithoutByteOrderMark(line));
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
  });
}

// Whether the whole `line` is a field of an event. A word without a colon is
// one only if its name is known.
bool IsField(std::string_view line) {
  constexpr std::array<std::string_view, 4> kNames = {"data", "id", "event",
                                                      "retry"};
  line = WithoutByteOrderMark(line);
  std::string_view name = FieldName(line);
  bool known = std::find(kNames.begin(), kNames.end(), name) != kNames.end();
  bool has_value = !name.empty() && name.size() < line.size();
  return known || (has_value && IsEventLine(line));
}

bool IsNumber(std::string_view text) {
  return !text.empty() &&
         text.find_first_not_of("0123456789") == std::string_view::npos;
}

// Compares decimal numbers of any length.
bool IsGreater(std::string_view number, std::string_view other) {
  constexpr char kZero = '0';
  while (number.starts_with(kZero)) {
    number.remove_prefix(1);
  }
  while (other.starts_with(kZero)) {
    other.remove_prefix(1);
  }
  return number.size() == other.size() ? number > other
                                       : number.size() > other.size();
}

}  // namespace

std::string_view StreamFaultName(StreamFault fault) {
  switch (fault) {
    case StreamFault::kNone:
      return "none";
    case StreamFault::kMalformed:
      return "malformed";
    case StreamFault::kRepeated:
      return "repeated";
    case StreamFault::kCutOff:
      return "cut_off";
  }
  return "none";
}

std::string EventStreamFramer::Push(std::string_view bytes) {
  partial_event_.append(bytes);
  size_t end = Scan();
  std::string events = partial_event_.substr(0, end);
  partial_event_.erase(0, end);
  lines_.Remove(end);
  return events;
}

size_t EventStreamFramer::Scan() {
  size_t complete = 0;
  while (fault_ == StreamFault::kNone) {
    auto line = lines_.Next(partial_event_);
    if (line && !line->empty()) {
      ScanLine(*line);
    } else if (line) {
      EndEvent();
    }
    if (!has_lines_) {
      complete = lines_.next_line();
    }
    if (!line) {
      break;
    }
  }
  return complete;
}

std::string EventStreamFramer::Finish(bool framed) {
  if (fault_ == StreamFault::kNone && !MayEnd(framed)) {
    fault_ = StreamFault::kCutOff;
  }
  std::string rest = std::exchange(partial_event_, std::string());
  return fault_ == StreamFault::kNone ? rest : std::string();
}

bool EventStreamFramer::MayEnd(bool framed) const {
  if (!framed && events_of_server_ == 0) {
    return false;  // Nothing shows that the server had begun.
  }
  std::string_view open_line =
      std::string_view(partial_event_).substr(lines_.next_line());
  bool in_line = !open_line.empty();
  if (has_fields_ || (in_line && IsEventLine(open_line))) {
    return false;
  }
  return !in_line || !HasEvents();
}

void EventStreamFramer::DiscardPartialEvent() {
  partial_event_ = std::string();
  lines_ = EventStreamLines();
  fault_ = StreamFault::kNone;
  id_.reset();
  has_lines_ = false;
  has_fields_ = false;
  has_data_ = false;
  events_of_server_ = 0;
  resumed_ = started() || !last_event_id_.empty();
}

void EventStreamFramer::ScanLine(std::string_view line) {
  constexpr std::string_view kData = "data";
  constexpr std::string_view kId = "id:";
  has_lines_ = true;
  // A stream without any event is passed on as it is.
  if (HasEvents() && !IsEventLine(line)) {
    fault_ = StreamFault::kMalformed;
    return;
  }
  line = WithoutByteOrderMark(line);
  has_fields_ = has_fields_ || IsField(line);
  if (FieldName(line) == kData) {
    has_data_ = true;
    return;
  }
  if (!line.starts_with(kId)) {
    return;
  }
  std::string_view id = line.substr(kId.size());
  if (id.starts_with(' ')) {
    id.remove_prefix(1);
  }
  if (IsRepeated(id)) {
    fault_ = StreamFault::kRepeated;
    return;
  }
  // After an id that cannot be sent to the next server, the stream cannot go
  // on there, as after an event without an id.
  if (IsFieldValue(id)) {
    id_ = id;
  }
}

bool EventStreamFramer::IsRepeated(std::string_view id) const {
  if (!resumed_) {
    return false;
  }
  if (IsNumber(id) && IsNumber(last_event_id_)) {
    return !IsGreater(id, last_event_id_);
  }
  return id == last_event_id_;
}

void EventStreamFramer::EndEvent() {
  if (has_data_) {
    ++event_count_;
    ++events_of_server_;
    ++events_after_id_;
  }
  if (id_) {
    last_event_id_ = *id_;
    events_after_id_ = 0;
  }
  has_lines_ = false;
  has_fields_ = false;
  has_data_ = false;
  id_.reset();
}

}  // namespace mangoyoke
