// The decode part of a model request: sending, relaying, resuming.

#include <algorithm>

#include "base/log.h"
#include "gateway/traffic/engine_run.h"

namespace mangoyoke {
namespace {

constexpr int kMaxDecodeRefusals = 4;
constexpr int kMaxResumes = 3;
// A stream that may be resumed is moved after this many target gaps, or this
// part of the first-event target, without an event.
constexpr double kGapPatience = 3;
constexpr double kFirstEventPatience = 0.7;

}  // namespace

void EngineRun::Decode() {
  auto target = std::exchange(target_, std::nullopt);
  if (target && StillReady(*target)) {
    SendDecode(*target);
    return;
  }
  AdmitAgain();
}

Duration EngineRun::EventLimit() const {
  Duration left = std::max<Duration>(TimeLeft(), Millis(1));
  bool movable =
      input_.route->resumable && runs_ + 1 < input_.route->max_servers;
  if (!movable) {
    return left;
  }
  double patience =
      relay_.started()
          ? kGapPatience * static_cast<double>(input_.route->target_gap.count())
          : kFirstEventPatience *
                static_cast<double>(input_.route->target_latency.count());
  return std::min(left, FromMillis(patience));
}

void EngineRun::SendDecode(const BackendServer& server) {
  LoadCharge charge;
  charge.requests = 1;
  charge.kv_tokens = KvTokens();
  charge.prompt_tokens = handle_ ? 0 : input_.facts.prompt_tokens;
  Unreserve();
  BackendCall call;
  call.kv = handle_;
  call.room = std::exchange(room_, std::nullopt);
  room_confirmed_ = call.room.has_value();
  if (relay_.started()) {
    call.resume_after = relay_.last_id();
  }
  AttemptHandlers handlers;
  handlers.on_head = [this](const http::response_header<>& head,
                            const BackendAnswer& answer) {
    return OnDecodeHead(head, answer);
  };
  handlers.on_data = [this](std::string data) {
    OnDecodeData(std::move(data));
  };
  handlers.on_end = [this, server](AttemptOutcome outcome) {
    OnDecodeEnd(server, std::move(outcome));
  };
  Send(server, call, charge, EventLimit(), std::move(handlers));
}

bool EngineRun::OnDecodeHead(const http::response_header<>& head,
                             const BackendAnswer& answer) {
  if (answer.status != 200 || !answer.event_stream) {
    return false;
  }
  handle_.reset();
  if (!streaming_) {
    streaming_ = true;
    input_.exchange->OnPressure([this](bool high) {
      if (attempt_) {
        attempt_->SetPaused(high);
      }
    });
    input_.exchange->BeginStream(context_.backends.EncodeAnswerHead(head));
  }
  return true;
}

void EngineRun::OnDecodeData(std::string data) {
  bool first = !relay_.started();
  std::string events = relay_.Push(data);
  if (events.empty()) {
    return;
  }
  NoteEvent(first);
  LoadCharge charge;
  charge.requests = 1;
  charge.kv_tokens = KvTokens();
  attempt_->SetCharge(charge);
  attempt_->SetLimit(EventLimit());
  input_.exchange->Write(std::move(events));
}

void EngineRun::NoteEvent(bool first) {
  TimePoint now = SteadyClock::now();
  if (first) {
    first_event_ms_ = ToMillis(Age());
    context_.metrics.Observe("mangoyoke_first_event_ms", first_event_ms_);
  } else {
    longest_gap_ms_ = std::max(longest_gap_ms_, ToMillis(now - last_event_));
  }
  last_event_ = now;
}

void EngineRun::OnDecodeEnd(const BackendServer& server,
                            AttemptOutcome outcome) {
  NoteOutcome(server, outcome, 0);
  if (!outcome.NotRun() || outcome.end == ExchangeEnd::kNotSent ||
      outcome.answer.wrong_server) {
    excluded_.insert(server.id);
  }
  if (outcome.end == ExchangeEnd::kNotSent) {
    if (++unreachable_ < kMaxUnreachable) {
      AdmitAgain();
    } else {
      FailBeforeRun(ErrorCode::kNoBackend,
                    "no decode server could be connected");
    }
    return;
  }
  ++sends_;
  if (outcome.NotRun()) {
    OnDecodeNotRun();
    return;
  }
  ++runs_;
  if (outcome.end == ExchangeEnd::kBroken) {
    OnDecodeBroken(outcome.timed_out);
    return;
  }
  if (outcome.answer.status == 200 && outcome.answer.event_stream) {
    input_.exchange->Write(std::string(relay_.rest()));
    context_.metrics.Observe("mangoyoke_longest_gap_ms", longest_gap_ms_);
    EndStream();
    return;
  }
  if (streaming_ || outcome.answer.status >= 500) {
    OnDecodeBroken(false);
    return;
  }
  Reply(*outcome.head, std::move(outcome.body));
}

void EngineRun::OnDecodeNotRun() {
  ++decode_refusals_;
  if (decode_refusals_ >= kMaxDecodeRefusals || TimeLeft() < Duration::zero() ||
      !TakeRepeat()) {
    FailBeforeRun(ErrorCode::kNoBackend, "decode servers refused");
    return;
  }
  // The server had room, so the prompt's memory is what could not be had.
  if (room_confirmed_) {
    DropHandle();
  } else if (decode_refusals_ > 1) {
    // Either may be missing: the decode server reads the prompt itself.
    DropHandle();
    prefills_ = kMaxPrefills;
  }
  AdmitAgain();
}

void EngineRun::OnDecodeBroken(bool timed_out) {
  relay_.DropRest();
  ErrorCode code =
      timed_out ? ErrorCode::kBackendTimeout : ErrorCode::kBackendBroken;
  bool may_resume = input_.route->resumable &&
                    runs_ < input_.route->max_servers &&
                    resumes_ < kMaxResumes && TimeLeft() > Duration::zero();
  if (may_resume && TakeRepeat()) {
    ++resumes_;
    leave_at_ = SteadyClock::now() + LongestWait();
    context_.metrics.Count("mangoyoke_resumes_total");
    LogEvent("stream_resume")
        .Field("request", input_.facts.id)
        .Field("after", relay_.last_id());
    prefills_ = 0;
    AdmitAgain();
    return;
  }
  if (streaming_) {
    BreakStream(code, "the stream broke off");
  } else {
    Refuse(code, "the stream did not begin");
  }
}

}  // namespace mangoyoke
