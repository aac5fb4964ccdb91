// The prefill part of a model request: whether the prompt can be read in time,
// reading it, and the handle of its memory.

#include <algorithm>

#include "base/log.h"
#include "gateway/traffic/engine_request.h"

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

void EngineRequest::DropHandle() {
  if (auto handle = std::exchange(handle_, std::nullopt)) {
    ReleaseHandle(context_, *handle);
  }
}

void EngineRequest::DropExpiredHandle() {
  if (handle_ && SteadyClock::now() >= handle_until_) {
    DropHandle();
  }
}

double EngineRequest::PrefillMillis() const {
  return context_.prefill_speed.MillisPerToken(input_.service) *
         static_cast<double>(input_.caller_request.prompt_tokens);
}

PlacementChoice EngineRequest::ChoosePrefill() {
  PlacementQuery query;
  query.stage = ServerStage::kPrefill;
  query.prompt_tokens = input_.caller_request.prompt_tokens;
  query.excluded = failed_prefills_;
  if (target_) {
    query.preferred_zone = target_->zone;  // The memory moves there.
  }
  return Place(query);
}

bool EngineRequest::PrefillInTime() {
  if (Rank() == QueueRank::kInProgress) {
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

bool EngineRequest::ReadsInTime(const PlacementChoice& decode) const {
  // A second prompt at once would make the streams there pause for too long.
  if (late_ || decode.load.prompt_tokens > 0) {
    return false;
  }
  double reading = kDecodePrefillSlowdown * PrefillMillis();
  return Age() + FromMillis(reading + kFirstEventMs) <=
         input_.route->target_latency;
}

void EngineRequest::Prefill() {
  PlacementChoice choice = ChoosePrefill();
  if (handle_ || reads_itself_ || choice.server == nullptr ||
      prefills_ >= kMaxPrefills || unreachable_ >= kMaxUnreachable) {
    Decode();
    return;
  }
  LoadCharge charge;
  charge.requests = 1;
  charge.prompt_tokens = input_.caller_request.prompt_tokens;
  BackendRequestOptions call;
  call.prefill_only = true;
  AttemptCallbacks callbacks;
  prefill_alone_ = choice.load.prompt_tokens == 0;
  callbacks.on_end = [this, server = *choice.server](AttemptOutcome outcome) {
    OnPrefillEnd(server, std::move(outcome));
  };
  double patience = choice.cost * kPrefillPatience + kPrefillPatienceMs;
  Duration limit =
      std::min(std::max<Duration>(TimeLeft(), Millis(1)), FromMillis(patience));
  Send(*choice.server, call, charge, limit, std::move(callbacks));
}

void EngineRequest::OnPrefillEnd(const BackendServer& server,
                                 AttemptOutcome outcome) {
  RecordServerOutcome(server, outcome, 0);
  if (outcome.result == ExchangeResult::kNotSent) {
    ++unreachable_;
    failed_prefills_.insert(server.id);
    Prefill();
    return;
  }
  ++prefills_;
  ++sends_;
  if (outcome.result == ExchangeResult::kComplete &&
      outcome.response.status == 200) {
    auto decoded = context_.backends.DecodePrefill(server, outcome.body);
    if (auto* handle = std::get_if<PrefillHandle>(&decoded)) {
      handle_ = *handle;
      handle_until_ = SteadyClock::now() + HandleTtl();
      prefill_ms_ = ToMillis(outcome.elapsed);
      context_.metrics.Observe("mangoyoke_prefill_ms", prefill_ms_);
      if (prefill_alone_) {
        context_.prefill_speed.Record(input_.service,
                                      input_.caller_request.prompt_tokens,
                                      outcome.elapsed);
      }
      Decode();
      return;
    }
    LogEvent("prefill_malformed", LogLevel::kWarning)
        .Field("request", input_.caller_request.id)
        .Field("server", server.id)
        .Field("why", std::get<Error>(decoded).detail);
  }
  failed_prefills_.insert(server.id);
  if (!TryAcquireRetry()) {
    FailBeforeRun(ErrorCode::kNoBackend, "the prompt could not be read");
    return;
  }
  Prefill();
}

Duration EngineRequest::HandleTtl() const {
  const EngineSpec* engine = Engine();
  if (engine == nullptr) {
    return kAssumedHandleLife;
  }
  return std::max<Duration>(engine->handle_ttl - kHandleMargin, Millis(0));
}

}  // namespace mangoyoke
