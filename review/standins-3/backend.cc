// The answers of servers.

#include "backend.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace mangoyoke::review {
namespace {

using Json = nlohmann::json;

constexpr int kSlots = 64;
constexpr int kPlainSlots = 6;

void SleepMillis(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

}  // namespace

std::string ServerRow(const BackendOptions& options,
                      const std::string& state,
                      int64_t seq) {
  bool plain = options.stage.empty();
  Json row{{"Service", options.service},
           {"Address", options.ip + ":" + std::to_string(options.port)},
           {"Zone", "zone-a"},
           {"Version", "v1"},
           {"Slots", plain ? kPlainSlots : kSlots},
           {"State", state},
           {"ColdRemainingMs", 0},
           {"Seq", seq},
           {"born", options.born_ms}};
  if (!plain) {
    row["Stage"] = options.stage;
    row["Models"] = Json::array(
        {{{"Name", "m"}, {"Version", 1}, {"Adapters", Json::array()}}});
  }
  return row.dump();
}

std::string EventText(int number) {
  return "id: " + std::to_string(number) + "\ndata: token " +
         std::to_string(number) + "\n\n";
}

Backend::Backend(BackendOptions options, Record& record)
    : options_(std::move(options)),
      record_(record),
      server_(std::make_unique<HttpServer>(
          options_.ip,
          options_.port,
          [this](Tcp::socket& socket, const Request& request) {
            return Answer(socket, request);
          })) {}

std::string Backend::HeadersFor(const Request& request) const {
  std::string id = HeaderOf(request, "X-Mangoyoke-Request-Id");
  std::string headers = "X-Mangoyoke-Served-By: " + options_.id + "\r\n";
  if (!id.empty()) {
    headers += "X-Mangoyoke-Request-Id: " + id + "\r\n";
  }
  if (leaving_) {
    headers += "Server-Leaving: 1\r\n";
  }
  return headers;
}

std::string Backend::NewName(const std::string& kind) {
  return kind + std::to_string(options_.born_ms) + "x" +
         std::to_string(++names_);
}

std::vector<std::string> Backend::Runs() {
  std::lock_guard lock(mutex_);
  return runs_;
}

void Backend::RecordRun(const std::string& id, const std::string& how) {
  record_.Line("server " + options_.id + " runs request " + id + how);
  std::lock_guard lock(mutex_);
  runs_.push_back(id);
}

std::string Backend::AnswerOwnCall(const Request& request) {
  std::string path = PathOf(request);
  if (path == "/healthz") {
    return "{}";
  }
  if (path == "/v1/report") {
    return Json{
        {"Stage", options_.stage},
        {"Models",
         {{{"Name", "m"}, {"Version", 1}, {"Adapters", Json::array()}}}},
        {"Busy", false},
        {"Seq", 0},
        {"Waiting", 0},
        {"Running", 0},
        {"KvUsed", 0},
        {"KvTotal", 39418},
        {"KvHandles", 0},
        {"born", options_.born_ms}}
        .dump();
  }
  if (path == "/v1/hold-take") {
    return Json{{"Hold", NewName("hold")}}.dump();
  }
  bool frees =
      path.starts_with("/v1/hold-drop/") || path.starts_with("/v1/kv-handle/");
  return frees ? "{}" : "";
}

bool Backend::Answer(Tcp::socket& socket, const Request& request) {
  std::string headers = HeadersFor(request);
  std::string expected = HeaderOf(request, "X-Mangoyoke-Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    return WriteAnswer(socket, "421 Misdirected Request", headers, "");
  }
  if (std::string body = AnswerOwnCall(request); !body.empty()) {
    bool healthy = PathOf(request) != "/healthz" || !leaving_;
    return WriteAnswer(socket, healthy ? "200 OK" : "503 Service Unavailable",
                       headers, body);
  }
  if (HeaderOf(request, "X-Mangoyoke-Request-Id").empty()) {
    return WriteAnswer(socket, "400 Bad Request",
                       headers + "X-Mangoyoke-Not-Executed: 1\r\n", "");
  }
  if (run_hook_ && !run_hook_(request)) {
    return false;
  }
  if (HeaderOf(request, "X-Mangoyoke-Serving-Stage") == "prefill") {
    return AnswerPrefill(socket, request);
  }
  return options_.stage.empty() ? AnswerPlain(socket, request)
                                : AnswerStream(socket, request);
}

bool Backend::AnswerPlain(Tcp::socket& socket, const Request& request) {
  std::string id = HeaderOf(request, "X-Mangoyoke-Request-Id");
  RecordRun(id, "");
  std::string headers =
      HeadersFor(request) + "X-Mangoyoke-Response-Stamp: stamp." + id + "\r\n";
  if (plain_writer_) {
    return plain_writer_(socket, headers, id);
  }
  SleepMillis(options_.work_ms);
  return WriteAnswer(socket, "200 OK", headers, std::string(800, 'b'));
}

bool Backend::AnswerPrefill(Tcp::socket& socket, const Request& request) {
  SleepMillis(options_.work_ms);
  return WriteAnswer(
      socket, "200 OK",
      HeadersFor(request) + "Content-Type: application/json\r\n",
      Json{{"Handle", NewName("kv")}, {"Tokens", 3200}, {"Version", 1}}.dump());
}

bool Backend::AnswerStream(Tcp::socket& socket, const Request& request) {
  std::string id = HeaderOf(request, "X-Mangoyoke-Request-Id");
  std::string last = HeaderOf(request, "Last-Event-Id");
  int first = last.empty() ? 1 : std::stoi(last) + 1;
  RecordRun(id, " from event " + std::to_string(first));
  std::string head = "HTTP/1.1 200 OK\r\n" + HeadersFor(request) +
                     "X-Mangoyoke-Response-Stamp: stamp." + id +
                     "\r\nX-Mangoyoke-Weight-Versions: 1"
                     "\r\nContent-Type: text/event-stream\r\n";
  if (writer_) {
    return writer_(socket, head, first);
  }
  bool chunked = options_.stream_end == StreamEnd::kChunked;
  head += chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                  : "Connection: close\r\n\r\n";
  if (!WriteAll(socket, head)) {
    return false;
  }
  for (int number = first; number <= options_.events; ++number) {
    SleepMillis(options_.event_gap_ms);
    std::string event = EventText(number);
    if (!WriteAll(socket, chunked ? Chunk(event) : event)) {
      record_.Line("server " + options_.id + " stops request " + id +
                   ": its connection is closed");
      return false;
    }
  }
  record_.Line("server " + options_.id + " has sent all events of request " +
               id);
  return chunked && WriteAll(socket, "0\r\n\r\n");
}

}  // namespace mangoyoke::review
