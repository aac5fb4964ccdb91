// Charges, refusals and metrics of accounts.

#include "gateway/traffic/account_gate.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/log.h"

namespace mangoyoke {
namespace {

constexpr size_t kMaxNamedAccounts = 16;
constexpr char kOtherAccounts[] = "others";

// The accounts with the highest limits.
std::set<AccountId> LargestAccounts(const ClientAccounts& accounts) {
  std::vector<std::pair<double, AccountId>> by_rate;
  for (const auto& [id, account] : accounts.accounts()) {
    by_rate.emplace_back(account.quota.rate_per_s, id);
  }
  size_t count = std::min(by_rate.size(), kMaxNamedAccounts);
  std::partial_sort(by_rate.begin(),
                    by_rate.begin() + static_cast<ptrdiff_t>(count),
                    by_rate.end(), std::greater<>());
  std::set<AccountId> largest;
  for (size_t i = 0; i < count; ++i) {
    largest.insert(by_rate[i].second);
  }
  return largest;
}

void LogRefusal(const CallerRequest& caller_request,
                const AccountId& account,
                double cost,
                const QuotaVerdict& verdict) {
  LogEvent("quota_refused", LogLevel::kWarning)
      .Field("request", caller_request.id)
      .Field("account", account)
      .Field("cost", cost)
      .Field("limit_per_s", verdict.limit_per_s)
      .Field("demanded_per_s", verdict.demanded_per_s)
      .Field("admitted_per_s", verdict.admitted_per_s)
      .Field("bucket", verdict.bucket)
      .Field("heard_share", verdict.heard_share)
      .Field("oldest_report_ms", ToMillis(verdict.oldest_report))
      .Field("retry_after_ms", ToMillis(verdict.retry_after));
}

}  // namespace

std::string AccountGate::Label(const AccountId& account) {
  if (named_for_ != context_.config) {
    named_for_ = context_.config;
    named_ = LargestAccounts(named_for_->accounts());
  }
  return named_.contains(account) ? account : kOtherAccounts;
}

std::variant<QuotaCharge, QuotaRefusal> AccountGate::Charge(
    const CallerRequest& caller_request,
    const ClientAccount* account) {
  if (account == nullptr) {
    return QuotaCharge{};
  }
  double cost =
      AccountQuotas::Cost(account->quota, caller_request.prompt_tokens,
                          caller_request.max_output_tokens);
  QuotaVerdict verdict =
      context_.quotas.Admit(account->id, cost, SteadyClock::now());
  if (verdict.admitted) {
    context_.metrics.Increment("mangoyoke_account_requests_total", "account",
                               Label(account->id));
    return QuotaCharge{account->id, cost};
  }
  context_.metrics.Increment("mangoyoke_quota_refusals_total", "account",
                             Label(account->id));
  LogRefusal(caller_request, account->id, cost, verdict);
  return QuotaRefusal{verdict.retry_after};
}

}  // namespace mangoyoke
