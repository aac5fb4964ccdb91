// Parsing of completion requests.

#include "daemon/traffic/completion_parameters.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

#include "mangoyoke/prefix_index.h"
#include "mangoyoke/rendezvous.h"

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxTokens = 100'000;
constexpr int64_t kMaxTimeoutMs = 600'000;
constexpr int kMaxPriority = 9;
constexpr Millis kDefaultTimeout{300'000};

std::optional<int64_t> ParseNumber(std::string_view text) {
  int64_t number = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

Error Malformed(const std::string& detail) {
  return Error{ErrorCode::kMalformedRequest, detail};
}

// Returns the prompt; for a chat, the messages joined as "<role>: <content>\n".
Result<std::string> ExtractPrompt(const Json& body, bool chat) {
  if (!chat) {
    if (!body.contains("prompt") || !body["prompt"].is_string()) {
      return Malformed("prompt: expected a string");
    }
    return body["prompt"].get<std::string>();
  }
  if (!body.contains("messages") || !body["messages"].is_array()) {
    return Malformed("messages: expected an array");
  }
  std::string prompt;
  for (const Json& message : body["messages"]) {
    bool valid = message.is_object() && message.contains("content") &&
                 message["content"].is_string() && message.contains("role") &&
                 message["role"].is_string();
    if (!valid) {
      return Malformed("messages: expected objects with role and content");
    }
    prompt += message["role"].get<std::string>() + ": " +
              message["content"].get<std::string>() + "\n";
  }
  return prompt;
}

// Parses the id of an event, see FormatEventId.
std::optional<ResumePoint> ParseResume(std::string_view id) {
  size_t last = id.rfind('|');
  size_t first = id.find('|');
  if (last == std::string_view::npos || first == last) {
    return std::nullopt;
  }
  auto index = ParseNumber(id.substr(last + 1));
  if (!index || *index < 0 || *index > kMaxTokens) {
    return std::nullopt;
  }
  return ResumePoint{std::string(id.substr(0, first)),
                     std::string(id.substr(first + 1, last - first - 1)),
                     *index + 1};
}

// Returns the fingerprint in "<...>-<fingerprint>~<attempt>", or an empty
// string.
std::string ExtractFingerprint(const std::string& request_id) {
  size_t end = request_id.rfind('~');
  size_t dash = request_id.rfind('-', end);
  if (end == std::string::npos || dash == std::string::npos) {
    return "";
  }
  return request_id.substr(dash + 1, end - dash - 1);
}

}  // namespace

std::string RequestFingerprint(const ModelId& model,
                               const std::string& prompt) {
  std::ostringstream text;
  text << std::hex << StableHash(model + "\n" + prompt);
  return text.str();
}

Result<CallerHeaders> ParseCallerHeaders(const ServerRequest& request,
                                         const Plan& plan,
                                         Millis default_timeout) {
  CallerHeaders headers;
  headers.account = request.Header("x-client-account");
  if (!plan.accounts.empty() && !plan.accounts.contains(headers.account)) {
    return Error{
        ErrorCode::kUnknownAccount,
        "X-Client-Account: no account '" + headers.account + "' in the plan"};
  }
  if (auto text = request.Header("x-priority"); !text.empty()) {
    auto priority = ParseNumber(text);
    if (!priority || *priority < 0 || *priority > kMaxPriority) {
      return Malformed("X-Priority: expected a number from 0 to 9");
    }
    headers.priority = static_cast<int>(*priority);
  }
  headers.timeout = default_timeout;
  if (auto text = request.Header("x-deadline-ms"); !text.empty()) {
    auto timeout_ms = ParseNumber(text);
    if (!timeout_ms || *timeout_ms < 1 || *timeout_ms > kMaxTimeoutMs) {
      return Error{ErrorCode::kBadDeadline,
                   "X-Deadline-Ms: expected a number from 1 to 600000"};
    }
    headers.timeout = Millis(*timeout_ms);
  }
  return headers;
}

Result<CompletionParameters> ParseCompletion(const ServerRequest& request,
                                             const Plan& plan) {
  auto headers = ParseCallerHeaders(request, plan, kDefaultTimeout);
  if (const auto* error = std::get_if<Error>(&headers)) {
    return *error;
  }
  Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return Malformed("body: expected a JSON object");
  }
  CompletionParameters parameters;
  const auto& caller = std::get<CallerHeaders>(headers);
  parameters.account = caller.account;
  parameters.priority = caller.priority;
  parameters.timeout = caller.timeout;
  parameters.chat = request.path == "/v1/chat/completions";
  if (!body.contains("model") || !body["model"].is_string()) {
    return Malformed("model: expected a string");
  }
  parameters.model = body["model"].get<std::string>();
  auto model = plan.models.find(parameters.model);
  if (model == plan.models.end()) {
    return Error{ErrorCode::kUnknownModel, parameters.model};
  }
  auto prompt = ExtractPrompt(body, parameters.chat);
  if (const auto* error = std::get_if<Error>(&prompt)) {
    return *error;
  }
  parameters.prompt = std::get<std::string>(std::move(prompt));
  if (EstimateTokens(parameters.prompt) > model->second.max_prompt_tokens) {
    return Error{
        ErrorCode::kRequestTooLarge,
        "prompt: about " + std::to_string(EstimateTokens(parameters.prompt)) +
            " tokens, at most " +
            std::to_string(model->second.max_prompt_tokens) + " are allowed"};
  }
  if (body.contains("max_tokens")) {
    const Json& value = body["max_tokens"];
    if (!value.is_number_integer() || value.get<int64_t>() < 1 ||
        value.get<int64_t>() > kMaxTokens) {
      return Malformed("max_tokens: expected a number from 1 to 100000");
    }
    parameters.max_tokens = value.get<int64_t>();
  }
  if (body.contains("stream")) {
    if (!body["stream"].is_boolean()) {
      return Malformed("stream: expected true or false");
    }
    parameters.stream = body["stream"].get<bool>();
  }
  if (auto id = request.Header("last-event-id"); !id.empty()) {
    parameters.resume = ParseResume(id);
    if (!parameters.resume) {
      return Malformed(
          "Last-Event-ID: expected the id of an event of a previous response");
    }
    std::string fingerprint =
        RequestFingerprint(parameters.model, parameters.prompt);
    if (ExtractFingerprint(parameters.resume->request_id) != fingerprint) {
      return Malformed(
          "Last-Event-ID: belongs to a request with another model or prompt");
    }
  }
  return parameters;
}

std::string FormatEventId(const std::string& request_id,
                          const BackendId& decode,
                          int64_t index) {
  return request_id + "|" + decode + "|" + std::to_string(index);
}

}  // namespace mangoyoke
