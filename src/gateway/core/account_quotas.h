// Quotas of client accounts, over all instances together.
//
// Each instance keeps an estimate of every account's token bucket: refilled at
// the account's rate, drained by its own admissions at once and by those of its
// peers at the rates that they report. While an account demands more than its
// rate and its bucket is empty, each instance admits the same share of the
// requests that it gets, so that all together stay at the rate. Instances that
// are not heard of count as using their part of the rate: those that hear
// nothing share one rate as well as those that hear each other.
//
// A process that has just started begins with an empty bucket, and so does one
// that stood still, for the time of which it knows nothing.

#ifndef MANGOYOKE_GATEWAY_CORE_ACCOUNT_QUOTAS_H_
#define MANGOYOKE_GATEWAY_CORE_ACCOUNT_QUOTAS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "gateway/core/account_use.h"
#include "gateway/core/client_accounts.h"
#include "gateway/core/peer_account_use.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {

// How far the admissions of an account may exceed its quota. In any window they
// are at most (rate x window + burst) x (1 + overage) + slack.
struct QuotaOptions {
  Duration window = Seconds(8);
  double overage = 0.1;
  double slack = 0;  // In units of the quota.

  bool operator==(const QuotaOptions&) const = default;
};

// Whether a request is within its account's quota.
struct QuotaVerdict {
  bool admitted = true;
  // If not admitted: when the bucket is expected to have room.
  Duration retry_after{};
  // What the verdict is based on, for the log.
  double limit_per_s = 0;
  double demanded_per_s = 0;  // By all instances, as far as known.
  double admitted_per_s = 0;
  double bucket = 0;
  double heard_share = 1;  // Part of the instances that reported lately.
  Duration oldest_report{};

  bool operator==(const QuotaVerdict&) const = default;
};

// Used on one thread only.
class AccountQuotas {
 public:
  // `random` must return numbers in [0, 1).
  explicit AccountQuotas(std::function<double()> random,
                         QuotaOptions options = {});

  void SetOptions(const QuotaOptions& options);
  // Takes over the accounts of a new configuration. What is known of the use of
  // accounts that remain is kept; a lower limit applies at once.
  void SetAccounts(const ClientAccounts& accounts, TimePoint now);
  // Sets the number of instances, this one included. A higher earlier number
  // applies for a while, since instances that are cut off may still serve.
  void SetInstances(size_t instances, TimePoint now);
  // Has to be called often, so that times at which the process stood still are
  // noticed.
  void Tick(TimePoint now);

  // What a request counts as, in units of the quota.
  static double Cost(const AccountQuota& quota,
                     int64_t prompt_tokens,
                     int64_t max_output_tokens);
  // Decides on a request of `account` that counts as `cost`, and charges it if
  // it is admitted.
  QuotaVerdict Admit(const AccountId& account, double cost, TimePoint now);
  // Takes back the charge of a request that was refused later and has not run.
  void Refund(const AccountId& account, double cost, TimePoint now);

  // This instance's recent use of `account`.
  AccountUse LocalUse(const AccountId& account, TimePoint now);
  // Whether there are accounts at all.
  bool active() const { return !accounts_.empty(); }
  // See PeerAccountUse.
  void UpdatePeerUse(const InstanceId& source,
                     const OwnUseReport& report,
                     TimePoint now);
  // Returns false if the report is ignored.
  bool UpdatePeerSum(ReportScope scope,
                     const std::string& source,
                     const AccountUseReport& report,
                     TimePoint now);
  const PeerAccountUse& peers() const { return peers_; }
  // The use at this instance and in reports of up to `max_scope`; that of
  // accounts without use is left out.
  AccountUseReport Sum(ReportScope max_scope, TimePoint now);
  // This instance's use of accounts that had requests since this was last
  // called for them. With more than `max_accounts`, the rest is left for the
  // next call.
  OwnUseReport TakeChanges(size_t max_accounts, TimePoint now);
  bool has_changes() const { return has_changes_; }
  // Whether the use of `account` is about to exceed its quota, so that reports
  // on it are urgent.
  bool IsTight(const AccountId& account, TimePoint now);
  // Whether that is so for any account. Updated by Tick().
  bool any_tight() const { return any_tight_; }

  // Use of `account` by all instances relative to its rate, and that relative
  // to the same of all accounts together: 1 for one that uses its quota like
  // the others. Orders accounts that wait for the same servers.
  double RelativeUse(const AccountId& account, TimePoint now);

 private:
  struct Account {
    AccountQuota quota;
    // Of the instances that this one hears. Up to Capacity(); negative after
    // admissions that were reported late.
    double bucket = 0;
    AccountUse own;          // Decays.
    double admitted = 0;     // Here, since the start of the process.
    ReportedUse reported;    // By peers.
    double average_use = 0;  // Admitted per second, over a longer time.
    TimePoint at;            // All of the above.
    bool changed = false;    // Requests since the last TakeChanges().
  };

  // Part of the instances that this one hears, itself included.
  double HeardShare(TimePoint now) const;
  // Has to follow each change of what HeardShare() depends on.
  void UpdateShare(TimePoint now);
  // The part of a quota that is for the instances which this one hears.
  double Rate(const Account& account) const;
  double Capacity(const Account& account) const;
  // What they may admit beyond it within a window.
  double Margin(const Account& account) const;
  // Brings `account` up to `now`.
  void Advance(Account& account, TimePoint now) const;
  void AdvanceAll(TimePoint now);
  // Takes over what peers report on `account` now.
  void UpdateReported(const AccountId& id, Account& account, TimePoint now);
  // Forgets what it cannot know if the process stood still.
  void CheckGap(TimePoint now);
  // Share of the requests to be admitted now.
  double AdmittedShare(const Account& account) const;
  static double Demand(const Account& account);
  bool IsTight(Account& account, TimePoint now) const;
  Duration RetryAfter(const Account& account, double cost);
  // Updates mean_use_of_rate_ (use of all accounts with a rate, as a share of
  // their rates) and mean_use_ (use of the average account).
  void UpdateMeanUse(TimePoint now);

  std::function<double()> random_;
  uint32_t process_;  // Random; differs after a restart.
  QuotaOptions options_;
  std::map<AccountId, Account> accounts_;
  PeerAccountUse peers_;
  // Numbers of instances with the time each was set, oldest first.
  std::deque<std::pair<TimePoint, size_t>> instance_counts_;
  double heard_share_ = 1;
  TimePoint last_tick_{};
  bool has_changes_ = false;
  bool any_tight_ = false;
  TimePoint tight_at_{};  // When `any_tight_` was updated.
  TimePoint mean_use_at_{};
  double mean_use_of_rate_ = 0;
  double mean_use_ = 0;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_ACCOUNT_QUOTAS_H_
