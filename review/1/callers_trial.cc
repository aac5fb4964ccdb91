// Case 1, second trial: one client sends one proper request, with an empty body
// in chunks and a trailer field, whose bytes arrive in two pieces. Without the
// disruption they arrive in one.

#include <string>
#include <thread>

#include "review/standins/bookings.h"

namespace {

using review::HttpMessage;
using review::Millis;
using review::TcpStream;

constexpr int kServers = 3;
constexpr int kClientsOfGateway = 6;
// Longer than ContactMs, so that all machines are in touch.
constexpr Millis kCalm{4500};
constexpr Millis kBetweenPieces{100};
constexpr Millis kAnswerTimeout{3000};
constexpr Millis kAfter{1000};
constexpr int kDeadlineMs = 4000;

}  // namespace

int main(int argc, char** argv) {
  review::Trial trial(argc, argv);
  review::Bookings bookings(trial);
  bookings.AddServers(kServers);
  bookings.Start(kClientsOfGateway);
  std::this_thread::sleep_for(kCalm);

  auto stream = TcpStream::Connect(trial.CallersOf(0), kAnswerTimeout);
  if (!stream) {
    trial.End(review::Verdict::kNotRun, "the gateway takes no connection");
  }
  std::string first = review::MakeRequestHead(
      "POST", review::kBookingPath, "in-pieces", kDeadlineMs,
      "Transfer-Encoding: chunked\r\nTrailer: X-Checksum\r\n\r\n0\r\nX");
  std::string second = "-Checksum: 0\r\n\r\n";
  if (trial.trouble()) {
    stream->Send(first);
    trial.record().Write("the client has sent the first piece of its request");
    std::this_thread::sleep_for(kBetweenPieces);
    stream->Send(second);
  } else {
    stream->Send(first + second);
  }
  HttpMessage response;
  review::ReadEnd end = ReadMessage(*stream, response, kAnswerTimeout);
  trial.record().Write("the client receives " +
                       (end == review::ReadEnd::kDone
                            ? std::to_string(response.Status())
                            : std::string(ReadEndName(end))));
  std::this_thread::sleep_for(kAfter);
  bookings.EndAndJudge();
}
