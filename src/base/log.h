// Structured logs: one line of key=value pairs for each event, by Boost.Log.

#ifndef MANGOYOKE_BASE_LOG_H_
#define MANGOYOKE_BASE_LOG_H_

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

namespace mangoyoke {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// "debug", "info", "warning" or "error"; info for anything else.
LogLevel ParseLogLevel(std::string_view name);

enum class LogSink {
  kStandardError,
  // Never waits for the reader: a line that does not fit in the pipe is left
  // out and counted.
  kStandardOutput,
};

// Sends log lines to `sink`. `instance` is printed in each line.
void InitLog(std::string_view instance,
             LogLevel level,
             LogSink sink = LogSink::kStandardError);

// Builds one log line and writes it when destroyed.
// Example: LogEvent("plan_in_force").Field("revision", 7);
class LogEvent {
 public:
  explicit LogEvent(std::string_view event, LogLevel level = LogLevel::kInfo);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  // Appends ` key=value`; values with spaces or quotes are quoted.
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
