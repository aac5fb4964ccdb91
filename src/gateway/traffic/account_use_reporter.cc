// Reports as MessagePack. A sum is an array of its kind, scope, source (a cell
// or zone), whether it was passed on, whether it is complete, the number of
// instances and the use by account: arrays of what is demanded and admitted, in
// units of the quota per second. The part of an instance in its load report is
// an array of its process and the use by account, with the total admitted.

#include "gateway/traffic/account_use_reporter.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace mangoyoke {
namespace {

using Json = nlohmann::json;

// Least time between two sums that this instance sends, and between two sums of
// one source that it passes on to its cell. The urgent ones apply while an
// account is about to exceed its quota.
constexpr Duration kSumInterval = Millis(400);
constexpr Duration kUrgentSumInterval = Millis(120);
constexpr Duration kRelayInterval = Millis(700);
constexpr Duration kUrgentRelayInterval = Millis(100);
// Least time since the last own part after which changed use alone makes a
// report due.
constexpr Duration kOwnPartDelay = Millis(100);
// Accounts in one sum. Each takes about 30 bytes.
constexpr size_t kMaxAccountsInSum = 32;
// Accounts in the part of a report of load.
constexpr size_t kMaxAccountsInOwnPart = 32;
// Accounts read from one report, and bytes in their ids.
constexpr size_t kMaxAccountsRead = 1024;
constexpr size_t kMaxAccountIdBytes = 256;
constexpr size_t kMaxInstances = 100'000;
// Larger rates are taken for this one.
constexpr double kHighestRate = 1e12;

// As a float of 32 bits, which MessagePack encodes in 5 bytes.
double Rounded(double rate) {
  return static_cast<double>(
      static_cast<float>(std::clamp(rate, 0.0, kHighestRate)));
}

Json EncodeUse(const UseByAccount& use) {
  Json encoded = Json::object();
  for (const auto& [account, account_use] : use) {
    encoded[account] = Json::array({Rounded(account_use.demanded_per_s),
                                    Rounded(account_use.admitted_per_s)});
  }
  return encoded;
}

// A rate that a peer named; 0 if it is no number or negative.
double DecodeRate(const Json& encoded) {
  auto rate = encoded.get<double>();
  return std::isnan(rate) ? 0 : std::clamp(rate, 0.0, kHighestRate);
}

UseByAccount DecodeUse(const Json& encoded) {
  UseByAccount use;
  for (const auto& [account, item] : encoded.items()) {
    if (use.size() >= kMaxAccountsRead) {
      break;
    }
    if (account.size() <= kMaxAccountIdBytes) {
      use[account] = AccountUse{DecodeRate(item.at(0)), DecodeRate(item.at(1))};
    }
  }
  return use;
}

Json EncodeOwnUse(const OwnUseReport& report) {
  Json encoded = Json::object();
  for (const auto& [account, use] : report.use) {
    encoded[account] =
        Json::array({Rounded(use.recent.demanded_per_s),
                     Rounded(use.recent.admitted_per_s), use.admitted});
  }
  return Json::array({report.process, std::move(encoded)});
}

OwnUseReport DecodeOwnUse(const Json& encoded) {
  OwnUseReport report;
  report.process = encoded.at(0).get<uint32_t>();
  for (const auto& [account, item] : encoded.at(1).items()) {
    if (report.use.size() >= kMaxAccountsRead) {
      break;
    }
    if (account.size() <= kMaxAccountIdBytes) {
      report.use[account] =
          OwnUse{{DecodeRate(item.at(0)), DecodeRate(item.at(1))},
                 DecodeRate(item.at(2))};
    }
  }
  return report;
}

size_t DecodeInstances(const Json& encoded) {
  auto instances = encoded.get<double>();
  return std::isnan(instances)
             ? 0
             : static_cast<size_t>(std::clamp(
                   instances, 0.0, static_cast<double>(kMaxInstances)));
}

}  // namespace

AccountUseReporter::AccountUseReporter(AccountQuotas& quotas,
                                       std::function<double()> random,
                                       SendFunction send)
    : quotas_(quotas), random_(std::move(random)), send_(std::move(send)) {}

void AccountUseReporter::SetPeers(ReportEndpoints endpoints) {
  endpoints_ = std::move(endpoints);
}

