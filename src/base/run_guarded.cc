// Log lines of handlers that failed.

#include "base/run_guarded.h"

#include "base/log.h"

namespace mangoyoke {

void LogHandlerFailure(std::string_view where,
                       const std::exception& exception) {
  LogEvent("handler_failed", LogLevel::kError)
      .Field("where", where)
      .Field("why", exception.what());
}

}  // namespace mangoyoke
