// One attempt at a backend server.

#include "gateway/traffic/server_attempt.h"

#include <utility>

#include "base/log.h"

namespace mangoyoke {

ServerAttempt::ServerAttempt(TrafficContext& context,
                             BackendServer server,
                             const LoadCharge& charge)
    : context_(context),
      server_(std::move(server)),
      charge_id_(context.load.Charge(server_.id, charge)),
      exchange_(context.io, context.pool) {}

ServerAttempt::~ServerAttempt() {
  context_.load.Release(charge_id_);
}

void ServerAttempt::Start(HttpRequest request,
                          const ExpectedResponse& expected,
                          const ExchangeOptions& options,
                          AttemptCallbacks callbacks) {
  ExchangeCallbacks exchange_callbacks;
  exchange_callbacks.on_head = [this, request_id = expected.request_id,
                                on_head = std::move(callbacks.on_head)](
                                   const http::response_header<>& head) {
    response_ = context_.backends.DecodeResponse(head);
    RecordNotice(request_id);
    return on_head && on_head(head, response_);
  };
  exchange_callbacks.on_data = std::move(callbacks.on_data);
  exchange_callbacks.on_timeout = std::move(callbacks.on_timeout);
  exchange_callbacks.on_end = [this](ExchangeOutcome outcome) {
    OnExchangeEnd(std::move(outcome));
  };
  on_end_ = std::move(callbacks.on_end);
  exchange_.Start(server_.address, std::move(request), expected, options,
                  std::move(exchange_callbacks));
}

void ServerAttempt::OnExchangeEnd(ExchangeOutcome exchange_outcome) {
  context_.load.Release(charge_id_);
  AttemptOutcome outcome;
  static_cast<ExchangeOutcome&>(outcome) = std::move(exchange_outcome);
  outcome.response = response_;
  if (outcome.result != ExchangeResult::kEndedByClose) {
    End(std::move(outcome));
    return;
  }
  unconfirmed_ = std::move(outcome);
  CheckServer();
}

void ServerAttempt::CheckServer() {
  context_.server_ends.Check(
      server_, [this, alive = std::weak_ptr<bool>(alive_)](ServerFate fate) {
        if (!alive.expired() && unconfirmed_) {
          OnServerChecked(fate);
        }
      });
}

void ServerAttempt::OnServerChecked(ServerFate fate) {
  AttemptOutcome outcome = *std::exchange(unconfirmed_, std::nullopt);
  outcome.server_fate = fate;
  outcome.result = fate == ServerFate::kAlive ? ExchangeResult::kComplete
                                              : ExchangeResult::kIncomplete;
  End(std::move(outcome));
}

void ServerAttempt::End(AttemptOutcome outcome) {
  // The callback may destroy this object.
  auto on_end = std::move(on_end_);
  on_end(std::move(outcome));
}

void ServerAttempt::Abort() {
  if (!unconfirmed_) {
    exchange_.Abort();
    return;
  }
  AttemptOutcome outcome = *std::exchange(unconfirmed_, std::nullopt);
  outcome.result = ExchangeResult::kIncomplete;
  outcome.aborted = true;
  End(std::move(outcome));
}

void ServerAttempt::RecordNotice(const std::string& request_id) {
  if (response_.draining) {
    context_.metrics.Increment("mangoyoke_draining_responses_total");
  }
  if (response_.pause) {
    context_.metrics.Increment("mangoyoke_server_pauses_total");
  }
  context_.notices.RecordResponse(server_, response_, request_id,
                                  SteadyClock::now());
}

void ServerAttempt::SetCharge(const LoadCharge& charge) {
  context_.load.Change(charge_id_, charge);
}

}  // namespace mangoyoke
