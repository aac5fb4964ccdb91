// Writes one completion's answer in the shape that callers' clients speak:
// server-sent events, or one JSON object.

#ifndef MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_WRITER_H_
#define MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_WRITER_H_

#include <memory>
#include <string>

#include "base/metrics.h"
#include "http/response_stream.h"
#include "mangoyoke/error.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

struct AnswerFormat {
  std::string id;  // Of the request, for the caller.
  ModelId model;
  bool stream = false;  // Events as tokens come, else one object at the end.
  bool chat = false;

  bool operator==(const AnswerFormat&) const = default;
};

class CompletionWriter {
 public:
  CompletionWriter(AnswerFormat format, std::shared_ptr<ResponseStream> stream);

  // Adds the next token. `event_id` is where a caller may resume.
  void AddToken(const std::string& token, const std::string& event_id);
  // Ends a whole answer.
  void Finish(int64_t prompt_tokens, int64_t completion_tokens);
  // Ends with an error. An answer that has begun is broken off, so that the
  // caller never takes it for a whole one.
  void Fail(Metrics& metrics, const Error& error);
  // Drops a caller.
  void Abort() { stream_->Abort(); }

  size_t PendingBytes() const { return stream_->PendingBytes(); }
  bool failed() const { return stream_->failed(); }

 private:
  void StartEvents();
  std::string Chunk(const std::string& token, const char* finish_reason) const;

  AnswerFormat format_;
  std::shared_ptr<ResponseStream> stream_;
  std::string before_token_;  // Parts of each event, set with the first.
  std::string after_token_;
  std::string text_;  // Of an answer that is not streamed.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_DAEMON_TRAFFIC_COMPLETION_WRITER_H_
