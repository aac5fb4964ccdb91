// An index of the prompt prefixes in the KV cache of each prefill server. It is
// built from cache events, which may come late or get lost, and from the
// prompts sent to the servers. It is only a hint: a wrong entry costs time, not
// correctness.

#ifndef MANGOYOKE_PREFIX_INDEX_H_
#define MANGOYOKE_PREFIX_INDEX_H_

#include <cstdint>
#include <list>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mangoyoke/plan.h"

namespace mangoyoke {

// Model servers cache prompts in blocks of about 1000 tokens.
inline constexpr int64_t kBytesPerToken = 4;
inline constexpr int64_t kBlockTokens = 1000;

// Returns the number of tokens in `text`, estimated from its size and rounded
// up.
int64_t EstimateTokens(std::string_view text);

// Returns one hash for each whole block of `prompt`. It covers the text from
// the start of the prompt to the end of the block, so that equal hashes mean
// equal prefixes.
std::vector<uint64_t> PrefixHashes(std::string_view prompt);

// The blocks held by each server, up to a limit. Not thread-safe.
class PrefixIndex {
 public:
  // `max_blocks`: limit of blocks kept for each server. The oldest are dropped.
  explicit PrefixIndex(size_t max_blocks) : max_blocks_(max_blocks) {}

  // Records that the server holds the block or will soon do.
  void Add(const BackendId& id, uint64_t hash);
  // Records that the server evicted the block.
  void Remove(const BackendId& id, uint64_t hash);
  // Deletes all blocks of the server. To be called when cache events were lost
  // or the server restarted.
  void Clear(const BackendId& id);

  // Returns the number of tokens in the longest prefix of the blocks `hashes`
  // that the server is known to hold.
  int64_t HitTokens(const BackendId& id,
                    const std::vector<uint64_t>& hashes) const;

 private:
  struct Blocks {
    std::list<uint64_t> order;  // Oldest first.
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> by_hash;
  };

  size_t max_blocks_;
  std::map<BackendId, Blocks> servers_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_PREFIX_INDEX_H_
