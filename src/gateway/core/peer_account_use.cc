// Bookkeeping of reports on the use of accounts.

#include "gateway/core/peer_account_use.h"

#include <algorithm>

namespace mangoyoke {
namespace {

// While the last sum is younger, one that covers fewer instances is ignored:
// its sender has just started or lost touch with the others.
constexpr Duration kPreferWiderSum = Millis(600);
// Accounts that a sum does not name any more are forgotten after this time.
// Longer than it takes to name all accounts in turn.
constexpr Duration kUseTtl = Seconds(15);
// Accounts kept of one source; more are ignored.
constexpr size_t kMaxAccounts = 4096;

}  // namespace

AccountUse PeerAccountUse::UseAt(ReportScope scope,
                                 const Entry& entry,
                                 TimePoint now) {
  AccountUse use = entry.use;
  if (scope == ReportScope::kInstance) {
    use *= UseDecay(now - entry.at);
  }
  return use;
}

void PeerAccountUse::UpdateInstance(const InstanceId& source,
                                    const OwnUseReport& own,
                                    TimePoint now) {
  Report& report = reports_[{ReportScope::kInstance, source}];
  if (report.process != own.process) {
    report.use.clear();
  }
  report.instances = 1;
  report.process = own.process;
  report.at = now;
  for (const auto& [account, use] : own.use) {
    auto found = report.use.find(account);
    AccountUse recent = use.recent;
    if (found != report.use.end()) {
      recent.admitted_per_s =
          UseAt(ReportScope::kInstance, found->second, now).admitted_per_s +
          UseRate(use.admitted - found->second.admitted);
    } else if (report.use.size() >= kMaxAccounts) {
      continue;
    }
    report.use[account] = Entry{recent, now, use.admitted};
  }
}

bool PeerAccountUse::UpdateSum(ReportScope scope,
                               const std::string& source,
                               const AccountUseReport& sum,
                               TimePoint now) {
  Report& report = reports_[{scope, source}];
  if (sum.instances < report.instances && now - report.at < kPreferWiderSum) {
    return false;
  }
  report.instances = sum.instances;
  report.at = now;
  if (sum.complete) {
    report.use.clear();
  }
  for (const auto& [account, use] : sum.use) {
    if (report.use.size() < kMaxAccounts || report.use.contains(account)) {
      report.use[account] = Entry{use, now, 0};
    }
  }
  return true;
}

bool PeerAccountUse::RemoveExpired(TimePoint now) {
  size_t removed = std::erase_if(reports_, [now](const auto& entry) {
    return now - entry.second.at > kTtls.Of(entry.first.first);
  });
  for (auto& [key, report] : reports_) {
    std::erase_if(report.use, [now](const auto& entry) {
      return now - entry.second.at > kUseTtl;
    });
  }
  return removed > 0;
}

void PeerAccountUse::Clear() {
  reports_.clear();
}

ReportedUse PeerAccountUse::Of(const AccountId& account, TimePoint now) const {
  ReportedUse reported;
  for (const auto& [key, report] : reports_) {
    if (auto found = report.use.find(account); found != report.use.end()) {
      bool decays = key.first == ReportScope::kInstance;
      (decays ? reported.decaying : reported.held) +=
          UseAt(key.first, found->second, now);
    }
  }
  return reported;
}

size_t PeerAccountUse::instances() const {
  size_t instances = 0;
  for (const auto& [key, report] : reports_) {
    instances += report.instances;
  }
  return instances;
}

AccountUseReport PeerAccountUse::Sum(ReportScope max_scope,
                                     TimePoint now) const {
  AccountUseReport sum;
  for (const auto& [key, report] : reports_) {
    if (key.first > max_scope) {
      break;  // Ordered by scope.
    }
    sum.instances += report.instances;
    for (const auto& [account, entry] : report.use) {
      sum.use[account] += UseAt(key.first, entry, now);
    }
  }
  return sum;
}

TimePoint PeerAccountUse::OldestReport(TimePoint now) const {
  TimePoint oldest = now;
  for (const auto& [key, report] : reports_) {
    oldest = std::min(oldest, report.at);
  }
  return oldest;
}

std::optional<TimePoint> PeerAccountUse::LastSum(
    ReportScope scope,
    const std::string& source) const {
  auto found = reports_.find({scope, source});
  if (found == reports_.end()) {
    return std::nullopt;
  }
  return found->second.at;
}

}  // namespace mangoyoke
