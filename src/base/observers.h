// A list of callbacks for one event.

#ifndef MANGOYOKE_BASE_OBSERVERS_H_
#define MANGOYOKE_BASE_OBSERVERS_H_

#include <functional>
#include <vector>

namespace mangoyoke {

// Calls all registered callbacks, in the order of registration, when the event
// is notified. Not thread-safe; callbacks cannot be removed.
template <typename... Arguments>
class Observers {
 public:
  using Callback = std::function<void(Arguments...)>;

  void Add(Callback callback) { callbacks_.push_back(std::move(callback)); }
  void Notify(Arguments... arguments) const {
    for (const Callback& callback : callbacks_) {
      callback(arguments...);
    }
  }

 private:
  std::vector<Callback> callbacks_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_OBSERVERS_H_
