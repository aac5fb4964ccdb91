// Rendezvous hashing with XXH3 as the hash function.

#include "mangoyoke/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace mangoyoke {
namespace {

uint64_t Weight(std::string_view key, const std::string& member) {
  return XXH3_64bits_withSeed(member.data(), member.size(), StableHash(key));
}

}  // namespace

uint64_t StableHash(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> members) {
  std::sort(members.begin(), members.end(),
            [key](const std::string& left, const std::string& right) {
              return Weight(key, left) > Weight(key, right);
            });
  return members;
}

std::string RendezvousPick(std::string_view key,
                           const std::vector<std::string>& members) {
  std::string best;
  uint64_t best_weight = 0;
  for (const std::string& member : members) {
    uint64_t weight = Weight(key, member);
    if (best.empty() || weight > best_weight) {
      best = member;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace mangoyoke
