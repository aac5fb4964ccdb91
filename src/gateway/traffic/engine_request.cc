// Admission of a model request: choice of the decode server, KV reservation and
// waiting for capacity.

#include "gateway/traffic/engine_request.h"

#include <algorithm>

#include "base/log.h"
#include "gateway/traffic/engine_admission.h"

namespace mangoyoke {
namespace {

// Added to the KV memory of a stream: the tokens that it generates before other
// instances learn of its memory.
constexpr int64_t kGrowthTokens = 200;
constexpr unsigned kNoCapacityStatus = 503;
constexpr Duration kReserveTimeout = Millis(150);
// Long enough for a prefill and some queueing.
constexpr Duration kReservationTtl = Millis(1500);
// A late request waits for capacity for at most this many times its target
// latency, or this part of the time left, whichever is shorter. Callers abandon
// a stream without events after four times the target latency.
constexpr double kLateWaitTargets = 3;
constexpr double kLateWaitShare = 0.6;
// Late requests use a decode server's memory only up to this share; the rest is
// kept for requests that can still meet their target latency.
constexpr double kLateMemoryShare = 0.82;

}  // namespace

EngineRequest::EngineRequest(TrafficContext& context,
                             ActiveRequestTable& table,
                             RoutedRequest input)
    : ActiveRequest(context, table, std::move(input)) {}

EngineRequest::~EngineRequest() {
  context_.admission->Remove(input_.service, id());
  ReleaseLoad();
  DropHandle();
  ReleaseKvReservation();
}

const EngineSpec* EngineRequest::Engine() const {
  const ServiceRule* service = input_.config->FindService(input_.service);
  return service != nullptr && service->engine ? &*service->engine : nullptr;
}

int64_t EngineRequest::GeneratedTokens() const {
  const EngineSpec* engine = Engine();
  int64_t tokens_per_event = engine != nullptr ? engine->tokens_per_event : 1;
  return framer_.event_count() * tokens_per_event;
}

int64_t EngineRequest::KvTokens() const {
  return input_.caller_request.prompt_tokens + GeneratedTokens() +
         kGrowthTokens;
}

int64_t EngineRequest::ExpectedKvTokens() const {
  int64_t expected_output =
      context_.output_length.ExpectedTokens(input_.service);
  return std::max(KvTokens(),
                  input_.caller_request.prompt_tokens + expected_output);
}

void EngineRequest::ChargeLoad(const BackendId& server) {
  ReleaseLoad();
  LoadCharge charge;
  charge.requests = 1;
  charge.kv_tokens = ExpectedKvTokens();
  charge.prompt_tokens =
      prefill_at_decode_ ? input_.caller_request.prompt_tokens : 0;
  load_charge_id_ = context_.load.Charge(server, charge);
}

void EngineRequest::ReleaseLoad() {
  context_.load.Release(load_charge_id_);
  load_charge_id_ = 0;
}

void EngineRequest::ReleaseKvReservation() {
  if (auto reservation = std::exchange(kv_reservation_, std::nullopt)) {
    ReleaseReservation(context_, *reservation);
  }
}

void EngineRequest::Begin() {
  if (input_.caller_request.timeout) {
    Duration timeout = std::min<Duration>(*input_.caller_request.timeout,
                                          input_.route->timeout);
    caller_time_spent_ =
        context_.caller_retry_detector.RecordTimeout(input_.route->id, timeout);
  }
  late_ = MissedTarget();
  wait_deadline_ = SteadyClock::now() + MaxWait();
  bool others_waiting = context_.admission->Waiting(input_.service) > 0;
  bool has_to_queue =
      (late_ && others_waiting) ||
      context_.admission->HasToQueue(input_.service, input_.identity.account);
  if (has_to_queue || !TryAdmit()) {
    WaitForCapacity();
  }
}

bool EngineRequest::MissedTarget() const {
  Duration target = input_.route->target_latency;
  double first_event = PrefillMillis() + kFirstEventMs;
  return caller_time_spent_ > Duration::zero() && target > Duration::zero() &&
         caller_time_spent_ + FromMillis(first_event) > target;
}

QueueRank EngineRequest::Rank() const {
  if (handle_ || resumes_ > 0) {
    return QueueRank::kInProgress;
  }
  return late_ ? QueueRank::kLate : QueueRank::kOnTime;
}

Duration EngineRequest::MaxWait() const {
  double target = ToMillis(input_.route->target_latency);
  if (target <= 0) {
    return kMaxWait;
  }
  if (late_ || resumes_ > 0) {
    return FromMillis(std::min(kLateWaitTargets * target,
                               kLateWaitShare * ToMillis(TimeLeft())));
  }
  return FromMillis(target - PrefillMillis() - kFirstEventMs);
}

TimePoint EngineRequest::WaitDeadline() const {
  return handle_ ? std::max(wait_deadline_, handle_deadline_) : wait_deadline_;
}

void EngineRequest::WaitForCapacity() {
  context_.admission->Enqueue(
      input_.service, id(),
      QueuedRequest{input_.priority, Rank(), WaitDeadline(),
                    input_.identity.account});
}

void EngineRequest::RetryAdmission() {
  attempt_.reset();
  ReleaseKvReservation();
  ReleaseLoad();
  decode_server_.reset();
  if (!TryAdmit()) {
    WaitForCapacity();
  }
}

void EngineRequest::OnWaitExpired() {
  if (!ended_) {
    FailRequest(ErrorCode::kDeadlineExpired, "no engine has room");
  }
}

bool EngineRequest::IsCurrent(const BackendServer& server) const {
  const BackendServer* now = context_.servers->Find(server.id);
  return now != nullptr && *now == server;
}

PlacementChoice EngineRequest::ChooseDecodeServer(
    std::set<BackendId> excluded) {
  PlacementQuery query;
  query.excluded = std::move(excluded);
  query.stage = ServerStage::kDecode;
  query.kv_tokens = ExpectedKvTokens();
  query.preferred_zone = context_.zone;  // The prompt and the events pass here.
  if (Rank() == QueueRank::kLate) {
    query.max_memory_share = kLateMemoryShare;
  }
  PlacementChoice choice = ChooseServer(query);
  if (choice.server == nullptr) {
    query.stage = ServerStage::kCombined;
    std::optional<TimePoint> pause_ends = choice.pause_ends;
    choice = ChooseServer(query);
    choice.pause_ends = choice.pause_ends ? choice.pause_ends : pause_ends;
  }
  return choice;
}

void EngineRequest::LogAdmissionWait(const PlacementChoice& choice) {
  if (std::exchange(waited_, true)) {
    return;
  }
  context_.metrics.Increment("mangoyoke_admission_waits_total");
  LogEvent("admission_wait")
      .Field("request", input_.caller_request.id)
      .Field("best_server", choice.server->id)
      .Field("memory_share", choice.memory_share)
      .Field("known_requests", choice.load.requests)
      .Field("needed_tokens", KvTokens())
      .Field("usable", static_cast<int64_t>(choice.usable))
      .Field("spent_ms", ToMillis(caller_time_spent_))
      .Field("waiting",
             static_cast<int64_t>(context_.admission->Waiting(input_.service)))
      .Field("registry",
             static_cast<int64_t>(context_.servers->version.number));
}

bool EngineRequest::TryAdmit() {
  if (ended_ || EndIfQuarantined() || RejectIfTooLateForStop()) {
    return true;
  }
  DropExpiredHandle();
  PlacementChoice choice = ChooseDecodeServer();
  if (choice.server == nullptr) {
    // Work that is done would be lost; without such work the caller is told at
    // once when to come back.
    if (Rank() == QueueRank::kInProgress && choice.pause_ends &&
        *choice.pause_ends < WaitDeadline()) {
      return false;
    }
    FailRequest(ErrorCode::kNoBackend,
                "the service has no usable decode server", choice.pause_ends);
    return true;
  }
  bool in_time = PrefillInTime();
  if (!choice.has_capacity || !choice.usable ||
      !(in_time || DecodePrefillInTime(choice))) {
    LogAdmissionWait(choice);
    return false;
  }
  prefill_at_decode_ = !in_time;
  memory_share_ = choice.memory_share;
  decode_server_ = *choice.server;
  ChargeLoad(decode_server_->id);
  if (SupportsKvReservation()) {
    ReserveKv(*decode_server_);
  } else {
    OnAdmitted();
  }
  return true;
}

void EngineRequest::OnAdmitted() {
  admitted_ms_ = ToMillis(Age());
  context_.metrics.Observe("mangoyoke_queue_ms", admitted_ms_);
  Prefill();
}

bool EngineRequest::SupportsKvReservation() const {
  const EngineSpec* engine = Engine();
  return engine != nullptr && engine->max_reservation_ttl > Millis(0);
}

void EngineRequest::ReserveKv(const BackendServer& server) {
  AttemptCallbacks callbacks;
  callbacks.on_end = [this, server](AttemptOutcome outcome) {
    OnReserveEnd(server, std::move(outcome));
  };
  Millis ttl = std::min(std::chrono::duration_cast<Millis>(kReservationTtl),
                        Engine()->max_reservation_ttl);
  StartOwnAttempt(server,
                  context_.backends.EncodeReserve(server, KvTokens(), ttl),
                  kReserveTimeout, std::move(callbacks));
}

void EngineRequest::OnReserveEnd(const BackendServer& server,
                                 AttemptOutcome outcome) {
  if (outcome.Succeeded()) {
    auto decoded = context_.backends.DecodeReservation(server, outcome.body);
    if (auto* reservation = std::get_if<KvReservation>(&decoded)) {
      kv_reservation_ = *reservation;
      OnAdmitted();
      return;
    }
    OnReservationMalformed(server, std::get<Error>(decoded));
  } else if (outcome.response.status == kNoCapacityStatus) {
    context_.health.RecordOutcome(server,
                                  outcome.response.pause
                                      ? ServerOutcome::kPaused
                                      : ServerOutcome::kRejected,
                                  0, SteadyClock::now());
  } else {
    RecordServerOutcome(server, outcome, 0);
  }
  RetryAdmission();
}

void EngineRequest::OnReservationMalformed(const BackendServer& server,
                                           const Error& error) {
  LogEvent("reservation_malformed", LogLevel::kWarning)
      .Field("request", input_.caller_request.id)
      .Field("server", server.id)
      .Field("why", error.detail);
  context_.health.RecordOutcome(server, ServerOutcome::kError, 0,
                                SteadyClock::now());
  excluded_.insert(server.id);
}

void EngineRequest::FailRequest(ErrorCode code,
                                std::string_view why,
                                std::optional<TimePoint> earliest) {
  if (MayAskAgain()) {
    AskAgainLater(GuardedCallback(&EngineRequest::RetryMovedRequest));
    return;
  }
  if (streaming_) {
    AbortStream(ErrorCode::kBackendBroken, why);
  } else if (possible_executions_ > 0) {
    SendErrorResponse(ErrorCode::kBackendBroken, why);
  } else {
    SendErrorResponse(code, why, earliest);
  }
}

void EngineRequest::AddLogFields(LogEvent& line) const {
  line.Field("prompt_tokens", input_.caller_request.prompt_tokens)
      .Field("max_output_tokens", input_.caller_request.max_output_tokens)
      .Field("spent_ms", ToMillis(caller_time_spent_))
      .Field("admitted_ms", admitted_ms_)
      .Field("prefill_ms", prefill_ms_)
      .Field("first_event_ms", first_event_ms_)
      .Field("resumes", static_cast<int64_t>(resumes_))
      .Field("events", framer_.event_count())
      .Field("longest_gap_ms", longest_gap_ms_)
      .Field("memory_share", memory_share_);
}

}  // namespace mangoyoke
