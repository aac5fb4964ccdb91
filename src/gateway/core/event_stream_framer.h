// Cuts a stream of server-sent events at event ends, so that only whole events
// are passed on and a stream that breaks off can go on after the last of them.

#ifndef MANGOYOKE_GATEWAY_CORE_EVENT_STREAM_FRAMER_H_
#define MANGOYOKE_GATEWAY_CORE_EVENT_STREAM_FRAMER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace mangoyoke {

class EventStreamFramer {
 public:
  // Takes received bytes; returns the whole events that are complete now,
  // byte for byte, or an empty string.
  std::string Push(std::string_view bytes);
  // Bytes after the last whole event.
  std::string_view partial_event() const { return partial_event_; }
  // Forgets a partial event, before the stream goes on from another server.
  void DiscardPartialEvent() { partial_event_.clear(); }
  // Id of the last whole event; empty if none had one.
  const std::string& last_event_id() const { return last_event_id_; }
  // Whole events passed on so far.
  int64_t event_count() const { return event_count_; }
  bool started() const { return event_count_ > 0; }

 private:
  void NoteId(std::string_view events);
  void CountEvents(std::string_view events);

  std::string partial_event_;
  std::string last_event_id_;
  int64_t event_count_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_EVENT_STREAM_FRAMER_H_
