// Implementation of the explanation of a request from log lines.

#include "tool/explain.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace mangoyoke {
namespace {

// Health records of the last server, logged by the last instance within this
// time before the request ended, are part of the explanation.
constexpr double kHealthRecordWindowMs = 10'000;

// Explains the outcome of a request_end line.
std::string DescribeCause(const LogLine& end) {
  const std::string outcome = end.Value("outcome");
  const std::map<std::string, std::string> causes = {
      {"answered", "a backend server's response was passed on unchanged"},
      {"streamed", "the stream was passed on completely"},
      {"caller_gone",
       "the caller closed the connection before the response was complete"},
      {"not_ready",
       "the instance had no configuration yet; the request was "
       "not executed"},
      {"unknown_path",
       "no route of the active configuration matches the request"},
      {"unknown_api_key",
       "the request has no API key that a client account of the active "
       "configuration has; it was not executed"},
      {"api_key_withdrawn",
       "a configuration that took force while the request waited no longer has "
       "its API key; it was not executed and will not be"},
      {"no_backend",
       "no usable backend server accepted the request; it was not executed "
       "and will not be"},
      {"deadline_expired",
       "no engine had free memory for the request while its target latency "
       "could still be met; it was not executed and will not be"},
      {"backend_timeout",
       "the backend server did not respond within the route's timeout; the "
       "request may have been executed"},
      {"backend_broken",
       "the backend server's response is missing or incomplete; the request "
       "may have been executed"},
      {"stream_broken",
       "the backend server's stream ended early after events had been passed "
       "on, and the route allows no resume or none was left"}};
  auto found = causes.find(outcome);
  return found != causes.end() ? found->second : outcome;
}

// Explains the server outcome that a line carries in its field "evidence".
std::string DescribeServerOutcome(const LogLine& line) {
  const std::string evidence = line.Value("evidence");
  const std::map<std::string, std::string> texts = {
      {"error", "responded with an error of its own"},
      {"full",
       "refused: no capacity; it confirms that the request was not executed"},
      {"paused",
       "refused: it wants no requests for a time that it named; it confirms "
       "that the request was not executed"},
      {"unreachable", "could not be reached"},
      {"broken", "returned no complete, valid response"},
      {"silent", "did not respond in time"}};
  auto found = texts.find(evidence);
  return found != texts.end() ? found->second : evidence;
}

// Prints one line of the explanation, with the time since `start_ms`.
void PrintLine(const LogLine& line, double start_ms, std::ostream& out) {
  out << "+" << static_cast<int64_t>(line.Number("time_ms") - start_ms)
      << " ms " << line.Value("instance") << ": ";
  if (line.event == "send_failed") {
    out << line.Value("stage") << " server " << line.Value("server") << " "
        << DescribeServerOutcome(line) << " (status " << line.Value("status")
        << ", after " << line.Value("ms")
        << " ms; load known there: " << line.Value("known_requests")
        << " requests)";
  } else if (line.event == "admission_wait") {
    out << "waits for admission: the best decode server "
        << line.Value("best_server") << " has a share of "
        << line.Value("memory_share") << " of its memory in use by "
        << line.Value("known_requests") << " requests, and the request needs "
        << line.Value("needed_tokens") << " tokens; " << line.Value("waiting")
        << " other requests wait at this instance";
  } else if (line.event == "quota_refused") {
    out << "beyond the quota of account " << line.Value("account") << ": limit "
        << line.Value("limit_per_s") << "/s, demanded "
        << line.Value("demanded_per_s") << "/s, admitted "
        << line.Value("admitted_per_s") << "/s, bucket " << line.Value("bucket")
        << ", share of the instances heard " << line.Value("heard_share")
        << ", oldest report " << line.Value("oldest_report_ms") << " ms";
  } else if (line.event == "servers_want_no_work") {
    out << "no " << line.Value("stage") << " server of service "
        << line.Value("service")
        << " takes new requests: " << line.Value("draining")
        << " are draining, " << line.Value("paused")
        << " have asked for a pause";
    if (const std::string first = line.Value("first_in_ms"); !first.empty()) {
      out << ", the first of which ends in " << first << " ms";
    }
  } else if (line.event == "repeat_denied") {
    out << "not retried: the retry budget shared by all requests of service "
        << line.Value("service") << " is used up";
  } else if (line.event == "stream_resume") {
    out << "the stream is resumed on a newly chosen server after event "
        << line.Value("after");
  } else if (line.event == "server_evidence") {
    out << "(health record of server " << line.Value("server") << ": "
        << line.Value("failures") << " failures in " << line.Value("requests")
        << " recent requests, latest outcome " << line.Value("evidence") << ")";
  } else if (line.event == "request_end") {
    out << "ended after " << line.Value("ms")
        << " ms: " << line.Value("outcome") << ", status "
        << line.Value("status") << ", last server " << line.Value("server")
        << ", " << line.Value("sends") << " attempts, configuration revision "
        << line.Value("config") << ", registry version "
        << line.Value("registry");
  } else {
    out << line.event;
  }
  out << "\n";
}

}  // namespace

