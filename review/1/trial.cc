// Case 1: one server of six sends, in place of one answer in fifty, a response
// head and a broken chunk header, and closes the connection.

#include <atomic>
#include <thread>

#include "review/standins/bookings.h"

namespace {

using review::HttpMessage;
using review::Millis;
using review::TcpStream;

constexpr int kSoundServers = 5;
constexpr int kClientsOfGateway = 12;
// Longer than ContactMs, so that all machines are in touch.
constexpr Millis kCalm{4500};
// The users' pages: `garble` spoils x = 0.02 of the answers for 5 s.
constexpr int kAnswersForOneSpoiled = 50;
constexpr Millis kTroubleTime{5000};
constexpr Millis kAfter{1500};

}  // namespace

int main(int argc, char** argv) {
  review::Trial trial(argc, argv);
  std::atomic<bool> faulty{false};
  std::atomic<int> answers{0};
  review::Bookings bookings(trial);
  bookings.AddServers(
      kSoundServers,
      [&](TcpStream& stream,
          const HttpMessage& request) -> std::optional<bool> {
        if (!faulty || ++answers % kAnswersForOneSpoiled != 0) {
          return std::nullopt;
        }
        std::string id = request.Field(review::kRequestId);
        trial.record().Write("the faulty server spoils its answer to " + id);
        stream.Send("HTTP/1.1 200 OK\r\n" + std::string(review::kRequestId) +
                    ": " + id + "\r\n" + review::kStamp +
                    ": stamp\r\nTransfer-Encoding: chunked\r\n\r\n0 \r\n");
        std::this_thread::sleep_for(Millis(50));
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
