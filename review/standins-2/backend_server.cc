// A stand-in of a backend server (PROTOCOL.md, "Servers"): one process, which
// answers bookings with a body or model requests with a stream of events. It
// writes a line for each request to its log: time in ms, what happened, request
// id, method and path.
//
// Arguments: --id ID --port PORT --log FILE, and
//   --events N --gap-ms MS   streams of N events, one each MS; 0: bookings
//   --framing chunked|length|none   how the end of an answer is marked; none:
//                            it ends with its connection
//   --work-ms MS             until an answer begins
//   --deadly PART            ends by itself as it begins to answer a prompt in
//                            which PART is a part, but not the last one
//   --spoil-every N          each Nth answer is no response of this protocol,
//   --spoil-times T,T,T,T    from the first time to the second, from the third
//   to
//                            the fourth, in ms of the steady clock
//   --answers-per-connection N   says "Connection: close" in the Nth answer

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "net.h"

namespace review {
namespace {

constexpr size_t kBookingBytes = 800;

class BackendServer {
 public:
  explicit BackendServer(std::map<std::string, std::string> options)
      : options_(std::move(options)),
        id_(options_["--id"]),
        log_(open(options_["--log"].c_str(),
                  O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                  0600)) {}

  int Run() {
    Socket listener =
        Listen("127.0.0.1", static_cast<uint16_t>(Number("--port", 0)));
    if (!listener.valid()) {
      return EXIT_FAILURE;
    }
    while (true) {
      Socket connection = Accept(listener);
      if (connection.valid()) {
        std::thread([this, connection = std::move(connection)]() mutable {
          Serve(std::move(connection));
        }).detach();
      }
    }
  }

 private:
  int Number(const std::string& option, int absent) const {
    auto found = options_.find(option);
    return found == options_.end() ? absent : std::atoi(found->second.c_str());
  }

  void Log(const std::string& what, const Head& head) const {
    std::string line = std::to_string(NowMs()) + " " + what + " " +
                       head.Field("x-mangoyoke-request-id") + " " +
                       head.Word(0) + " " + head.Word(1) + "\n";
    if (write(log_, line.data(), line.size()) < 0) {
      std::_Exit(EXIT_FAILURE);
    }
  }

  void Serve(Socket connection) {
    int last = Number("--answers-per-connection", 0);
    std::string buffer;
    for (int answers = 1;; ++answers) {
      auto head = ReadHead(connection, buffer);
      std::string body;
      if (!head || ReadBody(connection, buffer, *head, false, body) !=
                       BodyEnd::kMarked) {
        return;
      }
      if (!Answer(connection, *head, answers == last)) {
        return;
      }
    }
  }

  // Returns whether the connection stays open.
  bool Answer(Socket& connection, const Head& head, bool last) {
    std::string expected = head.Field("x-mangoyoke-expect-instance");
    if (!expected.empty() && expected != id_) {
      return connection.Write(
          "HTTP/1.1 421 Misdirected Request\r\nX-Mangoyoke-Request-Id: " +
          head.Field("x-mangoyoke-request-id") + "\r\nX-Mangoyoke-Served-By: " +
          id_ + "\r\nContent-Length: 0\r\n\r\n");
    }
    Log("run", head);
    SleepMs(Number("--work-ms", 20));
    if (IsDeadly(head)) {
      Log("dies", head);
      std::_Exit(EXIT_FAILURE);
    }
    int spoil_every = Number("--spoil-every", 0);
    if (spoil_every > 0 && IsSpoilTime() && ++answers_ % spoil_every == 0) {
      return Spoil(connection, head);
    }
    bool close = last || options_["--framing"] == "none";
    std::string start = "HTTP/1.1 200 OK\r\nX-Mangoyoke-Request-Id: " +
                        head.Field("x-mangoyoke-request-id") +
                        "\r\nX-Mangoyoke-Response-Stamp: " + id_ + "." +
                        head.Field("x-mangoyoke-request-id") + "\r\n" +
                        (close ? "Connection: close\r\n" : "");
    bool written = Number("--events", 0) > 0
                       ? WriteStream(connection, start, head)
                       : WriteBooking(connection, start, head);
    return written && !close;
  }

  bool WriteStream(Socket& connection, std::string start, const Head& head) {
    bool chunked = options_["--framing"] == "chunked";
    start += "Content-Type: text/event-stream\r\n";
    start += chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
    if (!connection.Write(start)) {
      return false;
    }
    for (int i = 1; i <= Number("--events", 0); ++i) {
      std::string event = "id: " + std::to_string(i) +
                          "\ndata: " + head.Field("x-mangoyoke-request-id") +
                          "\n\n";
      if (!connection.Write(chunked ? Chunk(event) : event)) {
        Log("caller-left", head);
        return false;
      }
      SleepMs(Number("--gap-ms", 20));
    }
    Log("done", head);
    return !chunked || connection.Write(Chunk(""));
  }

  bool WriteBooking(Socket& connection, std::string start, const Head& head) {
    std::string body = "booked " + head.Field("x-mangoyoke-request-id") + " ";
    body.resize(kBookingBytes, '.');
    if (options_["--framing"] != "none") {
      start += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    bool written = connection.Write(start + "\r\n" + body);
    Log(written ? "done" : "caller-left", head);
    return written;
  }

  // A page of another program, which knows neither the request nor the stamp.
  bool Spoil(Socket& connection, const Head& head) {
    const std::string page = "<html><body><h1>It works!</h1></body></html>\n";
    Log("spoils", head);
    return connection.Write(
        "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: " +
        std::to_string(page.size()) + "\r\n\r\n" + page);
  }

  bool IsSpoilTime() {
    std::vector<std::string> times = Split(options_["--spoil-times"], ',');
    for (size_t i = 0; i + 1 < times.size(); i += 2) {
      if (NowMs() >= std::stoll(times[i]) &&
          NowMs() < std::stoll(times[i + 1])) {
        return true;
      }
    }
    return false;
  }

  bool IsDeadly(const Head& head) const {
    auto deadly = options_.find("--deadly");
    auto parts = Split(head.Field("x-mangoyoke-prompt-prefix"), ',');
    if (deadly == options_.end() || parts.empty()) {
      return false;
    }
    parts.pop_back();
    for (const std::string& part : parts) {
      if (part.substr(0, part.find(':')) == deadly->second) {
        return true;
      }
    }
    return false;
  }

  std::map<std::string, std::string> options_;
  std::string id_;
  int log_;
  std::atomic<int> answers_{0};
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  std::map<std::string, std::string> options;
  for (int i = 1; i + 1 < argc; i += 2) {
    options[argv[i]] = argv[i + 1];
  }
  return review::BackendServer(std::move(options)).Run();
}