void AccountUseReporter::Tick(TimePoint now) {
  quotas_.Tick(now);
  if (!quotas_.active()) {
    return;
  }
  Duration interval = quotas_.any_tight() ? kUrgentSumInterval : kSumInterval;
  if (now - last_cell_sum_ >= interval) {
    last_cell_sum_ = now;
    SendSum(ReportScope::kInstance, ReportScope::kCell, endpoints_.cell,
            endpoints_.zone_peers, now);
  }
  if (now - last_zone_sum_ >= interval) {
    last_zone_sum_ = now;
    SendSum(ReportScope::kCell, ReportScope::kZone, endpoints_.zone,
            endpoints_.remote_peers, now);
  }
}

bool AccountUseReporter::OwnPartDue(TimePoint now) const {
  return quotas_.has_changes() && now - last_own_part_ >= kOwnPartDelay;
}

Json AccountUseReporter::OwnPart(TimePoint now) {
  if (!quotas_.active()) {
    return nullptr;
  }
  last_own_part_ = now;
  return EncodeOwnUse(quotas_.TakeChanges(kMaxAccountsInOwnPart, now));
}

void AccountUseReporter::ApplyOwnPart(const InstanceId& source,
                                      const Json& part,
                                      TimePoint now) {
  if (quotas_.active()) {
    quotas_.UpdatePeerUse(source, DecodeOwnUse(part), now);
  }
}

void AccountUseReporter::SendSum(ReportScope max_scope,
                                 ReportScope scope,
                                 const std::string& source,
                                 const ReportEndpoints::Endpoints& peers,
                                 TimePoint now) {
  if (peers.empty()) {
    return;
  }
  AccountUseReport sum = quotas_.Sum(max_scope, now);
  Shorten(sum, now);
  auto index =
      static_cast<size_t>(random_() * static_cast<double>(peers.size()));
  send_(Encode(scope, source, sum, false),
        peers[std::min(index, peers.size() - 1)]);
}

void AccountUseReporter::Shorten(AccountUseReport& report, TimePoint now) {
  if (report.use.size() <= kMaxAccountsInSum) {
    return;
  }
  report.complete = false;
  UseByAccount chosen;
  for (const auto& [account, use] : report.use) {
    if (chosen.size() < kMaxAccountsInSum / 2 &&
        quotas_.IsTight(account, now)) {
      chosen.emplace(account, use);
    }
  }
  auto next = report.use.upper_bound(last_sent_);
  while (chosen.size() < kMaxAccountsInSum) {
    if (next == report.use.end()) {
      next = report.use.begin();
    }
    chosen.insert(*next);
    last_sent_ = next->first;
    ++next;
  }
  report.use = std::move(chosen);
}

std::vector<uint8_t> AccountUseReporter::Encode(ReportScope scope,
                                                const std::string& source,
                                                const AccountUseReport& report,
                                                bool relayed) const {
  return Json::to_msgpack(
      Json::array({kind(), scope, source, relayed, report.complete,
                   report.instances, EncodeUse(report.use)}));
}

void AccountUseReporter::Apply(const Json& report, TimePoint now) {
  if (!quotas_.active()) {
    return;
  }
  bool zone = report.at(1).get<int>() == static_cast<int>(ReportScope::kZone);
  ReportScope scope = zone ? ReportScope::kZone : ReportScope::kCell;
  auto source = report.at(2).get<std::string>();
  // A peer may still have an older list of members and then send a sum that
  // includes this instance.
  if (source == (zone ? endpoints_.zone : endpoints_.cell)) {
    return;
  }
  AccountUseReport sum;
  bool relayed = report.at(3).get<bool>();
  sum.complete = report.at(4).get<bool>();
  sum.instances = DecodeInstances(report.at(5));
  sum.use = DecodeUse(report.at(6));
  auto last = quotas_.peers().LastSum(scope, source);
  if (!quotas_.UpdatePeerSum(scope, source, sum, now) || relayed) {
    return;
  }
  Duration interval =
      quotas_.any_tight() ? kUrgentRelayInterval : kRelayInterval;
  if (last && now - *last < interval) {
    return;
  }
  std::vector<uint8_t> copy = Encode(scope, source, sum, true);
  for (const auto& peer : endpoints_.cell_peers) {
    send_(copy, peer);
  }
}

}  // namespace mangoyoke
