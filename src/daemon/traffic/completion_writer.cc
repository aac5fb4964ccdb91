// Implementation of the completion response writer.

#include "daemon/traffic/completion_writer.h"

#include <nlohmann/json.hpp>

#include "daemon/traffic/traffic_context.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;

}  // namespace

CompletionWriter::CompletionWriter(ResponseFormat format,
                                   std::shared_ptr<ResponseStream> stream)
    : format_(std::move(format)), stream_(std::move(stream)) {}

void CompletionWriter::StartEvents() {
  if (!stream_->started()) {
    // The events of a response differ only in the token, so the text around it
    // is built once.
    constexpr std::string_view kSampleToken = "\"@\"";
    std::string sample = Chunk("@", nullptr);
    size_t token_start = sample.find(kSampleToken);
    event_prefix_ = "\ndata: " + sample.substr(0, token_start);
    event_suffix_ = sample.substr(token_start + kSampleToken.size()) + "\n\n";
    stream_->StartChunks(kOk, "text/event-stream",
                         {{"X-Request-Id", format_.id}});
  }
}

std::string CompletionWriter::Chunk(const std::string& token,
                                    const char* finish_reason) const {
  Json choice{{"index", 0}, {"finish_reason", nullptr}};
  if (finish_reason != nullptr) {
    choice["finish_reason"] = finish_reason;
  }
  if (!format_.chat) {
    choice["text"] = token;
  } else {
    choice["delta"] = token.empty() ? Json::object() : Json{{"content", token}};
  }
  return Json{
      {"id", format_.id},
      {"object", format_.chat ? "chat.completion.chunk" : "text_completion"},
      {"model", format_.model},
      {"choices", Json::array({std::move(choice)})}}
      .dump();
}

void CompletionWriter::AddToken(const std::string& token,
                                const std::string& event_id) {
  if (!format_.stream) {
    text_ += token;
    return;
  }
  StartEvents();
  std::string event = "id: ";
  event.append(event_id)
      .append(event_prefix_)
      .append(Json(token).dump())
      .append(event_suffix_);
  stream_->WriteChunk(event);
}

void CompletionWriter::Finish(int64_t prompt_tokens,
                              int64_t completion_tokens) {
  if (format_.stream) {
    StartEvents();
    stream_->WriteChunk("data: " + Chunk("", "length") +
                        "\n\ndata: [DONE]\n\n");
    stream_->FinishChunks();
    return;
  }
  Json choice{{"index", 0}, {"finish_reason", "length"}};
  if (format_.chat) {
    choice["message"] = Json{{"role", "assistant"}, {"content", text_}};
  } else {
    choice["text"] = text_;
  }
  Json response{
      {"id", format_.id},
      {"object", format_.chat ? "chat.completion" : "text_completion"},
      {"model", format_.model},
      {"choices", Json::array({std::move(choice)})},
      {"usage", Json{{"prompt_tokens", prompt_tokens},
                     {"completion_tokens", completion_tokens},
                     {"total_tokens", prompt_tokens + completion_tokens}}}};
  SendJson(stream_, kOk, response.dump(), {{"X-Request-Id", format_.id}});
}

void CompletionWriter::Fail(Metrics& metrics, const Error& error) {
  if (!stream_->started()) {
    SendErrorResponse(metrics, stream_, error);
    return;
  }
  metrics.Increment("mangoyoke_broken_answers_total", "reason",
                    GetErrorInfo(error.code).name);
  stream_->WriteChunk("data: " + ErrorJson(error) + "\n\n");
  stream_->Abort();
}

}  // namespace mangoyoke
