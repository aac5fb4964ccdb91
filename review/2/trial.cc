// Case 2: one server of eight answers four requests in ten with a body that
// comes without end, under a Content-Length of a petabyte, until the caller
// closes the connection.

#include <atomic>
#include <string>
#include <thread>

#include "review/standins/bookings.h"

namespace {

using review::HttpMessage;
using review::Millis;
using review::TcpStream;

constexpr int kSoundServers = 7;
constexpr int kClientsOfGateway = 24;
// Longer than ContactMs, so that all machines are in touch.
constexpr Millis kCalm{4500};
// The users' pages: `srv_grey` lasts for 6.5 s, and a server with it fails
// x = 0.4 of its requests.
constexpr Millis kTroubleTime{6500};
constexpr int kFailuresInTen = 4;
constexpr Millis kAfter{3000};
// One block of the endless body, and the pause before the next.
constexpr size_t kBlockBytes = 1024;
constexpr Millis kBlockPause{20};

void SendEndlessBody(TcpStream& stream, const std::string& id) {
  bool open =
      stream.Send("HTTP/1.1 200 OK\r\n" + std::string(review::kRequestId) +
                  ": " + id + "\r\n" + review::kStamp +
                  ": stamp\r\nContent-Length: 1000000000000000\r\n\r\n");
  std::string block(kBlockBytes, 'x');
  while (open) {
    open = stream.Send(block);
    std::this_thread::sleep_for(kBlockPause);
  }
}

}  // namespace

int main(int argc, char** argv) {
  review::Trial trial(argc, argv);
  std::atomic<bool> faulty{false};
  std::atomic<int> requests{0};
  review::Bookings bookings(trial);
  bookings.AddServers(kSoundServers,
                      [&](TcpStream& stream,
                          const HttpMessage& request) -> std::optional<bool> {
                        if (!faulty || requests++ % 10 >= kFailuresInTen) {
                          return std::nullopt;
                        }
                        std::string id = request.Field(review::kRequestId);
                        trial.record().Write("the faulty server answers " + id +
                                             " with a body without end");
                        SendEndlessBody(stream, id);
                        return false;
                      });
  bookings.Start(kClientsOfGateway);
  std::this_thread::sleep_for(kCalm);
  faulty = trial.trouble();
  std::this_thread::sleep_for(kTroubleTime);
  faulty = false;
  std::this_thread::sleep_for(kAfter);
  bookings.EndAndJudge();
}
