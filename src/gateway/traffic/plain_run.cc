// Sends and repeats to plain services.

#include "gateway/traffic/plain_run.h"

#include <algorithm>

#include "base/log.h"

namespace mangoyoke {
namespace {

// Servers tried in vain before a request is refused.
constexpr int kMaxUnreachable = 4;
constexpr int kMaxSends = 4;
// An idempotent request goes to another server after this part of its target.
constexpr double kPatienceShare = 1.2;

// Statuses that promise a caller that the request did not run.
bool PromisesNotRun(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void PlainRun::Begin() {
  SendNext();
}

void PlainRun::OnCallerGone() {
  if (ended_) {
    return;
  }
  if (input_.route->MayRepeat() || !attempt_) {
    EndSilently("caller_gone");
  }
  // Else it may be running: it ends by itself, and its answer goes nowhere.
  caller_gone_ = true;
}

Duration PlainRun::SendLimit() const {
  Duration left = std::max<Duration>(TimeLeft(), Millis(1));
  bool another = input_.route->kind == RequestKind::kIdempotent &&
                 runs_ + 1 < input_.route->max_servers;
  if (!another) {
    return left;
  }
  double patience = kPatienceShare *
                    static_cast<double>(input_.route->target_latency.count());
  return std::min(left, FromMillis(patience));
}

void PlainRun::SendNext() {
  PlacementChoice choice = Place(PlacementQuery{});
  if (choice.server == nullptr && !excluded_.empty() && runs_ == 0) {
    // All were tried; those that only refused may have room by now.
    excluded_.clear();
    choice = Place(PlacementQuery{});
  }
  if (choice.server == nullptr) {
    if (last_answer_) {
      Reply(*last_answer_->head, std::move(last_answer_->body));
    } else if (runs_ > 0) {
      Refuse(ErrorCode::kBackendBroken, "no other server");
    } else {
      Refuse(ErrorCode::kNoBackend, "no usable server");
    }
    return;
  }
  AttemptHandlers handlers;
  handlers.on_end = [this, server = *choice.server](AttemptOutcome outcome) {
    OnSendEnd(server, std::move(outcome));
  };
  LoadCharge charge;
  charge.requests = 1;
  Send(*choice.server, BackendCall{}, charge, SendLimit(), std::move(handlers));
}

void PlainRun::OnSendEnd(const BackendServer& server, AttemptOutcome outcome) {
  NoteOutcome(server, outcome, 0);
  if (caller_gone_) {
    EndSilently("caller_gone");
    return;
  }
  excluded_.insert(server.id);
  if (outcome.end == ExchangeEnd::kNotSent) {
    if (++unreachable_ < kMaxUnreachable && TimeLeft() > Duration::zero()) {
      SendNext();
    } else {
      Refuse(ErrorCode::kNoBackend, "no server could be connected");
    }
    return;
  }
  ++sends_;
  if (outcome.NotRun()) {
    SendAgainOr(ErrorCode::kNoBackend, "servers have no room");
    return;
  }
  ++runs_;
  if (outcome.end == ExchangeEnd::kBroken) {
    SendAgainOr(outcome.timed_out ? ErrorCode::kBackendTimeout
                                  : ErrorCode::kBackendBroken,
                "the answer is missing or incomplete");
    return;
  }
  if (outcome.answer.status >= 500 &&
      input_.route->kind == RequestKind::kIdempotent) {
    last_answer_ = std::move(outcome);
    SendAgainOr(ErrorCode::kBackendBroken, "the server failed");
    return;
  }
  if (PromisesNotRun(outcome.answer.status) && !input_.route->MayRepeat()) {
    Refuse(ErrorCode::kBackendBroken, "the server failed without a promise");
    return;
  }
  Reply(*outcome.head, std::move(outcome.body));
}

void PlainRun::SendAgainOr(ErrorCode code, std::string_view why) {
  bool allowed = runs_ == 0 || (input_.route->MayRepeat() &&
                                runs_ < input_.route->max_servers);
  if (allowed && sends_ < kMaxSends && TimeLeft() > Duration::zero() &&
      TakeRepeat()) {
    SendNext();
    return;
  }
  if (last_answer_) {
    Reply(*last_answer_->head, std::move(last_answer_->body));
    return;
  }
  // A refusal that promises "not run" must be true.
  bool ran = runs_ > 0 && InfoOf(code).execution == Execution::kNotRun;
  Refuse(ran ? ErrorCode::kBackendBroken : code, why);
}

}  // namespace mangoyoke
