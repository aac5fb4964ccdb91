// Puts the tokens of one answer in order and drops repeated ones, whatever
// order, repetition or cut the engine's events come with.

#ifndef MANGOYOKE_TOKEN_SEQUENCER_H_
#define MANGOYOKE_TOKEN_SEQUENCER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mangoyoke {

class TokenSequencer {
 public:
  // `next`: index of the first token to deliver.
  explicit TokenSequencer(int64_t next = 0) : next_(next) {}

  // Takes one token. Returns the tokens that are now in order.
  std::vector<std::string> Push(int64_t index, std::string token) {
    std::vector<std::string> ready;
    if (index < next_) {
      return ready;  // Delivered before.
    }
    early_.emplace(index, std::move(token));
    while (!early_.empty() && early_.begin()->first == next_) {
      ready.push_back(std::move(early_.begin()->second));
      early_.erase(early_.begin());
      ++next_;
    }
    return ready;
  }

  // Index of the next token to deliver: the resume offset.
  int64_t next() const { return next_; }
  // Tokens held back because an earlier one is missing.
  size_t held() const { return early_.size(); }
  // Forgets held tokens, before the stream is resumed at next().
  void DropHeld() { early_.clear(); }

 private:
  int64_t next_;
  std::map<int64_t, std::string> early_;  // All indexes are > next_.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_TOKEN_SEQUENCER_H_
