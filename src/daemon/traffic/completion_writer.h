// Writes the response to one completion request: a stream of server-sent
// events, or one JSON object.

#ifndef MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_WRITER_H_
#define MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_WRITER_H_

#include <memory>
#include <string>

#include "base/metrics.h"
#include "http/response_stream.h"
#include "mangoyoke/error.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

struct ResponseFormat {
  std::string id;  // Request id, as sent to the caller.
  ModelId model;
  bool stream = false;  // Server-sent events; otherwise one JSON object.
  bool chat = false;    // The format of /v1/chat/completions.

  bool operator==(const ResponseFormat&) const = default;
};

// Formats tokens and writes them to the caller's response stream.
class CompletionWriter {
 public:
  CompletionWriter(ResponseFormat format,
                   std::shared_ptr<ResponseStream> stream);

  // Appends the next token. A caller that sends `event_id` as Last-Event-ID
  // resumes after this token.
  void AddToken(const std::string& token, const std::string& event_id);
  // Completes the response.
  void Finish(int64_t prompt_tokens, int64_t completion_tokens);
  // Ends the response with an error. A response that has begun is aborted after
  // an error event, so that the caller cannot mistake it for a complete one.
  void Fail(Metrics& metrics, const Error& error);
  // Closes the connection to the caller.
  void Abort() { stream_->Abort(); }

  // Bytes that the caller has not taken yet.
  size_t PendingBytes() const { return stream_->PendingBytes(); }
  // True if the connection to the caller is lost.
  bool failed() const { return stream_->failed(); }

 private:
  // Starts the event stream, if it has not started.
  void StartEvents();
  // The JSON object of one event.
  std::string Chunk(const std::string& token, const char* finish_reason) const;

  ResponseFormat format_;
  std::shared_ptr<ResponseStream> stream_;
  std::string event_prefix_;  // Event text before the token.
  std::string event_suffix_;  // Event text after the token.
  std::string text_;          // Tokens so far, if not streamed.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_WRITER_H_
