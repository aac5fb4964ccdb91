// The prefill stage of a model request: whether a prefill would finish in time,
// the prefill itself, and the KV handle of its result.

#include <algorithm>

#include "base/log.h"
#include "gateway/traffic/engine_request.h"

namespace mangoyoke {
namespace {

// Prefill timeout: the estimated time times the factor, plus the margin.
constexpr double kPrefillTimeoutFactor = 3;
constexpr double kPrefillTimeoutMarginMs = 300;
// A KV handle is no longer used this long before its server may free it.
constexpr Duration kHandleMargin = Millis(100);
// How long a KV handle is used if the configuration has no engine data.
constexpr Duration kDefaultHandleTtl = Seconds(1);
// A late request is prefilled only if its first event is expected within this
// part of the target latency, including the queue at the prefill server.
constexpr double kLatePrefillShare = 0.5;

}  // namespace

void EngineRequest::DropHandle() {
  if (auto handle = std::exchange(handle_, std::nullopt)) {
    ReleaseHandle(context_, *handle);
  }
}

void EngineRequest::DropExpiredHandle() {
  if (handle_ && SteadyClock::now() >= handle_deadline_) {
    DropHandle();
  }
}

double EngineRequest::PrefillMillis() const {
  return context_.prefill_speed.MillisPerToken(input_.service) *
         static_cast<double>(input_.caller_request.prompt_tokens);
}

PlacementChoice EngineRequest::ChoosePrefillServer(
    std::set<BackendId> excluded) {
  PlacementQuery query;
  query.stage = ServerStage::kPrefill;
  query.prompt_tokens = input_.caller_request.prompt_tokens;
  query.excluded = std::move(excluded);
  query.excluded.insert(failed_prefills_.begin(), failed_prefills_.end());
  if (decode_server_) {
    query.preferred_zone = decode_server_->zone;  // The KV cache is sent there.
  }
  return ChooseServer(query);
}

bool EngineRequest::PrefillInTime() {
  if (Rank() == QueueRank::kInProgress) {
    return true;
  }
  PlacementChoice choice = ChoosePrefillServer();
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

bool EngineRequest::DecodePrefillInTime(const PlacementChoice& decode) const {
  // A second concurrent prefill at the decode server would stall the streams
  // there for too long.
  if (late_ || decode.load.prompt_tokens > 0) {
    return false;
  }
  double prefill_ms = kDecodePrefillSlowdown * PrefillMillis();
  return Age() + FromMillis(prefill_ms + kFirstEventMs) <=
         input_.route->target_latency;
}

void EngineRequest::Prefill() {
  if (EndIfQuarantined() || RejectIfKeyWithdrawn()) {
    return;
  }
  PlacementChoice choice = ChoosePrefillServer();
  if (handle_ || prefill_at_decode_ || choice.server == nullptr ||
      prefills_ >= kMaxPrefills || unreachable_ >= kMaxUnreachable) {
    Decode();
    return;
  }
  LoadCharge charge;
  charge.requests = 1;
  charge.prompt_tokens = input_.caller_request.prompt_tokens;
  BackendRequestOptions options;
  options.prefill_only = true;
  AttemptCallbacks callbacks;
  prefill_server_idle_ = choice.load.prompt_tokens == 0;
  callbacks.on_timeout = [this, server = *choice.server] {
    return KeepWaiting(server, PrefillMoveObstacle(server));
  };
  callbacks.on_end = [this, server = *choice.server](AttemptOutcome outcome) {
    OnPrefillEnd(server, std::move(outcome));
  };
  double timeout_ms =
      choice.cost * kPrefillTimeoutFactor + kPrefillTimeoutMarginMs;
  Duration timeout = std::min(std::max<Duration>(TimeLeft(), Millis(1)),
                              FromMillis(timeout_ms));
  StartAttempt(*choice.server, options, charge, timeout, std::move(callbacks));
}

MoveObstacle EngineRequest::PrefillMoveObstacle(const BackendServer& server) {
  if (TimeLeft() <= FromMillis(PrefillMillis() + kFirstEventMs)) {
    return MoveObstacle::kNoTime;
  }
  if (!RetryAllowed()) {
    return MoveObstacle::kBudget;
  }
  PlacementChoice choice = ChoosePrefillServer({server.id});
  bool room = false;
  if (choice.server != nullptr && prefills_ + 1 < kMaxPrefills) {
    room = choice.usable;
  } else if (decode_server_) {
    // The decode server prefills the prompt itself; a second concurrent prefill
    // would stall its streams.
    TimePoint now = SteadyClock::now();
    room = context_.load.At(decode_server_->id, now).prompt_tokens == 0;
  }
  return room ? MoveObstacle::kNone : MoveObstacle::kNoRoom;
}

void EngineRequest::OnPrefillEnd(const BackendServer& server,
                                 AttemptOutcome outcome) {
  RecordServerOutcome(server, outcome, 0);
  CheckBrokenServer(server, outcome);
  if (outcome.result == ExchangeResult::kNotSent) {
    ++unreachable_;
    failed_prefills_.insert(server.id);
    Prefill();
    return;
  }
  ++prefills_;
  ++attempts_sent_;
  if (outcome.result == ExchangeResult::kComplete &&
      outcome.response.status == 200) {
    auto decoded = context_.backends.DecodePrefill(server, outcome.body);
    if (auto* handle = std::get_if<PrefillHandle>(&decoded)) {
      handle_ = *handle;
      handle_deadline_ = SteadyClock::now() + HandleTtl();
      prefill_ms_ = ToMillis(outcome.elapsed);
      context_.metrics.Observe("mangoyoke_prefill_ms", prefill_ms_);
      if (prefill_server_idle_) {
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
    FailRequest(ErrorCode::kNoBackend,
                "prefill of the prompt failed and the retry budget is used up");
    return;
  }
  Prefill();
}

Duration EngineRequest::HandleTtl() const {
  const EngineSpec* engine = Engine();
  if (engine == nullptr) {
    return kDefaultHandleTtl;
  }
  return std::max<Duration>(engine->handle_ttl - kHandleMargin, Millis(0));
}

}  // namespace mangoyoke
