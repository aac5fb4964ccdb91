// Logs, counts and passes on the decisions of the quarantine.

#include "gateway/traffic/quarantine_decisions.h"

#include "base/log.h"

namespace mangoyoke {
namespace {

void LogChange(const QuarantineChange& change, TimePoint now) {
  if (!change.verdict) {
    LogEvent("prompt_part_released", LogLevel::kWarning)
        .Field("part", change.part);
    return;
  }
  LogEvent line("prompt_part_quarantined", LogLevel::kWarning);
  line.Field("part", change.part)
      .Field("decided_by", change.decided_here ? "this" : "peer")
      .Field("first_end_ms_ago", ToMillis(now - change.verdict->first_end))
      .Field("for_ms", ToMillis(change.verdict->until - now))
      .Field("verdicts", static_cast<int64_t>(change.verdict->count));
  if (change.decided_here) {
    line.Field("ends", static_cast<int64_t>(change.ends))
        .Field("prompts", static_cast<int64_t>(change.prompts));
  }
}

}  // namespace

void DecideQuarantine(TrafficContext& context) {
  TimePoint now = SteadyClock::now();
  bool added = false;
  for (const QuarantineChange& change : context.quarantine.Decide(now)) {
    LogChange(change, now);
    context.metrics.Increment("mangoyoke_prompt_quarantine_changes_total",
                              "change",
                              change.verdict ? "quarantined" : "released");
    added = added || change.verdict.has_value();
  }
  context.metrics.SetGauge(
      "mangoyoke_prompt_parts_quarantined",
      static_cast<double>(context.quarantine.VerdictCount(now)));
  if (added && context.on_quarantine) {
    context.on_quarantine();
  }
}

}  // namespace mangoyoke
