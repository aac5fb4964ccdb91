// Explains from the log lines of several instances how a request was handled.

#ifndef MANGOYOKE_TOOL_EXPLAIN_H_
#define MANGOYOKE_TOOL_EXPLAIN_H_

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "mangoyoke/error.h"

namespace mangoyoke {

// One parsed log line.
struct LogLine {
  std::string event;  // Empty if the line has no event=.
  std::map<std::string, std::string> fields;

  // The value of `key`; empty if absent.
  std::string Value(const std::string& key) const;
  // The value of `key` as a number; 0 if absent.
  double Number(const std::string& key) const;
};

// Parses the key=value pairs of a log line. Text before time_ms= is skipped.
LogLine ParseLogLine(const std::string& text);

// Reads log lines in any order and describes what happened to `request_id`:
// each decision, which instance made it and why, and the cause of the result.
// kUnknownPath if no line names the request.
Result<std::string> ExplainRequest(std::istream& log,
                                   const std::string& request_id);

}  // namespace mangoyoke

#endif  // MANGOYOKE_TOOL_EXPLAIN_H_
