// Splits a stream of server-sent events (SSE) at event boundaries, so that only
// complete events are passed on and an interrupted stream can be resumed after
// the last of them. Finds what does not belong to the stream: lines that are no
// part of an event, and events that come twice after it was resumed.

#ifndef MANGOYOKE_GATEWAY_CORE_EVENT_STREAM_FRAMER_H_
#define MANGOYOKE_GATEWAY_CORE_EVENT_STREAM_FRAMER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/core/event_stream_lines.h"

namespace mangoyoke {

// Why a server's stream has to be given up.
enum class StreamFault {
  kNone,
  kMalformed,  // After whole events, a line that no event has.
  kRepeated,   // A resumed stream begins at or before the last event.
  kCutOff,     // It ended in the middle of an event.
};

// The name of `fault` in logs.
std::string_view StreamFaultName(StreamFault fault);

// Buffers the bytes of one event stream until an event is complete. Only a
// blank line ends an event.
class EventStreamFramer {
 public:
  static constexpr size_t kMaxEventBytes = 1 << 20;

  // Appends received bytes. Returns, unchanged, the events that are complete
  // now and were not returned before; empty if there are none. Events from a
  // fault on are not returned.
  std::string Push(std::string_view bytes);
  // The server ended the stream. Returns the bytes after the last complete
  // event if no event has begun in them: they are whole lines of comments, or
  // the stream has no events at all. `framed`: the response has a length or
  // chunks, so that its end is certain.
  std::string Finish(bool framed);
  // A fault in what the current server sent.
  StreamFault fault() const { return fault_; }
  // Whether the event in progress is longer than any event may be. The stream
  // then has to be given up.
  bool overlong() const { return partial_event_.size() > kMaxEventBytes; }
  // The memory of what was received of an event that is not complete yet.
  size_t partial_event_memory() const { return partial_event_.capacity(); }
  // Bytes received after the last complete event.
  std::string_view partial_event() const { return partial_event_; }
  // Discards a partial event, and a fault, before another server resumes the
  // stream.
  void DiscardPartialEvent();
  // Whether a server that goes on after last_event_id() leaves out no event
  // returned and repeats none.
  bool resumable() const { return events_after_id_ == 0; }
  // The last event id in the complete events; empty if none had an id.
  const std::string& last_event_id() const { return last_event_id_; }
  // Number of complete events with data returned so far. Comments, which a
  // stalled server may go on sending, do not count.
  int64_t event_count() const { return event_count_; }
  // Whether any complete event was returned.
  bool started() const { return event_count_ > 0; }

 private:
  // Takes the lines that are complete now. Returns the size of the complete
  // events at the front of partial_event_, up to a fault.
  size_t Scan();
  // Whether the stream can end here: the bytes left are no part of an event.
  bool MayEnd(bool framed) const;
  // Whether the stream has or had events, so that each line has to be of one.
  bool HasEvents() const { return started() || resumed_; }
  // Takes one line of the event in progress.
  void ScanLine(std::string_view line);
  // The event in progress is complete.
  void EndEvent();
  // Whether an event with `id` cannot follow in a resumed stream.
  bool IsRepeated(std::string_view id) const;

  std::string partial_event_;
  EventStreamLines lines_;  // In partial_event_.
  std::string last_event_id_;
  int64_t event_count_ = 0;
  int64_t events_after_id_ = 0;   // Events with data after the last id.
  int64_t events_of_server_ = 0;  // Events with data of the current server.
  bool resumed_ = false;
  StreamFault fault_ = StreamFault::kNone;
  // Of the event that is scanned.
  std::optional<std::string> id_;
  bool has_lines_ = false;
  bool has_fields_ = false;  // Lines other than comments.
  bool has_data_ = false;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_EVENT_STREAM_FRAMER_H_
