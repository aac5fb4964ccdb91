// Look-up of client accounts by their API keys.

#include "gateway/core/client_accounts.h"

#include <xxhash.h>

#include <array>
#include <random>
#include <utility>

namespace mangoyoke {
namespace {

using HashSecret = std::array<uint8_t, XXH3_SECRET_SIZE_MIN>;

// Differs in each process, so that nobody else can tell the hash of a key.
const HashSecret& ProcessSecret() {
  static const HashSecret secret = [] {
    HashSecret bytes;
    std::random_device random;
    for (uint8_t& byte : bytes) {
      byte = static_cast<uint8_t>(random());
    }
    return bytes;
  }();
  return secret;
}

std::string HashKey(std::string_view key) {
  const HashSecret& secret = ProcessSecret();
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(
      &canonical, XXH3_128bits_withSecret(key.data(), key.size(), secret.data(),
                                          secret.size()));
  return {std::begin(canonical.digest), std::end(canonical.digest)};
}

}  // namespace

ClientAccounts::ClientAccounts(std::vector<AccountWithKeys> accounts)
    : required_(true) {
  for (AccountWithKeys& entry : accounts) {
    if (!entry.error.empty()) {
      problems_.push_back({entry.account.id, std::move(entry.error)});
    } else if (entry.account.id.empty()) {
      problems_.push_back({"", "it has no id"});
    } else if (accounts_.contains(entry.account.id)) {
      problems_.push_back({entry.account.id, "an earlier account has its id"});
    } else {
      Add(std::move(entry));
    }
  }
}

void ClientAccounts::Add(AccountWithKeys entry) {
  const AccountId id = entry.account.id;
  accounts_.emplace(id, std::move(entry.account));
  if (entry.unreadable_keys > 0) {
    problems_.push_back(
        {id, std::to_string(entry.unreadable_keys) + " keys cannot be read"});
  }
  if (entry.keys.empty()) {
    problems_.push_back({id, "it has no key"});
  }
  for (const std::string& key : entry.keys) {
    AddKey(id, key);
  }
}

void ClientAccounts::AddKey(const AccountId& account, std::string_view key) {
  auto [found, added] = account_by_key_hash_.emplace(HashKey(key), account);
  if (added || found->second == account) {
    return;
  }
  std::string other = found->second.empty() ? "others" : found->second;
  problems_.push_back({account, "it shares a key with " + other});
  found->second.clear();
}

const ClientAccount* ClientAccounts::FindByKey(std::string_view key) const {
  auto found = account_by_key_hash_.find(HashKey(key));
  return found == account_by_key_hash_.end() ? nullptr : Find(found->second);
}

const ClientAccount* ClientAccounts::Find(const AccountId& id) const {
  auto found = accounts_.find(id);
  return found == accounts_.end() ? nullptr : &found->second;
}

}  // namespace mangoyoke
