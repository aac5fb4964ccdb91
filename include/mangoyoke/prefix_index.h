// Which prompt prefixes each prefill server holds, from late and gapped cache
// events and from what was sent there. A hint: a wrong entry costs time, not
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

// Engines cache prompts in blocks of about a thousand tokens.
inline constexpr int64_t kBytesPerToken = 4;
inline constexpr int64_t kBlockTokens = 1000;

// Tokens in `text`, estimated from its size.
int64_t EstimateTokens(std::string_view text);

// One hash for each whole block of `prompt`; each covers all text up to the
// block's end, so equal hashes mean equal prefixes.
std::vector<uint64_t> PrefixHashes(std::string_view prompt);

class PrefixIndex {
 public:
  // `max_blocks`: blocks remembered for each server.
  explicit PrefixIndex(size_t max_blocks) : max_blocks_(max_blocks) {}

  // The server holds, or will soon hold, the block.
  void Add(const BackendId& id, uint64_t hash);
  // The server dropped the block.
  void Remove(const BackendId& id, uint64_t hash);
  // Events were lost, or the server restarted: nothing is known of it.
  void Clear(const BackendId& id);

  // Tokens of the longest known prefix of `hashes` on the server.
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
