// Delivers the tokens of one response in order and once each, although the
// events of the model server may be reordered, repeated or cut off.

#ifndef MANGOYOKE_TOKEN_SEQUENCER_H_
#define MANGOYOKE_TOKEN_SEQUENCER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mangoyoke {

// Orders and deduplicates the tokens of one response by their index. Not
// thread-safe.
class TokenSequencer {
 public:
  // `next`: index of the first token to deliver.
  explicit TokenSequencer(int64_t next = 0) : next_(next) {}

  // Takes one token. Returns the tokens that can now be delivered, in order.
  std::vector<std::string> Push(int64_t index, std::string token) {
    std::vector<std::string> ready;
    if (index < next_) {
      return ready;  // Delivered before.
    }
    out_of_order_.emplace(index, std::move(token));
    while (!out_of_order_.empty() && out_of_order_.begin()->first == next_) {
      ready.push_back(std::move(out_of_order_.begin()->second));
      out_of_order_.erase(out_of_order_.begin());
      ++next_;
    }
    return ready;
  }

  // Index of the next token to deliver, from which a stream is to be resumed.
  int64_t next() const { return next_; }
  // Number of tokens held back because an earlier one is missing.
  size_t held() const { return out_of_order_.size(); }
  // Discards the held tokens. To be called before the stream is resumed at
  // next().
  void DropHeld() { out_of_order_.clear(); }

 private:
  int64_t next_;
  std::map<int64_t, std::string> out_of_order_;  // All indexes are > next_.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_TOKEN_SEQUENCER_H_
