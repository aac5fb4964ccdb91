// Prefix hashes, and for each server an LRU set of the block hashes it holds.

#include "mangoyoke/prefix_index.h"

#include <xxhash.h>

namespace mangoyoke {

int64_t EstimateTokens(std::string_view text) {
  auto bytes = static_cast<int64_t>(text.size());
  return (bytes + kBytesPerToken - 1) / kBytesPerToken;
}

std::vector<uint64_t> PrefixHashes(std::string_view prompt) {
  constexpr size_t kBlockBytes = kBlockTokens * kBytesPerToken;
  std::vector<uint64_t> hashes;
  uint64_t previous = 0;
  for (size_t end = kBlockBytes; end <= prompt.size(); end += kBlockBytes) {
    // Seeded with the previous block's hash, each hash covers the whole prefix.
    previous = XXH3_64bits_withSeed(prompt.data() + end - kBlockBytes,
                                    kBlockBytes, previous);
    hashes.push_back(previous);
  }
  return hashes;
}

void PrefixIndex::Add(const BackendId& id, uint64_t hash) {
  Blocks& blocks = servers_[id];
  Remove(id, hash);
  blocks.order.push_back(hash);
  blocks.by_hash[hash] = std::prev(blocks.order.end());
  if (blocks.order.size() > max_blocks_) {
    blocks.by_hash.erase(blocks.order.front());
    blocks.order.pop_front();
  }
}

void PrefixIndex::Remove(const BackendId& id, uint64_t hash) {
  auto server = servers_.find(id);
  if (server == servers_.end()) {
    return;
  }
  Blocks& blocks = server->second;
  if (auto it = blocks.by_hash.find(hash); it != blocks.by_hash.end()) {
    blocks.order.erase(it->second);
    blocks.by_hash.erase(it);
  }
}

void PrefixIndex::Clear(const BackendId& id) {
  servers_.erase(id);
}

int64_t PrefixIndex::HitTokens(const BackendId& id,
                               const std::vector<uint64_t>& hashes) const {
  auto server = servers_.find(id);
  if (server == servers_.end()) {
    return 0;
  }
  int64_t tokens = 0;
  for (uint64_t hash : hashes) {
    if (!server->second.by_hash.contains(hash)) {
      break;
    }
    tokens += kBlockTokens;
  }
  return tokens;
}

}  // namespace mangoyoke
