// Structured logs: one line of key=value pairs for each event.

#ifndef MANGOYOKE_BASE_LOG_H_
#define MANGOYOKE_BASE_LOG_H_

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

namespace mangoyoke {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// The level named "debug", "info", "warning" or "error"; kInfo for any other
// name.
LogLevel ParseLogLevel(std::string_view name);

// Where log lines are written.
enum class LogSink {
  kStandardError,
  // Never blocks on the reader: a line that does not fit in the pipe is dropped
  // and counted.
  kStandardOutput,
};

// Sends log lines of at least `level` to `sink`. Each line carries `instance`.
// Call before the first LogEvent.
void InitLog(std::string_view instance,
             LogLevel level,
             LogSink sink = LogSink::kStandardError);

// Builds one log line and writes it when destroyed. Lines below the minimum
// level or over the rate limit of their event (see log.cc) are not written. The
// next line of the event gives the number over the limit in the field left_out.
// Example: LogEvent("plan_in_force").Field("revision", 7);
class LogEvent {
 public:
  explicit LogEvent(std::string_view event, LogLevel level = LogLevel::kInfo);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  // Appends ` key=value`. Values that are empty or contain spaces, quotes or
  // '=' are quoted.
  LogEvent& Field(std::string_view key, std::string_view value);
  LogEvent& Field(std::string_view key, int64_t value);
  LogEvent& Field(std::string_view key, double value);

 private:
  LogLevel level_;
  bool enabled_;
  std::ostringstream line_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_BASE_LOG_H_
