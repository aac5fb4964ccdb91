// Implementation of the structured log on Boost.Log's trivial sink.

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

// Lines of one kind of event, a second and at once. Warnings and errors have
// a bound of their own, so that successes never displace failures.
constexpr double kUsualRate = 60;
constexpr double kUsualBurst = 120;
constexpr double kWarningRate = 200;
constexpr double kWarningBurst = 400;

// Whether a line may be written, and how many were left out before it.
bool Allowed(std::string_view event, LogLevel level, uint64_t& left_out) {
  static std::mutex mutex;
  static LogLimiter usual(kUsualRate, kUsualBurst);
  static LogLimiter warnings(kWarningRate, kWarningBurst);
  std::lock_guard lock(mutex);
  LogLimiter& limiter = level < LogLevel::kWarning ? usual : warnings;
  return limiter.Allow(event, SteadyClock::now(), left_out);
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() ||
         value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

// Writes to standard output without waiting.
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
    if (left_out_ > 0) {
      line = "event=log_lines_left_out count=" + std::to_string(left_out_) +
             "\n" + line;
    }
    ssize_t written = write(STDOUT_FILENO, line.data(), line.size());
    left_out_ = written < 0 ? left_out_ + 1 : 0;
  }

 private:
  uint64_t left_out_ = 0;  // Lines since the last one that was written.
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
  uint64_t left_out = 0;
  enabled_ = enabled_ && Allowed(event, level, left_out);
  if (!enabled_) {
    return;
  }
  line_ << "time_ms=" << WallMillis() << " level=" << LevelName(level)
        << " instance=" << InstanceName() << " event=" << event;
  if (left_out > 0) {
    line_ << " left_out=" << left_out;
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
