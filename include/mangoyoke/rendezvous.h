// Rendezvous (highest random weight) hashing: all who know the same members
// pick the same ones, and a change of members moves only what it must.

#ifndef MANGOYOKE_RENDEZVOUS_H_
#define MANGOYOKE_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mangoyoke {

// 64-bit hash of `text`, the same in every process.
uint64_t StableHash(std::string_view text);

// `members` ordered by falling weight for `key`.
std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> members);

// The member with the highest weight for `key`; empty if there is none.
std::string RendezvousPick(std::string_view key,
                           const std::vector<std::string>& members);

}  // namespace mangoyoke

#endif  // MANGOYOKE_RENDEZVOUS_H_
