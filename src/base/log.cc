// Implementation of the structured log on Boost.Log.

#include "base/log.h"

#include <fcntl.h>
#include <unistd.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <mutex>

#include "base/log_limiter.h"
#include "mangoyoke/clock.h"

namespace mangoyoke {
namespace {

namespace logging = boost::log;

std::string& InstanceName() {
  static std::string name = "-";
  return name;
}

LogLevel& MinimumLevel() {
  static LogLevel level = LogLevel::kInfo;
  return level;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

// Limits for each event name: lines per second (rate) and at once (burst).
// Warnings and errors have limits of their own, so that lines about successes
// never use up the allowance for lines about failures.
constexpr double kInfoRate = 60;
constexpr double kInfoBurst = 120;
constexpr double kWarningRate = 200;
constexpr double kWarningBurst = 400;

// Whether a line of `event` may be written. If so, `suppressed` is the number
// of lines that were suppressed since the last one was written.
bool AllowLine(std::string_view event, LogLevel level, uint64_t& suppressed) {
  static std::mutex mutex;
  static LogLimiter info_limiter(kInfoRate, kInfoBurst);
  static LogLimiter warning_limiter(kWarningRate, kWarningBurst);
  std::lock_guard lock(mutex);
  LogLimiter& limiter =
      level < LogLevel::kWarning ? info_limiter : warning_limiter;
  return limiter.Allow(event, SteadyClock::now(), suppressed);
}

// Whether `value` must be quoted in a key=value line.
bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

// Writes to standard output without blocking. Lines that the pipe cannot take
// are dropped; the next line that is written reports how many.
class NonBlockingBackend : public logging::sinks::basic_formatted_sink_backend<
                               char,
                               logging::sinks::synchronized_feeding> {
 public:
  NonBlockingBackend() {
    int flags = fcntl(STDOUT_FILENO, F_GETFL);
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }

  void consume(const logging::record_view&, const std::string& text) {
    std::string line = text + "\n";
    if (dropped_lines_ > 0) {
      line =
          "event=log_lines_left_out count=" + std::to_string(dropped_lines_) +
          "\n" + line;
    }
    ssize_t written = write(STDOUT_FILENO, line.data(), line.size());
    dropped_lines_ = written < 0 ? dropped_lines_ + 1 : 0;
  }

 private:
  uint64_t dropped_lines_ = 0;  // Lines dropped since the last write.
};

}  // namespace

LogLevel ParseLogLevel(std::string_view name) {
  for (LogLevel level :
       {LogLevel::kDebug, LogLevel::kWarning, LogLevel::kError}) {
    if (LevelName(level) == name) {
      return level;
    }
  }
  return LogLevel::kInfo;
}

void InitLog(std::string_view instance, LogLevel level, LogSink sink) {
  InstanceName() = instance;
  MinimumLevel() = level;
  if (sink == LogSink::kStandardOutput) {
    using Frontend = logging::sinks::synchronous_sink<NonBlockingBackend>;
    auto frontend = boost::make_shared<Frontend>();
    frontend->set_formatter(logging::expressions::stream
                            << logging::expressions::smessage);
    logging::core::get()->add_sink(frontend);
    return;
  }
  logging::add_console_log(
      std::clog,
      logging::keywords::format = logging::expressions::stream
                                  << logging::expressions::smessage,
      logging::keywords::auto_flush = true);
}

LogEvent::LogEvent(std::string_view event, LogLevel level)
    : level_(level), enabled_(level >= MinimumLevel()) {
  uint64_t suppressed = 0;
  enabled_ = enabled_ && AllowLine(event, level, suppressed);
  if (!enabled_) {
    return;
  }
  line_ << "time_ms=" << WallMillis() << " level=" << LevelName(level)
        << " instance=" << InstanceName() << " event=" << event;
  if (suppressed > 0) {
    line_ << " left_out=" << suppressed;
  }
}

LogEvent::~LogEvent() {
  if (enabled_) {
    BOOST_LOG_TRIVIAL(info) << line_.str();
  }
}

LogEvent& LogEvent::Field(std::string_view key, std::string_view value) {
  if (!enabled_) {
    return *this;
  }
  line_ << ' ' << key << '=';
  if (!NeedsQuotes(value)) {
    line_ << value;
    return *this;
  }
  line_ << '"';
  for (char c : value) {
    if (c == '"' || c == '\\') {
      line_ << '\\' << c;
    } else {
      line_ << (c == '\n' || c == '\r' ? ' ' : c);
    }
  }
  line_ << '"';
  return *this;
}

LogEvent& LogEvent::Field(std::string_view key, int64_t value) {
  if (enabled_) {
    line_ << ' ' << key << '=' << value;
  }
  return *this;
}

LogEvent& LogEvent::Field(std::string_view key, double value) {
  if (enabled_) {
    line_ << ' ' << key << '=' << value;
  }
  return *this;
}

}  // namespace mangoyoke
