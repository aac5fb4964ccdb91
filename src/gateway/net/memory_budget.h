// A common limit on the memory that bodies of messages occupy at the same time,
// so that peers which send or accept too much cannot use up that of the
// process.

#ifndef MANGOYOKE_GATEWAY_NET_MEMORY_BUDGET_H_
#define MANGOYOKE_GATEWAY_NET_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace mangoyoke {

// When the limit is reached, the largest body makes room, so that bodies of
// ordinary size always find some. Not thread-safe.
class MemoryBudget {
 public:
  class Share;

  // `limit` in bytes.
  explicit MemoryBudget(size_t limit);

  // Changes what new bodies may occupy; those that are there stay.
  void SetLimit(size_t limit);
  // Returns a share without bytes. `give_up` is called at most once, when the
  // body has to make room: its owner has to drop the body soon, not within the
  // call. Without it the body cannot be made to.
  Share NewShare(std::function<void()> give_up);

 private:
  struct Body {
    size_t bytes = 0;
    std::function<void()> give_up;
    bool given_up = false;
  };
  // Outlives the budget as long as there are shares.
  struct State {
    size_t limit = 0;
    size_t used = 0;  // By bodies that were not given up.
    uint64_t next_id = 1;
    std::map<uint64_t, Body> bodies;

    // See Share::Resize.
    bool Resize(uint64_t id, size_t bytes);
    // Gives up the largest other body if it is larger than `bytes`. Returns
    // whether there was one.
    bool GiveUpLarger(uint64_t id, size_t bytes);
    void Remove(uint64_t id);
  };

  std::shared_ptr<State> state_;
};

// What one body occupies. Movable; its bytes are returned when it is destroyed.
class MemoryBudget::Share {
 public:
  // Belongs to no budget and holds nothing.
  Share() = default;
  Share(Share&& other) noexcept;
  Share& operator=(Share&& other) noexcept;
  ~Share();

  // Whether it belongs to a budget.
  bool in_use() const { return state_ != nullptr; }
  // Sets the number of bytes. Returns false, without a change, if there is no
  // room or the body was given up. A share of no budget accepts everything.
  bool Resize(size_t bytes);
  // Replaces what is called when the body has to make room.
  void SetGiveUp(std::function<void()> give_up);

 private:
  friend class MemoryBudget;
  Share(std::shared_ptr<State> state, uint64_t id);

  std::shared_ptr<State> state_;
  uint64_t id_ = 0;
};

// Appends `bytes` to `body`, whose memory `share` holds. Returns false if there
// is no room; `body` is unchanged then.
bool AppendWithin(MemoryBudget::Share& share,
                  std::string& body,
                  std::string_view bytes);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_NET_MEMORY_BUDGET_H_
