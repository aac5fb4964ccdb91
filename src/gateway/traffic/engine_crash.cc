// What a model request does when a server ends while it is in progress there.

#include "base/log.h"
#include "gateway/traffic/engine_request.h"

namespace mangoyoke {
namespace {

// The ids of `parts` in one field of a log line.
std::string JoinIds(const std::vector<PromptPartId>& parts) {
  std::string joined;
  for (const PromptPartId& part : parts) {
    joined += (joined.empty() ? "" : ",") + part;
  }
  return joined;
}

}  // namespace

void EngineRequest::CheckBrokenServer(const BackendServer& server,
                                      const AttemptOutcome& outcome) {
  if (!outcome.BrokenOff()) {
    return;
  }
  // The request may have ended before the check has.
  context_.server_ends.Check(
      server,
      [id = input_.caller_request.id, server_id = server.id,
       stage = server.stage, prompt = input_.caller_request.prompt_parts,
       ms = ToMillis(outcome.elapsed)](ServerFate fate) {
        LogEvent("response_broken_off", LogLevel::kWarning)
            .Field("request", id)
            .Field("server", server_id)
            .Field("fate", ServerFateName(fate))
            .Field("stage", StageName(stage))
            .Field("ms", ms)
            .Field("prompt_parts", JoinIds(prompt.shared))
            .Field("own_part", prompt.own);
      });
}

}  // namespace mangoyoke
