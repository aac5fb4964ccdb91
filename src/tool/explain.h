// Explains what became of a request from the log lines of several instances.

#ifndef MANGOYOKE_TOOL_EXPLAIN_H_
#define MANGOYOKE_TOOL_EXPLAIN_H_

#include <istream>
#include <map>
#include <string>
#include <vector>

#include "mangoyoke/error.h"

namespace mangoyoke {

// One log line, taken apart.
struct LogLine {
  std::string event;
  std::map<std::string, std::string> fields;

  // The value of `key`; empty if absent.
  std::string Value(const std::string& key) const;
  // The value of `key` as a number; 0 if absent.
  double Number(const std::string& key) const;
};

// Takes a line apart; text before its first key is skipped. No event: the
// line is not one of ours.
LogLine ParseLogLine(const std::string& text);

// Reads log lines in any order and tells the story of `request_id`: what was
// decided, by which instance, on what grounds, and the cause of its end.
// kUnknownPath if no line names the request.
Result<std::string> ExplainRequest(std::istream& log,
                                   const std::string& request_id);

}  // namespace mangoyoke

#endif  // MANGOYOKE_TOOL_EXPLAIN_H_
