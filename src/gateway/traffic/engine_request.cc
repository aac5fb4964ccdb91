// Admission of a model request.

#include "gateway/traffic/engine_request.h"

#include <algorithm>

#include "base/log.h"
#include "gateway/traffic/engine_admission.h"

namespace mangoyoke {
namespace {

// Tokens that a stream generates while others decide by its memory.
constexpr int64_t kGrowthTokens = 200;
constexpr unsigned kNoRoom = 503;
constexpr Duration kReserveTimeout = Millis(150);
// A reservation has to last for a prefill and some waiting.
constexpr Duration kReservationTtl = Millis(1500);
// A late request waits this many targets, or this part of the time left.
// Callers leave a stream without events after four targets.
constexpr double kLateWaitTargets = 3;
constexpr double kLateWaitShare = 0.6;
// Late requests leave this room to those that can still meet their target.
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

int64_t EngineRequest::KvTokens() const {
  const EngineSpec* engine = Engine();
  int64_t tokens_per_event = engine != nullptr ? engine->tokens_per_event : 1;
  return input_.caller_request.prompt_tokens +
         framer_.event_count() * tokens_per_event + kGrowthTokens;
}

void EngineRequest::ChargeLoad(const BackendId& server) {
  ReleaseLoad();
  LoadCharge charge;
  charge.requests = 1;
  charge.kv_tokens = KvTokens();
  charge.prompt_tokens =
      reads_itself_ ? input_.caller_request.prompt_tokens : 0;
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
    spent_ =
        context_.caller_retry_detector.RecordTimeout(input_.route->id, timeout);
  }
  late_ = MissedTarget();
  wait_deadline_ = SteadyClock::now() + LongestWait();
  bool others_wait = context_.admission->Waiting(input_.service) > 0;
  if ((late_ && others_wait) || !TryAdmit()) {
    Wait();
  }
}

bool EngineRequest::MissedTarget() const {
  Duration target = input_.route->target_latency;
  double first_event = PrefillMillis() + kFirstEventMs;
  return spent_ > Duration::zero() && target > Duration::zero() &&
         spent_ + FromMillis(first_event) > target;
}

QueueRank EngineRequest::Rank() const {
  if (handle_ || resumes_ > 0) {
    return QueueRank::kInProgress;
  }
  return late_ ? QueueRank::kLate : QueueRank::kOnTime;
}

Duration EngineRequest::LongestWait() const {
  double target = ToMillis(input_.route->target_latency);
  if (target <= 0) {
    return kLongestWait;
  }
  if (late_ || resumes_ > 0) {
    return FromMillis(std::min(kLateWaitTargets * target,
                               kLateWaitShare * ToMillis(TimeLeft())));
  }
  return FromMillis(target - PrefillMillis() - kFirstEventMs);
}

void EngineRequest::Wait() {
  TimePoint wait_deadline =
      handle_ ? std::max(wait_deadline_, handle_until_) : wait_deadline_;
  context_.admission->Wait(
      input_.service, id(),
      QueuedRequest{input_.route->priority, Rank(), wait_deadline});
}

void EngineRequest::AdmitAgain() {
  attempt_.reset();
  ReleaseKvReservation();
  ReleaseLoad();
  target_.reset();
  if (!TryAdmit()) {
    Wait();
  }
}

void EngineRequest::OnWaitExpired() {
  if (!ended_) {
    FailBeforeRun(ErrorCode::kDeadlineExpired, "no engine has room");
  }
}

bool EngineRequest::StillReady(const BackendServer& server) const {
  const BackendServer* now = context_.servers->Find(server.id);
  return now != nullptr && *now == server;
}

PlacementChoice EngineRequest::ChooseDecode() {
  PlacementQuery query;
  query.stage = ServerStage::kDecode;
  query.kv_tokens = KvTokens();
  if (Rank() == QueueRank::kLate) {
    query.max_memory_share = kLateMemoryShare;
  }
  PlacementChoice choice = Place(query);
  if (choice.server == nullptr) {
    query.stage = ServerStage::kCombined;
    choice = Place(query);
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
      .Field("spent_ms", ToMillis(spent_))
      .Field("waiting",
             static_cast<int64_t>(context_.admission->Waiting(input_.service)))
      .Field("registry", static_cast<int64_t>(context_.servers->version));
}

bool EngineRequest::TryAdmit() {
  if (ended_) {
    return true;
  }
  DropExpiredHandle();
  PlacementChoice choice = ChooseDecode();
  if (choice.server == nullptr) {
    FailBeforeRun(ErrorCode::kNoBackend, "no usable decode server");
    return true;
  }
  bool in_time = PrefillInTime();
  if (!choice.has_capacity || !choice.usable ||
      !(in_time || ReadsInTime(choice))) {
    LogAdmissionWait(choice);
    return false;
  }
  reads_itself_ = !in_time;
  memory_share_ = choice.memory_share;
  target_ = *choice.server;
  ChargeLoad(target_->id);
  if (SupportsKvReservation()) {
    ReserveKv(*target_);
  } else {
    Admitted();
  }
  return true;
}

void EngineRequest::Admitted() {
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
  Millis life = std::min(std::chrono::duration_cast<Millis>(kReservationTtl),
                         Engine()->max_reservation_ttl);
  attempt_ = std::make_unique<ServerAttempt>(context_, server, LoadCharge{});
  attempt_->Start(context_.backends.EncodeReserve(server, KvTokens(), life), "",
                  false, kReserveTimeout, std::move(callbacks));
}

void EngineRequest::OnReserveEnd(const BackendServer& server,
                                 AttemptOutcome outcome) {
  if (outcome.Succeeded()) {
    auto decoded = context_.backends.DecodeReservation(server, outcome.body);
    if (auto* reservation = std::get_if<KvReservation>(&decoded)) {
      kv_reservation_ = *reservation;
      Admitted();
      return;
    }
  }
  if (outcome.response.status == kNoRoom) {
    context_.health.RecordOutcome(server, ServerOutcome::kRejected, 0,
                                  SteadyClock::now());
  } else {
    RecordServerOutcome(server, outcome, 0);
  }
  AdmitAgain();
}

void EngineRequest::FailBeforeRun(ErrorCode code, std::string_view why) {
  if (streaming_) {
    BreakStream(ErrorCode::kBackendBroken, why);
  } else if (possible_executions_ > 0) {
    SendErrorResponse(ErrorCode::kBackendBroken, why);
  } else {
    SendErrorResponse(code, why);
  }
}

void EngineRequest::DescribeEnd(LogEvent& line) const {
  line.Field("prompt_tokens", input_.caller_request.prompt_tokens)
      .Field("max_output_tokens", input_.caller_request.max_output_tokens)
      .Field("spent_ms", ToMillis(spent_))
      .Field("admitted_ms", admitted_ms_)
      .Field("prefill_ms", prefill_ms_)
      .Field("first_event_ms", first_event_ms_)
      .Field("resumes", static_cast<int64_t>(resumes_))
      .Field("events", framer_.event_count())
      .Field("longest_gap_ms", longest_gap_ms_)
      .Field("memory_share", memory_share_);
}

}  // namespace mangoyoke
