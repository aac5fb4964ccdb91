// The decode stage of a model request: the attempt at a decode server, relaying
// its event stream to the caller, and resuming a broken stream elsewhere.

#include <algorithm>
#include <boost/asio/post.hpp>

#include "base/log.h"
#include "gateway/traffic/engine_request.h"

namespace mangoyoke {
namespace {

constexpr int kMaxDecodeRejections = 4;
// Events of ordinary size are not accounted for.
constexpr size_t kMaxFreeEventBytes = 16 << 10;
// The load charge of a stream follows its memory in steps of this many tokens,
// since each change is reported to the peers. The charge is ahead of the memory
// by more than a step.
constexpr int64_t kKvChargeStep = 64;
constexpr int kMaxResumes = 3;
// Callers abandon a stream after a gap of the longest of these: a fixed time,
// this many target latencies, this many target gaps.
constexpr Duration kAbandonGap = Seconds(2);
constexpr int kAbandonTargetLatencies = 4;
constexpr int kAbandonTargetGaps = 8;
// A stream that may still be resumed at another server is moved there after
// this share of that gap. The rest of it is at least 1.6 target latencies,
// which is enough for a prefill and the next event. To move it sooner helps no
// caller, since its target gap is missed by then.
constexpr double kMoveGapShare = 0.6;
// The same as a share of the time left until the deadline.
constexpr double kMoveTimeShare = 0.5;
// A shorter silence than this many target gaps counts as none.
constexpr int kSilentTargetGaps = 3;
// Before the first event it is moved after this part of the target latency.
constexpr double kFirstEventTimeoutFactor = 0.7;

// How long a caller waits for the next event of a stream.
Duration AbandonGap(const RouteRule& route) {
  return std::max<Duration>({kAbandonGap,
                             kAbandonTargetLatencies * route.target_latency,
                             kAbandonTargetGaps * route.target_gap});
}

}  // namespace

void EngineRequest::Decode() {
  if (EndIfQuarantined()) {
    return;
  }
  auto server = std::exchange(decode_server_, std::nullopt);
  if (server && IsCurrent(*server) && WantsWork(*server)) {
    StartDecode(*server);
    return;
  }
  RetryAdmission();
}

Duration EngineRequest::EventTimeout() const {
  Duration left = std::max<Duration>(TimeLeft(), Millis(1));
  bool can_resume = input_.route->resumable && framer_.resumable() &&
                    possible_executions_ + 1 < input_.route->max_servers;
  if (!can_resume) {
    return left;
  }
  if (framer_.started()) {
    double timeout_ms =
        std::min(kMoveTimeShare * ToMillis(left),
                 kMoveGapShare * ToMillis(AbandonGap(*input_.route)));
    Duration shortest = kSilentTargetGaps * input_.route->target_gap;
    return std::min(left, std::max(shortest, FromMillis(timeout_ms)));
  }
  return std::min(left, FromMillis(kFirstEventTimeoutFactor *
                                   ToMillis(input_.route->target_latency)));
}

void EngineRequest::StartDecode(const BackendServer& server) {
  LoadCharge charge;
  charge.requests = 1;
  charge.kv_tokens = ExpectedKvTokens();
  charge.prompt_tokens = handle_ ? 0 : input_.caller_request.prompt_tokens;
  charged_kv_tokens_ = charge.kv_tokens;
  ReleaseLoad();
  attempt_first_event_.reset();
  BackendRequestOptions options;
  options.kv_source = handle_;
  options.kv_reservation = std::exchange(kv_reservation_, std::nullopt);
  reservation_confirmed_ = options.kv_reservation.has_value();
  if (!framer_.last_event_id().empty()) {
    options.resume_after = framer_.last_event_id();
  }
  AttemptCallbacks callbacks;
  callbacks.on_head = [this](const http::response_header<>& head,
                             const BackendResponse& response) {
    return OnDecodeHead(head, response);
  };
  callbacks.on_data = [this](std::string data) {
    OnDecodeData(std::move(data));
  };
  callbacks.on_timeout = [this, server] {
    return KeepWaiting(server, DecodeMoveObstacle(server));
  };
  callbacks.on_end = [this, server](AttemptOutcome outcome) {
    OnDecodeEnd(server, std::move(outcome));
  };
  StartAttempt(server, options, charge, EventTimeout(), std::move(callbacks));
}

bool EngineRequest::OnDecodeHead(const http::response_header<>& head,
                                 const BackendResponse& response) {
  if (response.status != 200 || !response.event_stream) {
    return false;
  }
  handle_.reset();
  if (!streaming_) {
    streaming_ = true;
    input_.responder->SetBackpressureCallback([this](bool high) {
      slow_reader_ = slow_reader_ || high;
      if (attempt_) {
        attempt_->SetPaused(high);
      }
    });
    input_.responder->BeginStream(context_.backends.EncodeResponseHead(head));
  }
  return true;
}

void EngineRequest::OnDecodeData(std::string data) {
  int64_t events_before = framer_.event_count();
  std::string events = framer_.Push(data);
  if (framer_.overlong() || !HoldPartialEvent()) {
    attempt_->Abort();
    return;
  }
  RelayEvents(std::move(events), events_before);
  if (framer_.fault() != StreamFault::kNone) {
    LogStreamFault();
    attempt_->Abort();
  }
}

bool EngineRequest::HoldPartialEvent() {
  size_t bytes = framer_.partial_event_memory();
  if (bytes <= kMaxFreeEventBytes) {
    partial_event_memory_ = MemoryBudget::Share();
    return true;
  }
  if (!partial_event_memory_.in_use()) {
    partial_event_memory_ = context_.pool.body_memory().NewShare(
        [&io = context_.io,
         abort = GuardedCallback(&EngineRequest::AbortAttempt)] {
          boost::asio::post(io, abort);
        });
  }
  return partial_event_memory_.Resize(bytes);
}

void EngineRequest::AbortAttempt() {
  if (attempt_) {
    attempt_->Abort();
  }
}

void EngineRequest::RelayEvents(std::string events, int64_t events_before) {
  if (events.empty()) {
    return;
  }
  if (framer_.event_count() == events_before) {
    input_.responder->Write(std::move(events));  // Only comments.
    return;
  }
  RecordEvent(events_before == 0);
  UpdateDecodeCharge();
  attempt_->SetTimeout(EventTimeout());
  input_.responder->Write(std::move(events));
}

void EngineRequest::LogStreamFault() const {
  LogEvent("stream_fault", LogLevel::kWarning)
      .Field("request", input_.caller_request.id)
      .Field("fault", StreamFaultName(framer_.fault()))
      .Field("after", framer_.last_event_id());
}

void EngineRequest::UpdateDecodeCharge() {
  LoadCharge charge;
  charge.requests = 1;
  charge.kv_tokens = ExpectedKvTokens();
  if (charge.kv_tokens - charged_kv_tokens_ >= kKvChargeStep) {
    charged_kv_tokens_ = charge.kv_tokens;
    attempt_->SetCharge(charge);
  }
}

void EngineRequest::RecordEvent(bool first) {
  TimePoint now = SteadyClock::now();
  if (first) {
    first_event_ms_ = ToMillis(Age());
    context_.metrics.Observe("mangoyoke_first_event_ms", first_event_ms_);
  } else {
    longest_gap_ms_ = std::max(longest_gap_ms_, ToMillis(now - last_event_));
  }
  last_event_ = now;
  if (!attempt_first_event_) {
    attempt_first_event_ = now;
    attempt_first_count_ = framer_.event_count();
  }
  RecordProgress();
}

void EngineRequest::RecordDecodeSpeed(const BackendServer& server) {
  // Fewer say little about the mean.
  constexpr int64_t kMinEvents = 8;
  int64_t events = framer_.event_count() - attempt_first_count_;
  if (!attempt_first_event_ || slow_reader_ || events < kMinEvents) {
    return;
  }
  int64_t others = context_.load.At(server.id, SteadyClock::now()).requests - 1;
  RecordSpeed(server, std::max<int64_t>(0, others),
              ToMillis(last_event_ - *attempt_first_event_) /
                  static_cast<double>(events));
}

void EngineRequest::OnDecodeEnd(const BackendServer& server,
                                AttemptOutcome outcome) {
  RecordServerOutcome(server, outcome, 0);
  RecordDecodeSpeed(server);
  CheckBrokenServer(server, outcome);
  if (!outcome.NotExecuted() || outcome.result == ExchangeResult::kNotSent ||
      outcome.response.wrong_server) {
    excluded_.insert(server.id);
  }
  if (outcome.result == ExchangeResult::kNotSent) {
    if (++unreachable_ < kMaxUnreachable) {
      RetryAdmission();
    } else {
      FailRequest(ErrorCode::kNoBackend,
                  "no connection to the last decode server tried");
    }
    return;
  }
  ++attempts_sent_;
  if (outcome.NotExecuted()) {
    OnDecodeNotExecuted();
    return;
  }
  ++possible_executions_;
  if (outcome.result == ExchangeResult::kIncomplete) {
    OnDecodeFailed(outcome.timed_out);
    return;
  }
  if (outcome.response.status == 200 && outcome.response.event_stream) {
    std::string last = framer_.Finish(outcome.Framed());
    if (framer_.fault() != StreamFault::kNone) {
      LogStreamFault();
      OnDecodeFailed(false);
      return;
    }
    RecordServed(outcome.elapsed);
    input_.responder->Write(std::move(last));
    context_.metrics.Observe("mangoyoke_longest_gap_ms", longest_gap_ms_);
    context_.output_length.Record(input_.service, GeneratedTokens());
    EndStream();
    return;
  }
  if (streaming_ || outcome.response.status >= 500) {
    OnDecodeFailed(false);
    return;
  }
  if (FalselyPromises(outcome.response.status)) {
    FailOnFalsePromise();
    return;
  }
  if (outcome.Succeeded()) {
    RecordServed(outcome.elapsed);
  }
  Reply(*outcome.head, std::move(outcome.body), std::move(outcome.body_memory));
}

void EngineRequest::OnDecodeNotExecuted() {
  ++decode_rejections_;
  bool may_retry = decode_rejections_ < kMaxDecodeRejections &&
                   TimeLeft() >= Duration::zero();
  if (!may_retry || !TryAcquireRetry()) {
    FailRequest(ErrorCode::kNoBackend,
                "the decode servers tried rejected the request");
    return;
  }
  // The server had confirmed a KV reservation, so what failed must be the
  // transfer of the prefill result.
  if (reservation_confirmed_) {
    DropHandle();
  } else if (decode_rejections_ > 1) {
    // Either the server's memory or the prefill result may be the cause: let
    // the decode server prefill the prompt itself.
    DropHandle();
    prefills_ = kMaxPrefills;
  }
  RetryAdmission();
}

bool EngineRequest::MayAskAgain() const {
  return moved_ && possible_executions_ > 0 &&
         ResumeObstacle(possible_executions_) == MoveObstacle::kNone;
}

void EngineRequest::RetryMovedRequest() {
  if (ended_) {
    return;
  }
  if (!RetryAllowed() || !TryAcquireRetry()) {
    AskAgainLater(GuardedCallback(&EngineRequest::RetryMovedRequest));
    return;
  }
  // Servers that rejected it may have capacity by now, and the silent one may
  // have gone on.
  excluded_.clear();
  failed_prefills_.clear();
  decode_rejections_ = 0;
  unreachable_ = 0;
  prefills_ = 0;
  wait_deadline_ = SteadyClock::now() + MaxWait();
  RetryAdmission();
}

MoveObstacle EngineRequest::ResumeObstacle(int executions) const {
  if (!input_.route->resumable || !framer_.resumable()) {
    return MoveObstacle::kRoute;
  }
  if (executions >= input_.route->max_servers) {
    return MoveObstacle::kMaxServers;
  }
  if (resumes_ >= kMaxResumes) {
    return MoveObstacle::kMaxResumes;
  }
  return TimeLeft() > Duration::zero() ? MoveObstacle::kNone
                                       : MoveObstacle::kNoTime;
}

MoveObstacle EngineRequest::DecodeMoveObstacle(const BackendServer& server) {
  MoveObstacle obstacle = ResumeObstacle(possible_executions_ + 1);
  if (obstacle != MoveObstacle::kNone) {
    return obstacle;
  }
  if (TimeLeft() <= FromMillis(PrefillMillis() + kFirstEventMs)) {
    return MoveObstacle::kNoTime;
  }
  if (!RetryAllowed()) {
    return MoveObstacle::kBudget;
  }
  PlacementChoice choice = ChooseDecodeServer({server.id});
  bool room = choice.server != nullptr && choice.usable && choice.has_capacity;
  return room ? MoveObstacle::kNone : MoveObstacle::kNoRoom;
}

void EngineRequest::OnDecodeFailed(bool timed_out) {
  framer_.DiscardPartialEvent();
  ErrorCode code =
      timed_out ? ErrorCode::kBackendTimeout : ErrorCode::kBackendBroken;
  bool may_resume = ResumeObstacle(possible_executions_) == MoveObstacle::kNone;
  if (may_resume && TryAcquireRetry()) {
    ++resumes_;
    wait_deadline_ = SteadyClock::now() + MaxWait();
    context_.metrics.Increment("mangoyoke_resumes_total");
    LogEvent("stream_resume")
        .Field("request", input_.caller_request.id)
        .Field("after", framer_.last_event_id());
    prefills_ = 0;
    RetryAdmission();
    return;
  }
  if (streaming_) {
    AbortStream(code,
                "the event stream of the decode server ended early or stalled");
  } else {
    SendErrorResponse(code,
                      "the decode server failed before the event stream began");
  }
}

}  // namespace mangoyoke
