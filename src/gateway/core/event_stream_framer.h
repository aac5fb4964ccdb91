// Splits a stream of server-sent events (SSE) at event boundaries, so that only
// complete events are passed on and an interrupted stream can be resumed after
// the last of them.

#ifndef MANGOYOKE_GATEWAY_CORE_EVENT_STREAM_FRAMER_H_
#define MANGOYOKE_GATEWAY_CORE_EVENT_STREAM_FRAMER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace mangoyoke {

// Buffers the bytes of one event stream until an event is complete. Events end
// with a blank line, by LF or CR LF.
class EventStreamFramer {
 public:
  static constexpr size_t kMaxEventBytes = 1 << 20;

  // Appends received bytes. Returns, unchanged, the events that are complete
  // now and were not returned before; empty if there are none.
  std::string Push(std::string_view bytes);
  // Whether the event in progress is longer than any event may be. The stream
  // then has to be given up.
  bool overlong() const { return partial_event_.size() > kMaxEventBytes; }
  // Bytes received after the last complete event.
  std::string_view partial_event() const { return partial_event_; }
  // Discards a partial event, before another server resumes the stream.
  void DiscardPartialEvent() { partial_event_.clear(); }
  // The last event id in the complete events; empty if none had an id.
  const std::string& last_event_id() const { return last_event_id_; }
  // Number of complete events with data returned so far. Comments, which a
  // stalled server may go on sending, do not count.
  int64_t event_count() const { return event_count_; }
  // Whether any complete event was returned.
  bool started() const { return event_count_ > 0; }

 private:
  // Sets `last_event_id_` to the last id in `events`, if there is one.
  void UpdateLastEventId(std::string_view events);
  // Adds the number of events in `events` to `event_count_`.
  void CountEvents(std::string_view events);

  std::string partial_event_;
  std::string last_event_id_;
  int64_t event_count_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_EVENT_STREAM_FRAMER_H_
