// Calls to the store on pooled connections.

#include "gateway/control/store_client.h"

#include <boost/asio/post.hpp>

#include "base/log.h"

namespace mangoyoke {
namespace {

// A response of hundreds of KB shares a slow link with others.
constexpr Duration kBodyTimeout = Millis(700);
constexpr unsigned kTooManyRequestsStatus = 429;
constexpr unsigned kFirstServerErrorStatus = 500;

// The store's calls have no ids, and its responses no stamps.
ResponseFault CheckStoreResponse(const http::response_header<>& head,
                                 const ExpectedResponse& expected) {
  BackendResponse response;
  response.status = head.result_int();
  return FindResponseFault(response, expected);
}

// Whether the store processed the call. A response with 429 or 5xx counts as a
// failure: with it the store refuses this instance.
bool CallSucceeded(const ExchangeOutcome& outcome) {
  return outcome.result == ExchangeResult::kComplete &&
         outcome.head->result_int() < kFirstServerErrorStatus &&
         outcome.head->result_int() != kTooManyRequestsStatus;
}

}  // namespace

StoreClient::StoreClient(boost::asio::io_context& io,
                         std::string address,
                         Metrics& metrics)
    : io_(io),
      address_(std::move(address)),
      metrics_(metrics),
      pool_(io, CheckStoreResponse) {}

StoreClient::~StoreClient() = default;

uint64_t StoreClient::Call(HttpRequest request,
                           Duration timeout,
                           Callback callback) {
  uint64_t id = next_id_++;
  metrics_.Increment("mangoyoke_store_calls_total");
  ExchangeCallbacks callbacks;
  callbacks.on_end = [this, id,
                      callback = std::move(callback)](ExchangeOutcome outcome) {
    OnCallEnd(id, std::move(outcome), callback);
  };
  auto& call = *calls_.emplace(id, std::make_unique<TimedExchange>(io_, pool_))
                    .first->second;
  ExchangeOptions options;
  options.timeout = timeout;
  options.body_timeout = kBodyTimeout;
  call.Start(address_, std::move(request), ExpectedResponse{}, options,
             std::move(callbacks));
  return id;
}

void StoreClient::OnCallEnd(uint64_t id,
                            ExchangeOutcome outcome,
                            const Callback& callback) {
  boost::asio::post(io_, [this, id] { calls_.erase(id); });
  if (outcome.result == ExchangeResult::kEndedByClose) {
    // Whoever decodes the body sees whether it is whole.
    outcome.result = ExchangeResult::kComplete;
  }
  TimePoint now = SteadyClock::now();
  bool succeeded = CallSucceeded(outcome);
  StoreReachability before =
      SetReachability(succeeded ? StoreReachability::kReachable
                                : StoreReachability::kUnreachable,
                      outcome);
  (succeeded ? on_success : on_failure).Notify();
  callback(std::move(outcome));
  if (succeeded && before == StoreReachability::kUnreachable) {
    on_recovered.Notify(now);
  }
}

StoreReachability StoreClient::SetReachability(StoreReachability reachability,
                                               const ExchangeOutcome& outcome) {
  bool reachable = reachability == StoreReachability::kReachable;
  if (!reachable) {
    metrics_.Increment("mangoyoke_store_failures_total");
  }
  StoreReachability before = std::exchange(reachability_, reachability);
  // That the first call succeeds is as expected.
  bool expected = before == StoreReachability::kUnknown && reachable;
  if (before == reachability || expected) {
    return before;
  }
  LogEvent event(reachable ? "store_regained" : "store_lost",
                 LogLevel::kWarning);
  event.Field("took_ms", ToMillis(outcome.elapsed));
  event.Field("timed_out", static_cast<int64_t>(outcome.timed_out));
  if (outcome.head) {
    event.Field("status", static_cast<int64_t>(outcome.head->result_int()));
  }
  return before;
}

}  // namespace mangoyoke
