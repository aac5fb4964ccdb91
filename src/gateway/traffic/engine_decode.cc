// The decode part of a model request: sending, relaying, resuming.

#include <algorithm>

#include "base/log.h"
#include "gateway/traffic/engine_request.h"

namespace mangoyoke {
namespace {

constexpr int kMaxDecodeRefusals = 4;
constexpr int kMaxResumes = 3;
// A stream that may be resumed is moved after this many target gaps, or this
// part of the first-event target, without an event.
constexpr double kGapPatience = 3;
constexpr double kFirstEventPatience = 0.7;

}  // namespace

void EngineRequest::Decode() {
  auto target = std::exchange(target_, std::nullopt);
  if (target && StillReady(*target)) {
    SendDecode(*target);
    return;
  }
  AdmitAgain();
}

Duration EngineRequest::EventLimit() const {
  Duration left = std::max<Duration>(TimeLeft(), Millis(1));
  bool movable = input_.route->resumable &&
                 possible_executions_ + 1 < input_.route->max_servers;
  if (!movable) {
    return left;
  }
  double patience =
      framer_.started()
          ? kGapPatience * static_cast<double>(input_.route->target_gap.count())
          : kFirstEventPatience *
                static_cast<double>(input_.route->target_latency.count());
  return std::min(left, FromMillis(patience));
}

void EngineRequest::SendDecode(const BackendServer& server) {
  LoadCharge charge;
  charge.requests = 1;
  charge.kv_tokens = KvTokens();
  charge.prompt_tokens = handle_ ? 0 : input_.caller_request.prompt_tokens;
  ReleaseLoad();
  BackendRequestOptions call;
  call.kv_source = handle_;
  call.kv_reservation = std::exchange(kv_reservation_, std::nullopt);
  reservation_confirmed_ = call.kv_reservation.has_value();
  if (framer_.started()) {
    call.resume_after = framer_.last_event_id();
  }
  AttemptCallbacks callbacks;
  callbacks.on_head = [this](const http::response_header<>& head,
                             const BackendResponse& response) {
    return OnDecodeHead(head, response);
  };
  callbacks.on_data = [this](std::string data) {
    OnDecodeData(std::move(data));
  };
  callbacks.on_end = [this, server](AttemptOutcome outcome) {
    OnDecodeEnd(server, std::move(outcome));
  };
  Send(server, call, charge, EventLimit(), std::move(callbacks));
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
      if (attempt_) {
        attempt_->SetPaused(high);
      }
    });
    input_.responder->BeginStream(context_.backends.EncodeResponseHead(head));
  }
  return true;
}

void EngineRequest::OnDecodeData(std::string data) {
  bool first = !framer_.started();
  std::string events = framer_.Push(data);
  if (events.empty()) {
    return;
  }
  NoteEvent(first);
  LoadCharge charge;
  charge.requests = 1;
  charge.kv_tokens = KvTokens();
  attempt_->SetCharge(charge);
  attempt_->SetTimeout(EventLimit());
  input_.responder->Write(std::move(events));
}

void EngineRequest::NoteEvent(bool first) {
  TimePoint now = SteadyClock::now();
  if (first) {
    first_event_ms_ = ToMillis(Age());
    context_.metrics.Observe("mangoyoke_first_event_ms", first_event_ms_);
  } else {
    longest_gap_ms_ = std::max(longest_gap_ms_, ToMillis(now - last_event_));
  }
  last_event_ = now;
}

void EngineRequest::OnDecodeEnd(const BackendServer& server,
                                AttemptOutcome outcome) {
  RecordServerOutcome(server, outcome, 0);
  if (!outcome.NotExecuted() || outcome.result == ExchangeResult::kNotSent ||
      outcome.response.wrong_server) {
    excluded_.insert(server.id);
  }
  if (outcome.result == ExchangeResult::kNotSent) {
    if (++unreachable_ < kMaxUnreachable) {
      AdmitAgain();
    } else {
      FailBeforeRun(ErrorCode::kNoBackend,
                    "no decode server could be connected");
    }
    return;
  }
  ++sends_;
  if (outcome.NotExecuted()) {
    OnDecodeNotExecuted();
    return;
  }
  ++possible_executions_;
  if (outcome.result == ExchangeResult::kIncomplete) {
    OnDecodeBroken(outcome.timed_out);
    return;
  }
  if (outcome.response.status == 200 && outcome.response.event_stream) {
    input_.responder->Write(std::string(framer_.partial_event()));
    context_.metrics.Observe("mangoyoke_longest_gap_ms", longest_gap_ms_);
    EndStream();
    return;
  }
  if (streaming_ || outcome.response.status >= 500) {
    OnDecodeBroken(false);
    return;
  }
  Reply(*outcome.head, std::move(outcome.body));
}

void EngineRequest::OnDecodeNotExecuted() {
  ++decode_refusals_;
  if (decode_refusals_ >= kMaxDecodeRefusals || TimeLeft() < Duration::zero() ||
      !TryAcquireRetry()) {
    FailBeforeRun(ErrorCode::kNoBackend, "decode servers refused");
    return;
  }
  // The server had room, so the prompt's memory is what could not be had.
  if (reservation_confirmed_) {
    DropHandle();
  } else if (decode_refusals_ > 1) {
    // Either may be missing: the decode server reads the prompt itself.
    DropHandle();
    prefills_ = kMaxPrefills;
  }
  AdmitAgain();
}

void EngineRequest::OnDecodeBroken(bool timed_out) {
  framer_.DiscardPartialEvent();
  ErrorCode code =
      timed_out ? ErrorCode::kBackendTimeout : ErrorCode::kBackendBroken;
  bool may_resume = input_.route->resumable &&
                    possible_executions_ < input_.route->max_servers &&
                    resumes_ < kMaxResumes && TimeLeft() > Duration::zero();
  if (may_resume && TryAcquireRetry()) {
    ++resumes_;
    wait_deadline_ = SteadyClock::now() + LongestWait();
    context_.metrics.Increment("mangoyoke_resumes_total");
    LogEvent("stream_resume")
        .Field("request", input_.caller_request.id)
        .Field("after", framer_.last_event_id());
    prefills_ = 0;
    AdmitAgain();
    return;
  }
  if (streaming_) {
    BreakStream(code, "the stream broke off");
  } else {
    SendErrorResponse(code, "the stream did not begin");
  }
}

}  // namespace mangoyoke
