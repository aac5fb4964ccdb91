// Deterministic output of the simulated LLM server. Clients use it to check
// that a response is complete and belongs to their prompt.

#ifndef MANGOYOKE_STANDINS_TOKEN_TEXT_H_
#define MANGOYOKE_STANDINS_TOKEN_TEXT_H_

#include <cstdint>
#include <string>

#include "mangoyoke/rendezvous.h"

namespace mangoyoke::standin {

// Token `index` of the response to the prompt with hash `prompt_hash`.
inline std::string TokenText(uint64_t prompt_hash, int64_t index) {
  constexpr uint64_t kWords = 1000;
  std::string seed = std::to_string(prompt_hash) + "/" + std::to_string(index);
  return " w" + std::to_string(StableHash(seed) % kWords);
}

// The first `count` tokens of the response to `prompt`, as one text.
inline std::string GeneratedText(const std::string& prompt, int64_t count) {
  uint64_t hash = StableHash(prompt);
  std::string text;
  for (int64_t i = 0; i < count; ++i) {
    text += TokenText(hash, i);
  }
  return text;
}

}  // namespace mangoyoke::standin

#endif  // MANGOYOKE_STANDINS_TOKEN_TEXT_H_
