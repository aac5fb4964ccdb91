// The client accounts of a serving configuration: API keys, quotas and
// priorities. An immutable value.

#ifndef MANGOYOKE_GATEWAY_CORE_CLIENT_ACCOUNTS_H_
#define MANGOYOKE_GATEWAY_CORE_CLIENT_ACCOUNTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangoyoke/plan.h"

namespace mangoyoke {

// What a quota counts.
enum class QuotaUnit {
  kRequests,
  kTokens,  // Of the prompt and the output, as the request states them.
};

// How much the requests of one account may use, over all instances together.
struct AccountQuota {
  QuotaUnit unit = QuotaUnit::kRequests;
  double rate_per_s = 0;  // 0: no limit.
  double burst = 0;       // Beyond the rate, in the same unit.
  // Tokens that a request counts as if it states none.
  double default_tokens = 0;

  bool operator==(const AccountQuota&) const = default;

  bool limited() const { return rate_per_s > 0; }
};

// One client account. Immutable.
struct ClientAccount {
  AccountId id;
  std::optional<int> priority;  // Takes precedence over that of the route.
  AccountQuota quota;

  bool operator==(const ClientAccount&) const = default;
};

// An account with the keys that authenticate its requests, as it was decoded.
struct AccountWithKeys {
  ClientAccount account;
  std::vector<std::string> keys;
  size_t unreadable_keys = 0;
  // Why the account cannot be read; empty if it can.
  std::string error;
};

// What is wrong with an account of a configuration. Names no key.
struct AccountProblem {
  AccountId account;  // Empty if its id cannot be read.
  std::string what;

  bool operator==(const AccountProblem&) const = default;
};

// All accounts of one revision of the configuration.
class ClientAccounts {
 public:
  // No accounts: requests need no key.
  ClientAccounts() = default;
  // Requests need a key, even if `accounts` is empty. An account that cannot be
  // read, or whose id an earlier one has, authenticates nobody; a key that two
  // accounts have authenticates neither.
  explicit ClientAccounts(std::vector<AccountWithKeys> accounts);

  bool operator==(const ClientAccounts&) const = default;

  // Whether requests need a key.
  bool required() const { return required_; }
  // The account that has `key`; null if there is none.
  const ClientAccount* FindByKey(std::string_view key) const;
  // Null if there is no such account.
  const ClientAccount* Find(const AccountId& id) const;
  const std::map<AccountId, ClientAccount>& accounts() const {
    return accounts_;
  }
  // For the log.
  const std::vector<AccountProblem>& problems() const { return problems_; }

 private:
  // Adds an account that can be read.
  void Add(AccountWithKeys entry);
  void AddKey(const AccountId& account, std::string_view key);

  bool required_ = false;
  std::map<AccountId, ClientAccount> accounts_;
  // By a keyed hash of the API key, so that the time of a look-up does not
  // depend on how much of a guessed key is right. Empty: several accounts have
  // the key.
  std::map<std::string, AccountId, std::less<>> account_by_key_hash_;
  std::vector<AccountProblem> problems_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_CLIENT_ACCOUNTS_H_
