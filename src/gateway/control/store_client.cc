// Calls to the store on kept connections.

#include "gateway/control/store_client.h"

#include <boost/asio/post.hpp>

#include "base/log.h"

namespace mangoyoke {
namespace {

constexpr unsigned kTooManyCalls = 429;
constexpr unsigned kServerErrors = 500;

// Whether the store itself spoke, rather than turned this instance away.
bool Answered(const ExchangeOutcome& outcome) {
  return outcome.result == ExchangeResult::kComplete &&
         outcome.head->result_int() < kServerErrors &&
         outcome.head->result_int() != kTooManyCalls;
}

}  // namespace

StoreClient::StoreClient(boost::asio::io_context& io,
                         std::string address,
                         Metrics& metrics)
    : io_(io),
      address_(std::move(address)),
      metrics_(metrics),
      pool_(io, nullptr) {}

StoreClient::~StoreClient() = default;

uint64_t StoreClient::Call(HttpRequest request,
                           Duration limit,
                           Callback callback) {
  uint64_t id = next_id_++;
  metrics_.Increment("mangoyoke_store_calls_total");
  ExchangeCallbacks callbacks;
  callbacks.on_end = [this, id,
                      callback = std::move(callback)](ExchangeOutcome outcome) {
    Ended(id, std::move(outcome), callback);
  };
  auto& call = *calls_.emplace(id, std::make_unique<TimedExchange>(io_, pool_))
                    .first->second;
  call.Start(address_, std::move(request), "", false, limit,
             std::move(callbacks));
  return id;
}

void StoreClient::Ended(uint64_t id,
                        ExchangeOutcome outcome,
                        const Callback& callback) {
  boost::asio::post(io_, [this, id] { calls_.erase(id); });
  bool answered = Answered(outcome);
  bool changed = SetReachable(answered, outcome);
  (answered ? on_answer : on_failure).Notify();
  callback(std::move(outcome));
  if (answered && changed) {
    on_regained.Notify();
  }
}

bool StoreClient::SetReachable(bool reachable, const ExchangeOutcome& outcome) {
  if (!reachable) {
    metrics_.Increment("mangoyoke_store_failures_total");
  }
  if (std::exchange(reachable_, reachable) == reachable) {
    return false;
  }
  LogEvent line(reachable ? "store_regained" : "store_lost",
                LogLevel::kWarning);
  line.Field("took_ms", ToMillis(outcome.elapsed));
  line.Field("timed_out", static_cast<int64_t>(outcome.timed_out));
  if (outcome.head) {
    line.Field("status", static_cast<int64_t>(outcome.head->result_int()));
  }
  return true;
}

}  // namespace mangoyoke
