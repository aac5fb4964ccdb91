// Sends and repeats to plain services.

#include "gateway/traffic/plain_request.h"

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
bool PromisesNotExecuted(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

void PlainRequest::Begin() {
  SendNext();
}

void PlainRequest::OnCallerDisconnected() {
  if (ended_) {
    return;
  }
  if (input_.route->IsRetrySafe() || !attempt_) {
    EndSilently("caller_gone");
  }
  // Else it may be running: it ends by itself, and its answer goes nowhere.
  caller_gone_ = true;
}

Duration PlainRequest::SendLimit() const {
  Duration left = std::max<Duration>(TimeLeft(), Millis(1));
  bool another = input_.route->kind == RequestKind::kIdempotent &&
                 possible_executions_ + 1 < input_.route->max_servers;
  if (!another) {
    return left;
  }
  double patience = kPatienceShare *
                    static_cast<double>(input_.route->target_latency.count());
  return std::min(left, FromMillis(patience));
}

void PlainRequest::SendNext() {
  PlacementChoice choice = Place(PlacementQuery{});
  if (choice.server == nullptr && !excluded_.empty() &&
      possible_executions_ == 0) {
    // All were tried; those that only refused may have room by now.
    excluded_.clear();
    choice = Place(PlacementQuery{});
  }
  if (choice.server == nullptr) {
    if (last_answer_) {
      Reply(*last_answer_->head, std::move(last_answer_->body));
    } else if (possible_executions_ > 0) {
      SendErrorResponse(ErrorCode::kBackendBroken, "no other server");
    } else {
      SendErrorResponse(ErrorCode::kNoBackend, "no usable server");
    }
    return;
  }
  AttemptCallbacks callbacks;
  callbacks.on_end = [this, server = *choice.server](AttemptOutcome outcome) {
    OnSendEnd(server, std::move(outcome));
  };
  LoadCharge charge;
  charge.requests = 1;
  Send(*choice.server, BackendRequestOptions{}, charge, SendLimit(),
       std::move(callbacks));
}

void PlainRequest::OnSendEnd(const BackendServer& server,
                             AttemptOutcome outcome) {
  RecordServerOutcome(server, outcome, 0);
  if (caller_gone_) {
    EndSilently("caller_gone");
    return;
  }
  excluded_.insert(server.id);
  if (outcome.result == ExchangeResult::kNotSent) {
    if (++unreachable_ < kMaxUnreachable && TimeLeft() > Duration::zero()) {
      SendNext();
    } else {
      SendErrorResponse(ErrorCode::kNoBackend, "no server could be connected");
    }
    return;
  }
  ++sends_;
  if (outcome.NotExecuted()) {
    RetryOrFail(ErrorCode::kNoBackend, "servers have no room");
    return;
  }
  ++possible_executions_;
  if (outcome.result == ExchangeResult::kIncomplete) {
    RetryOrFail(outcome.timed_out ? ErrorCode::kBackendTimeout
                                  : ErrorCode::kBackendBroken,
                "the answer is missing or incomplete");
    return;
  }
  if (outcome.response.status >= 500 &&
      input_.route->kind == RequestKind::kIdempotent) {
    last_answer_ = std::move(outcome);
    RetryOrFail(ErrorCode::kBackendBroken, "the server failed");
    return;
  }
  if (PromisesNotExecuted(outcome.response.status) &&
      !input_.route->IsRetrySafe()) {
    SendErrorResponse(ErrorCode::kBackendBroken,
                      "the server failed without a promise");
    return;
  }
  Reply(*outcome.head, std::move(outcome.body));
}

void PlainRequest::RetryOrFail(ErrorCode code, std::string_view why) {
  bool allowed = possible_executions_ == 0 ||
                 (input_.route->IsRetrySafe() &&
                  possible_executions_ < input_.route->max_servers);
  if (allowed && sends_ < kMaxSends && TimeLeft() > Duration::zero() &&
      TryAcquireRetry()) {
    SendNext();
    return;
  }
  if (last_answer_) {
    Reply(*last_answer_->head, std::move(last_answer_->body));
    return;
  }
  // A refusal that promises "not run" must be true.
  bool ran = possible_executions_ > 0 &&
             GetErrorInfo(code).execution == Execution::kNotExecuted;
  SendErrorResponse(ran ? ErrorCode::kBackendBroken : code, why);
}

}  // namespace mangoyoke
