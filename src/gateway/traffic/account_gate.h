// Checks requests of client accounts against their quotas, with logs and
// metrics.

#ifndef MANGOYOKE_GATEWAY_TRAFFIC_ACCOUNT_GATE_H_
#define MANGOYOKE_GATEWAY_TRAFFIC_ACCOUNT_GATE_H_

#include <memory>
#include <set>
#include <string>
#include <variant>

#include "gateway/core/client_accounts.h"
#include "gateway/core/codecs.h"
#include "gateway/traffic/traffic_context.h"

namespace mangoyoke {

// What a request was charged with. Empty without an account.
struct QuotaCharge {
  AccountId account;
  double cost = 0;

  bool operator==(const QuotaCharge&) const = default;
};

// A request that is beyond its account's quota.
struct QuotaRefusal {
  Duration retry_after{};

  bool operator==(const QuotaRefusal&) const = default;
};

// Used on the traffic thread only.
class AccountGate {
 public:
  explicit AccountGate(TrafficContext& context) : context_(context) {}

  // Charges the account of a request with it. A refusal if it is beyond the
  // quota; nothing was charged then. `account`: null if the request has none.
  std::variant<QuotaCharge, QuotaRefusal> Charge(
      const CallerRequest& caller_request,
      const ClientAccount* account);

 private:
  // The label of `account` in metrics.
  std::string Label(const AccountId& account);

  TrafficContext& context_;
  // Accounts with metrics of their own: the largest ones of the configuration
  // `named_for_`.
  std::set<AccountId> named_;
  std::shared_ptr<const ServingConfig> named_for_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_TRAFFIC_ACCOUNT_GATE_H_
