// Rendezvous (highest random weight) hashing: all processes with the same list
// of members assign a key to the same member, and when a member is added or
// removed only the keys that it gains or loses move.

#ifndef MANGOYOKE_RENDEZVOUS_H_
#define MANGOYOKE_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mangoyoke {

// Returns a 64-bit hash of `text` that is the same in every process.
uint64_t StableHash(std::string_view text);

// Returns `members` by decreasing weight for `key`.
std::vector<std::string> RendezvousOrder(std::string_view key,
                                         std::vector<std::string> members);

// Returns the member with the highest weight for `key`, or an empty string if
// `members` is empty.
std::string RendezvousPick(std::string_view key,
                           const std::vector<std::string>& members);

}  // namespace mangoyoke

#endif  // MANGOYOKE_RENDEZVOUS_H_
