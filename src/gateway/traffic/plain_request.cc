// Attempts and retries at plain services, and waiting for room there.

#include "gateway/traffic/plain_request.h"

#include <algorithm>

#include "base/log.h"

namespace mangoyoke {
namespace {

// Failed connections to servers after which a request is rejected.
constexpr int kMaxUnreachable = 4;
// Attempts that reached a server, for one request.
constexpr int kMaxAttempts = 4;
// An idempotent request without a response after this many times its target
// latency is sent to another server if that is possible.
constexpr double kTargetTimeoutFactor = 1.2;

}  // namespace

PlainRequest::~PlainRequest() {
  LeaveQueue();
}

void PlainRequest::Begin() {
  if (input_.caller_request.timeout) {
    earlier_tries_ = context_.caller_retry_detector.RecordTimeout(
        input_.route->id, *input_.caller_request.timeout);
  }
  StartNextAttempt();
}

void PlainRequest::AddLogFields(LogEvent& line) const {
  if (waited_ > Duration::zero()) {
    line.Field("waited_ms", ToMillis(waited_));
  }
}

void PlainRequest::OnCallerDisconnected() {
  if (ended_) {
    return;
  }
  if (input_.route->IsRetrySafe() || !attempt_) {
    EndWithoutResponse("caller_gone");
  }
  // Otherwise a server may be executing it, so the attempt is not cancelled and
  // its response is discarded.
  caller_disconnected_ = true;
}

Duration PlainRequest::AttemptTimeout() const {
  Duration left = std::max<Duration>(TimeLeft(), Millis(1));
  bool can_retry = input_.route->kind == RequestKind::kIdempotent &&
                   possible_executions_ + 1 < input_.route->max_servers;
  if (!can_retry) {
    return left;
  }
  double timeout_ms = kTargetTimeoutFactor *
                      static_cast<double>(input_.route->target_latency.count());
  return std::min(left, FromMillis(timeout_ms));
}

void PlainRequest::StartNextAttempt() {
  if (RejectIfTooLateForStop() || RejectIfKeyWithdrawn()) {
    return;
  }
  std::set<BackendId> excluded = excluded_;
  excluded.insert(rejected_by_.begin(), rejected_by_.end());
  PlainOutlook outlook = Look(MakeQuery(std::move(excluded)));
  if (!outlook.with_room.empty()) {
    SendToOneOf(outlook.with_room);
  } else if (MayWaitForRoom(outlook)) {
    retry_paid_ = attempts_sent_ > 0;
    WaitForRoom();
  } else {
    SendToAnyServer();
  }
}

void PlainRequest::SendToAnyServer() {
  PlacementChoice choice = ChooseServer(PlacementQuery{});
  if (choice.server == nullptr && !excluded_.empty() &&
      possible_executions_ == 0) {
    // All servers were tried and none executed the request; those that rejected
    // it may have capacity by now.
    excluded_.clear();
    choice = ChooseServer(PlacementQuery{});
  }
  if (choice.server != nullptr) {
    SendTo(choice);
  } else if (MayAskAgain()) {
    AskAgainLater(GuardedCallback(&PlainRequest::RetryMovedRequest));
  } else {
    Fail(ErrorCode::kNoBackend, "the service has no usable server",
         choice.pause_ends);
  }
}

void PlainRequest::SendToOneOf(const std::set<BackendId>& servers) {
  PlacementQuery query;
  query.only =
      context_.load.HasSums() ? DrawTwo(servers, context_.Random()) : servers;
  SendTo(ChooseServer(query));
}

void PlainRequest::SendTo(const PlacementChoice& choice) {
  AttemptCallbacks callbacks;
  callbacks.on_timeout = [this, server = *choice.server] {
    return KeepWaiting(server, SilentServerObstacle(server));
  };
  callbacks.on_end = [this, server = *choice.server,
                      others = choice.load.requests](AttemptOutcome outcome) {
    RecordAttemptSpeed(server, others, outcome);
    OnAttemptEnd(server, std::move(outcome));
  };
  known_requests_ = choice.load.requests;
  LoadCharge charge;
  charge.requests = 1;
  StartAttempt(*choice.server, BackendRequestOptions{}, charge,
               AttemptTimeout(), std::move(callbacks));
}

PlainQuery PlainRequest::MakeQuery(std::set<BackendId> excluded) const {
  PlainQuery query;
  query.service = input_.service;
  query.excluded = std::move(excluded);
  query.target = input_.route->target_latency;
  query.service_time = context_.plain_service_time.Mean(input_.service)
                           .value_or(kAssumedServiceTime);
  query.age = earlier_tries_ + Age();
  query.came_back = earlier_tries_ > Duration::zero();
  query.time_left = TimeLeft();
  query.accept_avoided = rejected_by_.empty();
  query.waited_for_deadline = waited_for_deadline_;
  return query;
}

PlainOutlook PlainRequest::Look(const PlainQuery& query) {
  PlainState state{*context_.servers, context_.load,    context_.limits,
                   context_.health,   context_.notices, SteadyClock::now()};
  return LookAtServers(query, state);
}

bool PlainRequest::MayWaitForRoom(const PlainOutlook& outlook) const {
  // The others could not be reached or failed.
  bool all_failed = outlook.servers <= static_cast<int64_t>(excluded_.size());
  return !moved_ && (!rejected_by_.empty() || !all_failed);
}

void PlainRequest::WaitForRoom() {
  attempt_.reset();
  PlainQuery query = MakeQuery(excluded_);
  PlainOutlook outlook = Look(query);
  auto [decision, wait] = ChooseWait(query, outlook);
  TimePoint now = SteadyClock::now();
  LogEvent("no_room")
      .Field("request", input_.caller_request.id)
      .Field("service", input_.service)
      .Field("requests", outlook.requests)
      .Field("slots", outlook.slots)
      .Field("decision", PlainDecisionName(decision))
      .Field("left_ms", ToMillis(query.time_left));
  if (decision == PlainDecision::kRefuse) {
    Fail(
        rejected_by_.empty() ? ErrorCode::kServiceLimit : ErrorCode::kNoBackend,
        "no server has room in time",
        now + TimeOfWork(outlook, query.service_time));
    return;
  }
  PlainPlace place;
  place.priority = input_.priority;
  place.on_time = decision == PlainDecision::kWaitForTarget;
  place.wait_deadline = now + wait;
  waited_for_deadline_ = !place.on_time;
  if (!queue_charge_) {
    LoadCharge waiting;
    waiting.requests = 1;
    queue_charge_ = context_.load.Charge(QueueId(input_.service), waiting);
    queued_since_ = now;
  }
  context_.plain_admission->Enqueue(input_.service, id(), place);
}

void PlainRequest::LeaveQueue() {
  if (!queue_charge_) {
    return;
  }
  context_.load.Release(*std::exchange(queue_charge_, std::nullopt));
  context_.plain_admission->Remove(input_.service, id());
  waited_ += SteadyClock::now() - queued_since_;
}

QueuedAttempt PlainRequest::TryQueued() {
  if (ended_) {
    LeaveQueue();
    return QueuedAttempt::kDone;
  }
  bool needs_retry = attempts_sent_ > 0 && !retry_paid_;
  if (needs_retry && !RetryAllowed()) {
    return QueuedAttempt::kBlocked;
  }
  if (possible_executions_ == 0) {
    // Servers that failed it without executing it may have recovered.
    excluded_.clear();
  }
  PlainQuery query = MakeQuery(excluded_);
  PlainOutlook outlook = Look(query);
  if (outlook.with_room.empty()) {
    // There may be room for others that this request may not use.
    bool sees_all_room =
        excluded_.empty() && query.accept_avoided && UsesWholeQueue(query);
    return sees_all_room ? QueuedAttempt::kNoRoom : QueuedAttempt::kBlocked;
  }
  if (needs_retry && !TryAcquireRetry()) {
    return QueuedAttempt::kBlocked;
  }
  LeaveQueue();
  retry_paid_ = false;
  waited_for_deadline_ = false;
  if (!RejectIfTooLateForStop()) {
    SendToOneOf(outlook.with_room);
  }
  return QueuedAttempt::kDone;
}

void PlainRequest::OnWaitExpired() {
  if (ended_) {
    return;
  }
  WaitForRoom();
}

void PlainRequest::RecordAttemptSpeed(const BackendServer& server,
                                      int64_t others,
                                      const AttemptOutcome& outcome) {
  if (!outcome.Succeeded() || outcome.response.status >= 400) {
    return;
  }
  double ms = ToMillis(outcome.elapsed);
  if (auto share =
          context_.typical_times.RatioToTypical(input_.route->id, ms)) {
    RecordSpeed(server, others, *share);
  }
}

void PlainRequest::OnAttemptEnd(const BackendServer& server,
                                AttemptOutcome outcome) {
  RecordServerOutcome(server, outcome, 0);
  if (caller_disconnected_) {
    EndWithoutResponse("caller_gone");
    return;
  }
  if (outcome.result == ExchangeResult::kNotSent) {
    excluded_.insert(server.id);
    if (++unreachable_ < kMaxUnreachable && TimeLeft() > Duration::zero()) {
      StartNextAttempt();
    } else if (MayAskAgain()) {
      AskAgainLater(GuardedCallback(&PlainRequest::RetryMovedRequest));
    } else {
      Fail(ErrorCode::kNoBackend, "no connection to the last server tried");
    }
    return;
  }
  ++attempts_sent_;
  if (outcome.NotExecuted()) {
    OnNotExecuted(server, outcome);
    return;
  }
  excluded_.insert(server.id);
  ++possible_executions_;
  if (outcome.result == ExchangeResult::kIncomplete) {
    RetryOrFail(outcome.timed_out ? ErrorCode::kBackendTimeout
                                  : ErrorCode::kBackendBroken,
                "no complete response from the server");
    return;
  }
  if (outcome.response.status >= 500 &&
      input_.route->kind == RequestKind::kIdempotent) {
    last_error_response_ = std::move(outcome);
    RetryOrFail(ErrorCode::kBackendBroken,
                "the server responded with status 5xx");
    return;
  }
  if (FalselyPromises(outcome.response.status)) {
    FailOnFalsePromise();
    return;
  }
  if (known_requests_ < server.slots) {
    context_.plain_service_time.Record(input_.service, outcome.elapsed);
  }
  Reply(*outcome.head, std::move(outcome.body), std::move(outcome.body_memory));
}

void PlainRequest::OnNotExecuted(const BackendServer& server,
                                 const AttemptOutcome& outcome) {
  bool full = !outcome.response.wrong_server && !outcome.response.pause &&
              !outcome.response.draining;
  if (full) {
    TimePoint now = SteadyClock::now();
    context_.limits.RecordRejection(
        server, context_.load.At(server.id, now).requests, now);
  }
  bool may_wait = full && !moved_;
  (may_wait ? rejected_by_ : excluded_).insert(server.id);
  bool sent_often = attempts_sent_ >= kMaxAttempts;
  if (MayAskAgain() && (sent_often || !RetryAllowed())) {
    AskAgainLater(GuardedCallback(&PlainRequest::RetryMovedRequest));
  } else if (may_wait && RetryObstacle(attempts_sent_, possible_executions_) ==
                             MoveObstacle::kNone) {
    RetryOrWait();
  } else {
    RetryOrFail(ErrorCode::kNoBackend,
                "the servers tried have rejected the request");
  }
}

void PlainRequest::RetryOrWait() {
  std::set<BackendId> excluded = excluded_;
  excluded.insert(rejected_by_.begin(), rejected_by_.end());
  PlainOutlook outlook = Look(MakeQuery(std::move(excluded)));
  if (RejectIfTooLateForStop()) {
    return;
  }
  if (!outlook.with_room.empty() && TryAcquireRetry()) {
    SendToOneOf(outlook.with_room);
  } else {
    WaitForRoom();
  }
}

MoveObstacle PlainRequest::RetryObstacle(int sent, int executions) const {
  if (executions > 0 && !input_.route->IsRetrySafe()) {
    return MoveObstacle::kRoute;
  }
  if (sent >= kMaxAttempts ||
      (executions > 0 && executions >= input_.route->max_servers)) {
    return MoveObstacle::kMaxServers;
  }
  return TimeLeft() > Duration::zero() ? MoveObstacle::kNone
                                       : MoveObstacle::kNoTime;
}

MoveObstacle PlainRequest::SilentServerObstacle(const BackendServer& server) {
  MoveObstacle obstacle =
      RetryObstacle(attempts_sent_ + 1, possible_executions_ + 1);
  if (obstacle != MoveObstacle::kNone) {
    return obstacle;
  }
  if (!RetryAllowed()) {
    return MoveObstacle::kBudget;
  }
  PlacementQuery query;
  query.excluded = {server.id};
  PlacementChoice choice = ChooseServer(query);
  bool room = choice.server != nullptr && choice.usable &&
              choice.load.requests < std::max(1, choice.server->slots);
  return room ? MoveObstacle::kNone : MoveObstacle::kNoRoom;
}

bool PlainRequest::MayAskAgain() const {
  constexpr int kAnyNumberSent = 0;
  return moved_ && RetryObstacle(kAnyNumberSent, possible_executions_) ==
                       MoveObstacle::kNone;
}

void PlainRequest::RetryMovedRequest() {
  if (ended_) {
    return;
  }
  if (!RetryAllowed() || !TryAcquireRetry()) {
    AskAgainLater(GuardedCallback(&PlainRequest::RetryMovedRequest));
    return;
  }
  // Servers that rejected it may have capacity by now, and the silent one may
  // have gone on.
  excluded_.clear();
  unreachable_ = 0;
  StartNextAttempt();
}

void PlainRequest::RetryOrFail(ErrorCode code, std::string_view why) {
  bool may_retry = RetryObstacle(attempts_sent_, possible_executions_) ==
                   MoveObstacle::kNone;
  if (may_retry && TryAcquireRetry()) {
    StartNextAttempt();
    return;
  }
  Fail(code, why);
}

void PlainRequest::Fail(ErrorCode code,
                        std::string_view why,
                        std::optional<TimePoint> earliest) {
  if (last_error_response_) {
    Reply(*last_error_response_->head, std::move(last_error_response_->body),
          std::move(last_error_response_->body_memory));
    return;
  }
  bool may_have_executed =
      possible_executions_ > 0 &&
      GetErrorInfo(code).execution == Execution::kNotExecuted;
  SendErrorResponse(may_have_executed ? ErrorCode::kBackendBroken : code, why,
                    earliest);
}

}  // namespace mangoyoke