std::string LogLine::Value(const std::string& key) const {
  auto found = fields.find(key);
  return found == fields.end() ? std::string() : found->second;
}

double LogLine::Number(const std::string& key) const {
  return std::strtod(Value(key).c_str(), nullptr);
}

LogLine ParseLogLine(const std::string& text) {
  LogLine line;
  size_t position = text.find("time_ms=");
  while (position < text.size()) {
    size_t equals = text.find('=', position);
    if (equals == std::string::npos) {
      break;
    }
    std::string key = text.substr(position, equals - position);
    size_t begin = equals + 1;
    bool quoted = begin < text.size() && text[begin] == '"';
    size_t end = quoted ? text.find('"', begin + 1) : text.find(' ', begin);
    end = std::min(end, text.size());
    line.fields[key] =
        text.substr(begin + (quoted ? 1 : 0), end - begin - (quoted ? 1 : 0));
    position = text.find_first_not_of("\" ", end);
  }
  line.event = line.Value("event");
  return line;
}

Result<std::string> ExplainRequest(std::istream& log,
                                   const std::string& request_id) {
  std::vector<LogLine> request_lines;
  std::vector<LogLine> health_records;
  for (std::string text; std::getline(log, text);) {
    LogLine line = ParseLogLine(text);
    if (line.Value("request") == request_id) {
      request_lines.push_back(std::move(line));
    } else if (line.event == "server_evidence") {
      health_records.push_back(std::move(line));
    }
  }
  if (request_lines.empty()) {
    return Error{
        ErrorCode::kUnknownPath,
        "no log line names request " + request_id +
            "; check that the log covers these instances and the time of the "
            "request"};
  }
  auto by_time = [](const LogLine& a, const LogLine& b) {
    return a.Number("time_ms") < b.Number("time_ms");
  };
  std::stable_sort(request_lines.begin(), request_lines.end(), by_time);
  const LogLine end = request_lines.back();
  for (const LogLine& health_record : health_records) {
    double age_ms = end.Number("time_ms") - health_record.Number("time_ms");
    if (health_record.Value("instance") == end.Value("instance") &&
        health_record.Value("server") == end.Value("server") && age_ms >= 0 &&
        age_ms <= kHealthRecordWindowMs) {
      request_lines.push_back(health_record);
    }
  }
  std::stable_sort(request_lines.begin(), request_lines.end(), by_time);
  std::ostringstream out;
  double start_ms = end.Number("time_ms") - end.Number("ms");
  for (const LogLine& line : request_lines) {
    PrintLine(line, start_ms, out);
  }
  if (end.event == "request_end") {
    out << "cause: " << DescribeCause(end);
    if (std::string why = end.Value("why"); !why.empty()) {
      out << " (" << why << ")";
    }
    out << "\n";
  } else {
    out << "cause: unknown, no request_end line; the instance stopped, hung or "
           "was cut off from the network\n";
  }
  return out.str();
}

}  // namespace mangoyoke
