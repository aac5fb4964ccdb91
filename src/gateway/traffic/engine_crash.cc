// What a model request does when a server ends while it is in progress there.

#include "base/log.h"
#include "gateway/traffic/engine_request.h"
#include "gateway/traffic/quarantine_decisions.h"

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
  auto record = [&context = context_, server, id = input_.caller_request.id,
                 prompt = input_.caller_request.prompt_parts,
                 elapsed = outcome.elapsed,
                 broken_at = SteadyClock::now()](ServerFate fate) {
    LogEvent("response_broken_off", LogLevel::kWarning)
        .Field("request", id)
        .Field("server", server.id)
        .Field("fate", ServerFateName(fate))
        .Field("stage", StageName(server.stage))
        .Field("ms", ToMillis(elapsed))
        .Field("prompt_parts", JoinIds(prompt.shared))
        .Field("own_part", prompt.own);
    if (fate == ServerFate::kEnded) {
      context.quarantine.RecordServerEnd(IncarnationOf(server), prompt, elapsed,
                                         broken_at);
      DecideQuarantine(context);
    }
  };
  if (outcome.server_fate) {
    record(*outcome.server_fate);
  } else {
    context_.server_ends.Check(server, std::move(record));
  }
}

void EngineRequest::RecordServed(Duration time) {
  context_.quarantine.RecordSuccess(input_.caller_request.prompt_parts, time,
                                    SteadyClock::now());
  if (context_.quarantine.HasRecords()) {
    DecideQuarantine(context_);
  }
}

bool EngineRequest::EndIfQuarantined() {
  const PromptParts& prompt = input_.caller_request.prompt_parts;
  auto quarantined = context_.quarantine.Find(prompt, SteadyClock::now());
  bool suspect =
      possible_executions_ > 0 && context_.quarantine.IsSuspect(prompt);
  if (!quarantined && !suspect) {
    return false;
  }
  constexpr std::string_view kWhy =
      "servers ended while they responded to prompts with a part of this one";
  LogEvent("prompt_kept_from_servers", LogLevel::kWarning)
      .Field("request", input_.caller_request.id)
      .Field("part", quarantined ? quarantined->part : "")
      .Field("why", quarantined ? "quarantined" : "suspect")
      .Field("may_have_run", static_cast<int64_t>(possible_executions_));
  if (streaming_) {
    AbortStream(ErrorCode::kBackendBroken, kWhy);
  } else if (possible_executions_ > 0) {
    SendErrorResponse(ErrorCode::kBackendBroken, kWhy);
  } else {
    SendErrorResponse(ErrorCode::kPromptQuarantined, kWhy, quarantined->until);
  }
  return true;
}

void EngineRequest::OnQuarantine() {
  // An attempt in progress is at a server already.
  if (!ended_ && !attempt_) {
    EndIfQuarantined();
  }
}

}  // namespace mangoyoke
