// Token buckets of accounts and the verdicts on their requests.

#include "gateway/core/account_quotas.h"

#include <algorithm>
#include <cmath>

namespace mangoyoke {
namespace {

// Instances that are no longer members count for this long: those that are cut
// off may still serve, and those that were killed are soon back.
constexpr Duration kInstanceMemory = Seconds(30);
// After a longer time without a tick the process knows nothing of its peers.
constexpr Duration kLongestGap = Millis(1000);
// Time until admissions are known to all instances.
constexpr double kReportDelaySeconds = 0.3;
// A bucket that is not empty is used up in this time while its account demands
// more than its rate.
constexpr double kUseUpSeconds = 2;
// An account is tight if its bucket is about to be empty within this time.
constexpr double kTightSeconds = 3;
// Part of the slack by which buckets are larger than the burst, so that few
// large requests in a row are not refused to a small account.
constexpr double kSlackInBucket = 0.25;
// Debt of a bucket, as parts of the margin: up to the first, all of the rate is
// admitted; with the second, nothing.
constexpr double kFreeDebt = 0.25;
constexpr double kMostDebt = 0.9;
constexpr Duration kTightInterval = Millis(100);
// Average over which accounts that wait for servers are compared.
constexpr Duration kAverageTime = Seconds(5);
constexpr Duration kMeanUseInterval = Millis(100);
// Accounts whose demand in a sum is at most this share of their rate are left
// out of the sum.
constexpr double kNegligibleShare = 0.002;
constexpr double kProcessNumbers = 4294967296.0;
constexpr double kShortestRetryMs = 500;
constexpr double kLongestRetryMs = 5000;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// The integral over `elapsed` of a rate that is 1 at first and decays.
double DecayingSeconds(Duration elapsed) {
  return ToSeconds(kUseTimeConstant) * (1 - UseDecay(elapsed));
}

}  // namespace

AccountQuotas::AccountQuotas(std::function<double()> random,
                             QuotaOptions options)
    : random_(std::move(random)),
      process_(static_cast<uint32_t>(random_() * kProcessNumbers)),
      options_(options) {}

void AccountQuotas::SetOptions(const QuotaOptions& options) {
  options_ = options;
}

void AccountQuotas::SetAccounts(const ClientAccounts& accounts, TimePoint now) {
  AdvanceAll(now);
  std::erase_if(accounts_, [&accounts](const auto& entry) {
    return accounts.Find(entry.first) == nullptr;
  });
  for (const auto& [id, account] : accounts.accounts()) {
    auto [entry, added] = accounts_.try_emplace(id);
    Account& known = entry->second;
    known.quota = account.quota;
    known.bucket = std::min(known.bucket, Capacity(known));
    if (added) {
      known.at = now;
      UpdateReported(id, known, now);
    }
  }
}

void AccountQuotas::SetInstances(size_t instances, TimePoint now) {
  instance_counts_.emplace_back(now, std::max<size_t>(1, instances));
  UpdateShare(now);
}

void AccountQuotas::Tick(TimePoint now) {
  CheckGap(now);
  if (peers_.RemoveExpired(now)) {
    UpdateShare(now);
    AdvanceAll(now);
    for (auto& [id, account] : accounts_) {
      UpdateReported(id, account, now);
    }
  }
  if (now - tight_at_ >= kTightInterval) {
    tight_at_ = now;
    any_tight_ =
        std::any_of(accounts_.begin(), accounts_.end(),
                    [&](auto& entry) { return IsTight(entry.second, now); });
  }
}

void AccountQuotas::CheckGap(TimePoint now) {
  bool stood_still =
      last_tick_ != TimePoint() && now - last_tick_ > kLongestGap;
  last_tick_ = std::max(last_tick_, now);
  if (!stood_still || instance_counts_.empty() ||
      instance_counts_.back().second == 1) {
    return;
  }
  peers_.Clear();
  for (auto& [id, account] : accounts_) {
    account.own *= UseDecay(now - account.at);
    account.reported = ReportedUse{};
    account.bucket = std::min(account.bucket, 0.0);
    account.at = now;
  }
  UpdateShare(now);
}

double AccountQuotas::HeardShare(TimePoint now) const {
  size_t instances = 1;
  for (size_t i = 0; i < instance_counts_.size(); ++i) {
    bool current = i + 1 == instance_counts_.size();
    // A count applied until the next one was set.
    if (current || now - instance_counts_[i + 1].first <= kInstanceMemory) {
      instances = std::max(instances, instance_counts_[i].second);
    }
  }
  size_t heard = std::min(instances, 1 + peers_.instances());
  return static_cast<double>(heard) / static_cast<double>(instances);
}

void AccountQuotas::UpdateShare(TimePoint now) {
  while (instance_counts_.size() > 1 &&
         now - instance_counts_[1].first > kInstanceMemory) {
    instance_counts_.pop_front();
  }
  double share = HeardShare(now);
  if (share == heard_share_) {
    return;
  }
  AdvanceAll(now);
  heard_share_ = share;
  for (auto& [id, account] : accounts_) {
    account.bucket = std::min(account.bucket, Capacity(account));
  }
}

double AccountQuotas::Rate(const Account& account) const {
  return account.quota.rate_per_s * heard_share_;
}

double AccountQuotas::Capacity(const Account& account) const {
  return (account.quota.burst + kSlackInBucket * options_.slack) * heard_share_;
}

double AccountQuotas::Margin(const Account& account) const {
  double allowed = account.quota.rate_per_s * ToSeconds(options_.window) +
                   account.quota.burst;
  double slack = (1 - kSlackInBucket) * options_.slack;
  return (allowed * options_.overage + slack) * heard_share_;
}

void AccountQuotas::Advance(Account& account, TimePoint now) const {
  if (now <= account.at) {
    return;
  }
  Duration elapsed = now - account.at;
  double seconds = ToSeconds(elapsed);
  double decaying_seconds = DecayingSeconds(elapsed);
  double decay = UseDecay(elapsed);
  double peers = account.reported.decaying.admitted_per_s * decaying_seconds +
                 account.reported.held.admitted_per_s * seconds;
  double own = account.own.admitted_per_s * decaying_seconds;
  double rate = Rate(account);
  // Older admissions of peers do not matter to any window.
  double lowest = std::min(account.bucket, -rate * ToSeconds(options_.window));
  double bucket = account.bucket + rate * seconds - peers;
  account.bucket = std::min(std::max(bucket, lowest), Capacity(account));
  double average_decay = std::exp(-seconds / ToSeconds(kAverageTime));
  account.average_use = account.average_use * average_decay +
                        (own + peers) / seconds * (1 - average_decay);
  account.own *= decay;
  account.reported.decaying *= decay;
  account.at = now;
}

void AccountQuotas::AdvanceAll(TimePoint now) {
  for (auto& [id, account] : accounts_) {
    Advance(account, now);
  }
}

void AccountQuotas::UpdateReported(const AccountId& id,
                                   Account& account,
                                   TimePoint now) {
  account.reported = peers_.Of(id, now);
}

double AccountQuotas::Cost(const AccountQuota& quota,
                           int64_t prompt_tokens,
                           int64_t max_output_tokens) {
  if (quota.unit == QuotaUnit::kRequests) {
    return 1;
  }
  double stated = static_cast<double>(std::max<int64_t>(0, prompt_tokens)) +
                  static_cast<double>(std::max<int64_t>(0, max_output_tokens));
  return stated > 0 ? stated : quota.default_tokens;
}

double AccountQuotas::Demand(const Account& account) {
  return account.own.demanded_per_s + account.reported.decaying.demanded_per_s +
         account.reported.held.demanded_per_s;
}

double AccountQuotas::AdmittedShare(const Account& account) const {
  double rate = Rate(account);
  double demand = Demand(account);
  double peer_demand = demand - account.own.demanded_per_s;
  double reserve = std::max(0.0, peer_demand - rate) * kReportDelaySeconds;
  if (account.bucket > reserve) {
    return 1;
  }
  double share = demand > rate ? rate / demand : 1;
  if (account.bucket > 0) {
    return std::min(1.0, share * (1 + account.bucket / (rate * kUseUpSeconds)));
  }
  double margin = Margin(account);
  double over = -account.bucket - kFreeDebt * margin;
  if (over <= 0) {
    return share;
  }
  double most = (kMostDebt - kFreeDebt) * margin;
  return over < most ? share * (1 - over / most) : 0;
}

Duration AccountQuotas::RetryAfter(const Account& account, double cost) {
  double rate = Rate(account);
  double missing = cost + std::max(0.0, -account.bucket);
  double competition = std::max(1.0, Demand(account) / rate);
  double millis = std::clamp(1000 * missing / rate * competition,
                             kShortestRetryMs, kLongestRetryMs);
  return FromMillis(millis * (1 + random_()));
}

QuotaVerdict AccountQuotas::Admit(const AccountId& id,
                                  double cost,
                                  TimePoint now) {
  QuotaVerdict verdict;
  auto found = accounts_.find(id);
  if (found == accounts_.end()) {
    return verdict;
  }
  if (last_tick_ != TimePoint()) {
    CheckGap(now);
  }
  Account& account = found->second;
  Advance(account, now);
  if (account.quota.limited()) {
    double share = AdmittedShare(account);
    verdict.admitted = share >= 1 || random_() < share;
    verdict.limit_per_s = account.quota.rate_per_s;
    verdict.demanded_per_s = Demand(account);
    verdict.admitted_per_s = account.own.admitted_per_s +
                             account.reported.decaying.admitted_per_s +
                             account.reported.held.admitted_per_s;
    verdict.bucket = account.bucket;
    verdict.heard_share = heard_share_;
    if (!verdict.admitted) {
      verdict.oldest_report = now - peers_.OldestReport(now);
      verdict.retry_after = RetryAfter(account, cost);
    }
  }
  account.own.demanded_per_s += UseRate(cost);
  if (verdict.admitted) {
    account.own.admitted_per_s += UseRate(cost);
    account.admitted += cost;
    account.bucket -= cost;
  }
  account.changed = true;
  has_changes_ = true;
  return verdict;
}

void AccountQuotas::Refund(const AccountId& id, double cost, TimePoint now) {
  auto found = accounts_.find(id);
  if (found == accounts_.end()) {
    return;
  }
  Account& account = found->second;
  Advance(account, now);
  account.bucket = std::min(account.bucket + cost, Capacity(account));
  account.own.admitted_per_s -= UseRate(cost);  // May fall below 0.
  account.admitted -= cost;
  account.changed = true;
  has_changes_ = true;
}

void AccountQuotas::UpdatePeerUse(const InstanceId& source,
                                  const OwnUseReport& report,
                                  TimePoint now) {
  peers_.UpdateInstance(source, report, now);
  UpdateShare(now);
  for (const auto& [id, use] : report.use) {
    if (auto found = accounts_.find(id); found != accounts_.end()) {
      Advance(found->second, now);
      UpdateReported(id, found->second, now);
    }
  }
}

bool AccountQuotas::UpdatePeerSum(ReportScope scope,
                                  const std::string& source,
                                  const AccountUseReport& report,
                                  TimePoint now) {
  if (!peers_.UpdateSum(scope, source, report, now)) {
    return false;
  }
  UpdateShare(now);
  for (const auto& [id, account_use] : report.use) {
    if (auto found = accounts_.find(id); found != accounts_.end()) {
      Advance(found->second, now);
      UpdateReported(id, found->second, now);
    }
  }
  return true;
}

AccountUseReport AccountQuotas::Sum(ReportScope max_scope, TimePoint now) {
  AccountUseReport sum = peers_.Sum(max_scope, now);
  ++sum.instances;
  for (auto& [id, account] : accounts_) {
    Advance(account, now);
    sum.use[id] += account.own;
  }
  std::erase_if(sum.use, [this](const auto& entry) {
    auto found = accounts_.find(entry.first);
    return found == accounts_.end() ||
           entry.second.demanded_per_s <=
               kNegligibleShare * found->second.quota.rate_per_s;
  });
  return sum;
}

AccountUse AccountQuotas::LocalUse(const AccountId& id, TimePoint now) {
  auto found = accounts_.find(id);
  if (found == accounts_.end()) {
    return AccountUse{};
  }
  Advance(found->second, now);
  return found->second.own;
}

OwnUseReport AccountQuotas::TakeChanges(size_t max_accounts, TimePoint now) {
  OwnUseReport report;
  report.process = process_;
  has_changes_ = false;
  for (auto& [id, account] : accounts_) {
    if (!account.changed) {
      continue;
    }
    if (report.use.size() >= max_accounts) {
      has_changes_ = true;
      break;
    }
    account.changed = false;
    Advance(account, now);
    report.use[id] = OwnUse{account.own, account.admitted};
  }
  return report;
}

bool AccountQuotas::IsTight(Account& account, TimePoint now) const {
  Advance(account, now);
  double rate = Rate(account);
  double demand = Demand(account);
  if (!account.quota.limited() || demand < rate / 2) {
    return false;
  }
  return account.bucket < std::min(Capacity(account) / 4, rate / 2) ||
         account.bucket < (demand - rate) * kTightSeconds;
}

bool AccountQuotas::IsTight(const AccountId& id, TimePoint now) {
  auto found = accounts_.find(id);
  return found != accounts_.end() && IsTight(found->second, now);
}

void AccountQuotas::UpdateMeanUse(TimePoint now) {
  if (mean_use_at_ != TimePoint() && now - mean_use_at_ < kMeanUseInterval) {
    return;
  }
  mean_use_at_ = now;
  double use = 0;
  double limited_use = 0;
  double rates = 0;
  for (auto& [id, account] : accounts_) {
    Advance(account, now);
    use += account.average_use;
    if (account.quota.limited()) {
      limited_use += account.average_use;
      rates += account.quota.rate_per_s;
    }
  }
  mean_use_of_rate_ = rates > 0 ? limited_use / rates : 0;
  mean_use_ =
      accounts_.empty() ? 0 : use / static_cast<double>(accounts_.size());
}

double AccountQuotas::RelativeUse(const AccountId& id, TimePoint now) {
  auto found = accounts_.find(id);
  if (found == accounts_.end()) {
    return 1;
  }
  Account& account = found->second;
  Advance(account, now);
  UpdateMeanUse(now);
  double use = std::max(0.0, account.average_use);
  double mean = mean_use_;
  if (account.quota.limited()) {
    use /= account.quota.rate_per_s;
    mean = mean_use_of_rate_;
  }
  return mean > 0 ? use / mean : 1;
}

}  // namespace mangoyoke
