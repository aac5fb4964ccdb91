// Admission of a model request.

#include "gateway/traffic/engine_run.h"

#include <algorithm>

#include "base/log.h"
#include "gateway/traffic/engine_admission.h"

namespace mangoyoke {
namespace {

// Tokens that a stream generates while others decide by its memory.
constexpr int64_t kGrowthTokens = 200;
constexpr unsigned kNoRoom = 503;
constexpr Duration kRoomCallLimit = Millis(150);
// A reservation has to last for a prefill and some waiting.
constexpr Duration kRoomLife = Millis(1500);
// A late request waits this many targets, or this part of the time left.
// Callers leave a stream without events after four targets.
constexpr double kLateWaitTargets = 3;
constexpr double kLateWaitShare = 0.6;
// Late requests leave this room to those that can still meet their target.
constexpr double kLateMemoryShare = 0.82;

}  // namespace

EngineRun::EngineRun(TrafficContext& context, RunTable& table, RunInput input)
    : RequestRun(context, table, std::move(input)) {}

EngineRun::~EngineRun() {
  context_.admission->Remove(input_.service, id());
  Unreserve();
  DropHandle();
  DropRoom();
}

const EngineSpec* EngineRun::Engine() const {
  const ServiceRule* service = input_.config->FindService(input_.service);
  return service != nullptr && service->engine ? &*service->engine : nullptr;
}

int64_t EngineRun::KvTokens() const {
  const EngineSpec* engine = Engine();
  int64_t event_tokens = engine != nullptr ? engine->event_tokens : 1;
  return input_.facts.prompt_tokens + relay_.events() * event_tokens +
         kGrowthTokens;
}

void EngineRun::Reserve(const BackendId& server) {
  Unreserve();
  LoadCharge charge;
  charge.requests = 1;
  charge.kv_tokens = KvTokens();
  charge.prompt_tokens = reads_itself_ ? input_.facts.prompt_tokens : 0;
  reservation_ = context_.load.Charge(server, charge);
}

void EngineRun::Unreserve() {
  context_.load.Release(reservation_);
  reservation_ = 0;
}

void EngineRun::DropRoom() {
  if (auto room = std::exchange(room_, std::nullopt)) {
    ReleaseRoom(context_, *room);
  }
}

void EngineRun::Begin() {
  if (input_.facts.wait) {
    Duration wait =
        std::min<Duration>(*input_.facts.wait, input_.route->timeout);
    spent_ = context_.patience.NoteWait(input_.route->id, wait);
  }
  late_ = MissedTarget();
  leave_at_ = SteadyClock::now() + LongestWait();
  bool others_wait = context_.admission->Waiting(input_.service) > 0;
  if ((late_ && others_wait) || !TryAdmit()) {
    Wait();
  }
}

bool EngineRun::MissedTarget() const {
  Duration target = input_.route->target_latency;
  double first_event = PrefillMillis() + kFirstEventMs;
  return spent_ > Duration::zero() && target > Duration::zero() &&
         spent_ + FromMillis(first_event) > target;
}

QueueRank EngineRun::Rank() const {
  if (handle_ || resumes_ > 0) {
    return QueueRank::kBegun;
  }
  return late_ ? QueueRank::kLate : QueueRank::kOnTime;
}

Duration EngineRun::LongestWait() const {
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

void EngineRun::Wait() {
  TimePoint leave_at = handle_ ? std::max(leave_at_, handle_until_) : leave_at_;
  context_.admission->Wait(
      input_.service, id(),
      QueuedRequest{input_.route->priority, Rank(), leave_at});
}

void EngineRun::AdmitAgain() {
  attempt_.reset();
  DropRoom();
  Unreserve();
  target_.reset();
  if (!TryAdmit()) {
    Wait();
  }
}

void EngineRun::GiveUpWaiting() {
  if (!ended_) {
    FailBeforeRun(ErrorCode::kDeadlineExpired, "no engine has room");
  }
}

bool EngineRun::StillReady(const BackendServer& server) const {
  const BackendServer* now = context_.servers->Find(server.id);
  return now != nullptr && *now == server;
}

PlacementChoice EngineRun::ChooseDecode() {
  PlacementQuery query;
  query.stage = ServerStage::kDecode;
  query.kv_tokens = KvTokens();
  if (Rank() == QueueRank::kLate) {
    query.max_memory_share = kLateMemoryShare;
  }
  PlacementChoice choice = Place(query);
  if (choice.server == nullptr) {
    query.stage = ServerStage::kWhole;
    choice = Place(query);
  }
  return choice;
}

void EngineRun::NoteWait(const PlacementChoice& choice) {
  if (std::exchange(waited_, true)) {
    return;
  }
  context_.metrics.Count("mangoyoke_admission_waits_total");
  LogEvent("admission_wait")
      .Field("request", input_.facts.id)
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

bool EngineRun::TryAdmit() {
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
  if (!choice.has_room || !choice.usable || !(in_time || ReadsInTime(choice))) {
    NoteWait(choice);
    return false;
  }
  reads_itself_ = !in_time;
  memory_share_ = choice.memory_share;
  target_ = *choice.server;
  Reserve(target_->id);
  if (CanReserveRoom()) {
    TakeRoom(*target_);
  } else {
    Admitted();
  }
  return true;
}

void EngineRun::Admitted() {
  admitted_ms_ = ToMillis(Age());
  context_.metrics.Observe("mangoyoke_queue_ms", admitted_ms_);
  Prefill();
}

bool EngineRun::CanReserveRoom() const {
  const EngineSpec* engine = Engine();
  return engine != nullptr && engine->hold_life > Millis(0);
}

void EngineRun::TakeRoom(const BackendServer& server) {
  AttemptHandlers handlers;
  handlers.on_end = [this, server](AttemptOutcome outcome) {
    OnRoom(server, std::move(outcome));
  };
  Millis life = std::min(std::chrono::duration_cast<Millis>(kRoomLife),
                         Engine()->hold_life);
  attempt_ = std::make_unique<ServerAttempt>(context_, server, LoadCharge{});
  attempt_->Start(context_.backends.EncodeHold(server, KvTokens(), life), "",
                  false, kRoomCallLimit, std::move(handlers));
}

void EngineRun::OnRoom(const BackendServer& server, AttemptOutcome outcome) {
  if (outcome.Succeeded()) {
    auto decoded = context_.backends.DecodeHold(server, outcome.body);
    if (auto* room = std::get_if<RoomHold>(&decoded)) {
      room_ = *room;
      Admitted();
      return;
    }
  }
  if (outcome.answer.status == kNoRoom) {
    context_.health.Note(server, ServerEvidence::kFull, 0, SteadyClock::now());
  } else {
    NoteOutcome(server, outcome, 0);
  }
  AdmitAgain();
}

void EngineRun::FailBeforeRun(ErrorCode code, std::string_view why) {
  if (streaming_) {
    BreakStream(ErrorCode::kBackendBroken, why);
  } else if (runs_ > 0) {
    Refuse(ErrorCode::kBackendBroken, why);
  } else {
    Refuse(code, why);
  }
}

void EngineRun::DescribeEnd(LogEvent& line) const {
  line.Field("prompt_tokens", input_.facts.prompt_tokens)
      .Field("max_output_tokens", input_.facts.max_output_tokens)
      .Field("spent_ms", ToMillis(spent_))
      .Field("admitted_ms", admitted_ms_)
      .Field("prefill_ms", prefill_ms_)
      .Field("first_event_ms", first_event_ms_)
      .Field("resumes", static_cast<int64_t>(resumes_))
      .Field("events", relay_.events())
      .Field("longest_gap_ms", longest_gap_ms_)
      .Field("memory_share", memory_share_);
}

}  // namespace mangoyoke
