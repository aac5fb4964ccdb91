// The prefill part of a model request: whether the prompt can be read in time,
// reading it, and the handle of its memory.

#include <algorithm>

#include "base/log.h"
#include "gateway/traffic/engine_run.h"

namespace mangoyoke {
namespace {

// A prefill is given up beyond its estimate times this, plus a constant.
constexpr double kPrefillPatience = 3;
constexpr double kPrefillPatienceMs = 300;
// A handle is used until shortly before its server may drop it.
constexpr Duration kHandleMargin = Millis(100);
// If the configuration does not say how long handles are kept.
constexpr Duration kAssumedHandleLife = Seconds(1);
// A late request's prompt is read when that takes at most this part of the
// target, queue included.
constexpr double kLatePrefillShare = 0.5;

}  // namespace

void EngineRun::DropHandle() {
  if (auto handle = std::exchange(handle_, std::nullopt)) {
    ReleaseHandle(context_, *handle);
  }
}

void EngineRun::DropExpiredHandle() {
  if (handle_ && SteadyClock::now() >= handle_until_) {
    DropHandle();
  }
}

double EngineRun::PrefillMillis() const {
  return context_.prefill_speed.MillisPerToken(input_.service) *
         static_cast<double>(input_.facts.prompt_tokens);
}

PlacementChoice EngineRun::ChoosePrefill() {
  PlacementQuery query;
  query.stage = ServerStage::kPrefill;
  query.prompt_tokens = input_.facts.prompt_tokens;
  query.excluded = failed_prefills_;
  if (target_) {
    query.near = target_->zone;  // The memory moves there.
  }
  return Place(query);
}

bool EngineRun::PrefillInTime() {
  if (Rank() == QueueRank::kBegun) {
    return true;
  }
  PlacementChoice choice = ChoosePrefill();
  Duration target = input_.route->target_latency;
  if (choice.server == nullptr || target == Duration::zero()) {
    return true;
  }
  Duration first_event = FromMillis(choice.cost + kFirstEventMs);
  if (late_) {
    return first_event <= FromMillis(kLatePrefillShare * ToMillis(target));
  }
  return Age() + first_event <= target;
}

bool EngineRun::ReadsInTime(const PlacementChoice& decode) const {
  // A second prompt at once would make the streams there pause for too long.
  if (late_ || decode.load.prompt_tokens > 0) {
    return false;
  }
  double reading = kOwnReadingSlowness * PrefillMillis();
  return Age() + FromMillis(reading + kFirstEventMs) <=
         input_.route->target_latency;
}

void EngineRun::Prefill() {
  PlacementChoice choice = ChoosePrefill();
  if (handle_ || reads_itself_ || choice.server == nullptr ||
      prefills_ >= kMaxPrefills || unreachable_ >= kMaxUnreachable) {
    Decode();
    return;
  }
  LoadCharge charge;
  charge.requests = 1;
  charge.prompt_tokens = input_.facts.prompt_tokens;
  BackendCall call;
  call.prefill_only = true;
  AttemptHandlers handlers;
  prefill_alone_ = choice.load.prompt_tokens == 0;
  handlers.on_end = [this, server = *choice.server](AttemptOutcome outcome) {
    OnPrefillEnd(server, std::move(outcome));
  };
  double patience = choice.cost * kPrefillPatience + kPrefillPatienceMs;
  Duration limit =
      std::min(std::max<Duration>(TimeLeft(), Millis(1)), FromMillis(patience));
  Send(*choice.server, call, charge, limit, std::move(handlers));
}

void EngineRun::OnPrefillEnd(const BackendServer& server,
                             AttemptOutcome outcome) {
  NoteOutcome(server, outcome, 0);
  if (outcome.end == ExchangeEnd::kNotSent) {
    ++unreachable_;
    failed_prefills_.insert(server.id);
    Prefill();
    return;
  }
  ++prefills_;
  ++sends_;
  if (outcome.end == ExchangeEnd::kComplete && outcome.answer.status == 200) {
    auto decoded = context_.backends.DecodePrefill(server, outcome.body);
    if (auto* handle = std::get_if<PrefillHandle>(&decoded)) {
      handle_ = *handle;
      handle_until_ = SteadyClock::now() + HandleLife();
      prefill_ms_ = ToMillis(outcome.took);
      context_.metrics.Observe("mangoyoke_prefill_ms", prefill_ms_);
      if (prefill_alone_) {
        context_.prefill_speed.Note(input_.service, input_.facts.prompt_tokens,
                                    outcome.took);
      }
      Decode();
      return;
    }
    LogEvent("prefill_malformed", LogLevel::kWarning)
        .Field("request", input_.facts.id)
        .Field("server", server.id)
        .Field("why", std::get<Error>(decoded).detail);
  }
  failed_prefills_.insert(server.id);
  if (!TakeRepeat()) {
    FailBeforeRun(ErrorCode::kNoBackend, "the prompt could not be read");
    return;
  }
  Prefill();
}

Duration EngineRun::HandleLife() const {
  const EngineSpec* engine = Engine();
  if (engine == nullptr) {
    return kAssumedHandleLife;
  }
  return std::max<Duration>(engine->handle_life - kHandleMargin, Millis(0));
}

}  // namespace mangoyoke
