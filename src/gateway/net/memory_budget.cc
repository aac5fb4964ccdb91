// Accounts for the memory of bodies.

#include "gateway/net/memory_budget.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace mangoyoke {
namespace {

// A body that grows gets this much more memory than it needs at once: a part of
// its size, and at least some.
constexpr size_t kGrowthDivisor = 4;
constexpr size_t kMinGrowthBytes = 4 << 10;

}  // namespace

MemoryBudget::MemoryBudget(size_t limit) : state_(std::make_shared<State>()) {
  state_->limit = limit;
}

void MemoryBudget::SetLimit(size_t limit) {
  state_->limit = limit;
}

MemoryBudget::Share MemoryBudget::NewShare(std::function<void()> give_up) {
  uint64_t id = state_->next_id++;
  state_->bodies[id].give_up = std::move(give_up);
  return Share(state_, id);
}

bool MemoryBudget::State::Resize(uint64_t id, size_t bytes) {
  Body& body = bodies.at(id);
  if (body.given_up) {
    return false;
  }
  size_t others = used - body.bytes;
  while (others + bytes > limit) {
    if (bytes <= body.bytes || !GiveUpLarger(id, bytes)) {
      break;
    }
    others = used - body.bytes;
  }
  if (others + bytes > limit && bytes > body.bytes) {
    return false;
  }
  used = others + bytes;
  body.bytes = bytes;
  return true;
}

bool MemoryBudget::State::GiveUpLarger(uint64_t id, size_t bytes) {
  auto largest = bodies.end();
  for (auto it = bodies.begin(); it != bodies.end(); ++it) {
    const Body& body = it->second;
    bool candidate = it->first != id && body.give_up && !body.given_up;
    if (candidate &&
        (largest == bodies.end() || body.bytes > largest->second.bytes)) {
      largest = it;
    }
  }
  if (largest == bodies.end() || largest->second.bytes <= bytes) {
    return false;
  }
  Body& body = largest->second;
  LogEvent("body_given_up", LogLevel::kWarning)
      .Field("bytes", static_cast<int64_t>(body.bytes))
      .Field("used", static_cast<int64_t>(used))
      .Field("limit", static_cast<int64_t>(limit));
  body.given_up = true;
  used -= std::exchange(body.bytes, 0);
  std::exchange(body.give_up, nullptr)();
  return true;
}

void MemoryBudget::State::Remove(uint64_t id) {
  auto body = bodies.extract(id);
  used -= body.mapped().bytes;
}

MemoryBudget::Share::Share(std::shared_ptr<State> state, uint64_t id)
    : state_(std::move(state)), id_(id) {}

MemoryBudget::Share::Share(Share&& other) noexcept
    : state_(std::exchange(other.state_, nullptr)), id_(other.id_) {}

MemoryBudget::Share& MemoryBudget::Share::operator=(Share&& other) noexcept {
  Share old(std::move(*this));
  state_ = std::exchange(other.state_, nullptr);
  id_ = other.id_;
  return *this;
}

MemoryBudget::Share::~Share() {
  if (state_) {
    state_->Remove(id_);
  }
}

bool MemoryBudget::Share::Resize(size_t bytes) {
  return !state_ || state_->Resize(id_, bytes);
}

void MemoryBudget::Share::SetGiveUp(std::function<void()> give_up) {
  if (state_) {
    state_->bodies.at(id_).give_up = std::move(give_up);
  }
}

bool AppendWithin(MemoryBudget::Share& share,
                  std::string& body,
                  std::string_view bytes) {
  size_t size = body.size() + bytes.size();
  if (size > body.capacity()) {
    size_t capacity = size + std::max(size / kGrowthDivisor, kMinGrowthBytes);
    if (!share.Resize(capacity)) {
      return false;
    }
    // A string that holds something already would double its capacity.
    std::string larger;
    larger.reserve(capacity);
    larger.append(body);
    body = std::move(larger);
  }
  body.append(bytes);
  return true;
}

}  // namespace mangoyoke
