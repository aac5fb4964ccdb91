// From log lines to a story.

#include "tool/explain.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace mangoyoke {
namespace {

// What an instance believed of a server shortly before a request ended there
// is part of the story.
constexpr double kBeforeMs = 10'000;

// The cause of an end, for the reader.
std::string Cause(const LogLine& end) {
  const std::string outcome = end.Value("outcome");
  const std::map<std::string, std::string> causes = {
      {"answered", "a server's answer was passed on unchanged"},
      {"streamed", "the stream was passed on to its end"},
      {"caller_gone", "the caller closed its connection first"},
      {"not_ready",
       "the instance had no configuration yet; the request did "
       "not run"},
      {"unknown_path", "no route of the configuration in force matches"},
      {"no_backend", "no usable server took it; it did not run and will not"},
      {"deadline_expired",
       "no engine had memory for it before its target was out of reach; it "
       "did not run and will not"},
      {"backend_timeout",
       "the server did not answer within the route's time; it may have run"},
      {"backend_broken",
       "the server's answer is missing or incomplete; it may have run"},
      {"stream_broken",
       "the stream broke off at the server after events had been passed on, "
       "and the route allows no resume or none was left"}};
  auto found = causes.find(outcome);
  return found != causes.end() ? found->second : outcome;
}

std::string Evidence(const LogLine& line) {
  const std::string evidence = line.Value("evidence");
  const std::map<std::string, std::string> texts = {
      {"error", "answered with a failure of its own"},
      {"full", "refused: no room; it vouches that the request did not run"},
      {"unreachable", "could not be reached"},
      {"broken", "broke the connection off"},
      {"silent", "did not answer in time"}};
  auto found = texts.find(evidence);
  return found != texts.end() ? found->second : evidence;
}

void Describe(const LogLine& line, double start_ms, std::ostream& out) {
  out << "+" << static_cast<int64_t>(line.Number("time_ms") - start_ms)
      << " ms " << line.Value("instance") << ": ";
  if (line.event == "send_failed") {
    out << line.Value("stage") << " server " << line.Value("server") << " "
        << Evidence(line) << " (status " << line.Value("status") << ", after "
        << line.Value("ms")
        << " ms; work known there: " << line.Value("known_requests")
        << " requests)";
  } else if (line.event == "admission_wait") {
    out << "waits: the best decode server " << line.Value("best_server")
        << " has " << line.Value("memory_share") << " of its memory in use by "
        << line.Value("known_requests") << " requests, and the request needs "
        << line.Value("needed_tokens") << " tokens; " << line.Value("waiting")
        << " others wait here";
  } else if (line.event == "repeat_denied") {
    out << "not sent again: the shared budget of repeats of service "
        << line.Value("service") << " is used up";
  } else if (line.event == "stream_resume") {
    out << "the stream goes on elsewhere after event " << line.Value("after");
  } else if (line.event == "server_evidence") {
    out << "(believed of server " << line.Value("server") << ": "
        << line.Value("failures") << " failures in " << line.Value("requests")
        << " recent requests, last " << line.Value("evidence") << ")";
  } else if (line.event == "request_end") {
    out << "ended after " << line.Value("ms")
        << " ms: " << line.Value("outcome") << ", status "
        << line.Value("status") << ", last server " << line.Value("server")
        << ", " << line.Value("sends") << " sends, configuration "
        << line.Value("config") << ", registry " << line.Value("registry");
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
  size_t at = text.find("time_ms=");
  while (at < text.size()) {
    size_t equals = text.find('=', at);
    if (equals == std::string::npos) {
      break;
    }
    std::string key = text.substr(at, equals - at);
    size_t begin = equals + 1;
    bool quoted = begin < text.size() && text[begin] == '"';
    size_t end = quoted ? text.find('"', begin + 1) : text.find(' ', begin);
    end = std::min(end, text.size());
    line.fields[key] =
        text.substr(begin + (quoted ? 1 : 0), end - begin - (quoted ? 1 : 0));
    at = text.find_first_not_of("\" ", end);
  }
  line.event = line.Value("event");
  return line;
}

Result<std::string> ExplainRequest(std::istream& log,
                                   const std::string& request_id) {
  std::vector<LogLine> story;
  std::vector<LogLine> beliefs;
  for (std::string text; std::getline(log, text);) {
    LogLine line = ParseLogLine(text);
    if (line.Value("request") == request_id) {
      story.push_back(std::move(line));
    } else if (line.event == "server_evidence") {
      beliefs.push_back(std::move(line));
    }
  }
  if (story.empty()) {
    return Error{ErrorCode::kUnknownPath,
                 "no line names request " + request_id +
                     "; was it sent to these instances, at this time?"};
  }
  auto by_time = [](const LogLine& a, const LogLine& b) {
    return a.Number("time_ms") < b.Number("time_ms");
  };
  std::stable_sort(story.begin(), story.end(), by_time);
  const LogLine end = story.back();
  for (const LogLine& belief : beliefs) {
    double before = end.Number("time_ms") - belief.Number("time_ms");
    if (belief.Value("instance") == end.Value("instance") &&
        belief.Value("server") == end.Value("server") && before >= 0 &&
        before <= kBeforeMs) {
      story.push_back(belief);
    }
  }
  std::stable_sort(story.begin(), story.end(), by_time);
  std::ostringstream out;
  double start_ms = end.Number("time_ms") - end.Number("ms");
  for (const LogLine& line : story) {
    Describe(line, start_ms, out);
  }
  if (end.event == "request_end") {
    out << "cause: " << Cause(end);
    if (std::string why = end.Value("why"); !why.empty()) {
      out << " (" << why << ")";
    }
    out << "\n";
  } else {
    out << "cause: no final line; the instance ended, froze or was cut off\n";
  }
  return out.str();
}

}  // namespace mangoyoke
