// Finds event boundaries and event ids in a stream of server-sent events.

#include "gateway/core/event_stream_framer.h"

#include <algorithm>
#include <utility>

#include "gateway/core/header_text.h"

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

// Whether `line` can be a line of an event: a comment, or a field with or
// without a value. The names of fields are in lowercase, unlike those in most
// response heads; the first line of a stream may begin with a byte order mark.
bool IsEventLine(std::string_view line) {
  constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";
  if (line.starts_with(kByteOrderMark)) {
    line.remove_prefix(kByteOrderMark.size());
  }
  std::string_view name = line.substr(0, line.find(':'));
  return std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_';
  });
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
  events.resize(Scan(events));
  return events;
}

std::string EventStreamFramer::Finish(bool framed) {
  std::string last = std::exchange(partial_event_, std::string());
  if (!framed && (!last.empty() || events_of_server_ == 0)) {
    fault_ = StreamFault::kCutOff;
    return {};
  }
  bool has_events =
      started() || resumed_ || IsEventLine(last.substr(0, last.find('\n')));
  if (last.empty() || !has_events) {
    return last;
  }
  if (!last.ends_with('\n') && !last.ends_with('\r')) {
    fault_ = StreamFault::kCutOff;
    return {};
  }
  return Scan(last + "\n") > 0 ? last : std::string();
}

void EventStreamFramer::DiscardPartialEvent() {
  partial_event_ = std::string();
  fault_ = StreamFault::kNone;
  id_.reset();
  has_data_ = false;
  events_of_server_ = 0;
  resumed_ = started() || !last_event_id_.empty();
}

size_t EventStreamFramer::Scan(std::string_view events) {
  size_t passed = 0;
  size_t start = 0;
  while (start < events.size()) {
    size_t end = events.find('\n', start);
    std::string_view line = events.substr(start, end - start);
    start = end + 1;
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!line.empty()) {
      ScanLine(line);
    } else if (fault_ == StreamFault::kNone) {
      EndEvent();
      passed = start;
    }
    if (fault_ != StreamFault::kNone) {
      return passed;
    }
  }
  return passed;
}

void EventStreamFramer::ScanLine(std::string_view line) {
  constexpr std::string_view kData = "data";
  constexpr std::string_view kId = "id:";
  // A stream without any event is passed on as it is.
  if ((started() || resumed_) && !IsEventLine(line)) {
    fault_ = StreamFault::kMalformed;
    return;
  }
  if (line.substr(0, line.find(':')) == kData) {
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
  has_data_ = false;
  id_.reset();
}

}  // namespace mangoyoke
