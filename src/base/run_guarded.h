// Runs handlers of event loops so that an exception ends what the handler was
// for, such as one connection or one request, and nothing else. Exceptions that
// reach the loop itself count against the process (base/supervisor.h).

#ifndef MANGOYOKE_BASE_RUN_GUARDED_H_
#define MANGOYOKE_BASE_RUN_GUARDED_H_

#include <exception>
#include <string_view>

namespace mangoyoke {

// Logs `handler_failed`. `where`: what the handler was for.
void LogHandlerFailure(std::string_view where, const std::exception& exception);

// Calls `action`. If that throws, logs it and calls `on_failure`, which may
// throw as well and is then only logged.
template <typename Action, typename OnFailure>
void RunGuarded(std::string_view where,
                const Action& action,
                const OnFailure& on_failure) {
  try {
    action();
    return;
  } catch (const std::exception& exception) {
    LogHandlerFailure(where, exception);
  }
  try {
    on_failure();
  } catch (const std::exception& exception) {
    LogHandlerFailure(where, exception);
  }
}

// The same, for an action whose failure needs nothing but the log line.
template <typename Action>
void RunGuarded(std::string_view where, const Action& action) {
  RunGuarded(where, action, [] {});
}

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_RUN_GUARDED_H_
