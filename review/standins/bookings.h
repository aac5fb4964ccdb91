// Steady traffic of a booking service: sound servers, clients that keep their
// connections and send one request after another, and the check of rule LOST.

#ifndef MANGOYOKE_REVIEW_STANDINS_BOOKINGS_H_
#define MANGOYOKE_REVIEW_STANDINS_BOOKINGS_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/standins/trial.h"

namespace review {

inline constexpr char kBookings[] = "bookings";
inline constexpr char kBookingPath[] = "/book/x";
// The most requests that a machine may lose (rule LOST).
inline constexpr size_t kMostLost = 3;

class Bookings {
 public:
  // Sends the response to one request instead of the sound one, and returns
  // whether the connection stays open; or returns nothing to have the sound
  // response sent. Called on the threads of the server's connections.
  using Fault =
      std::function<std::optional<bool>(TcpStream&, const HttpMessage&)>;

  explicit Bookings(Trial& trial) : trial_(trial) {}

  // Registers `count` sound servers, and one with `fault`, if it is given.
  void AddServers(int count, Fault fault = nullptr);
  // Starts the gateways with the route for bookings and `more_routes`, and
  // `clients` clients for each gateway.
  void Start(int clients,
             const nlohmann::json& more_routes = nlohmann::json::array(),
             const nlohmann::json& more_services = nlohmann::json::array());
  // Ends the clients, each after its current request, and then the trial: with
  // kBroken if a machine has lost more than kMostLost requests.
  [[noreturn]] void EndAndJudge();

 private:
  // A request that a client sent on a kept connection and that ended with the
  // connection, without an answer.
  struct Unanswered {
    std::string id;
    size_t gateway = 0;
  };

  bool Serve(TcpStream& stream,
             const HttpMessage& request,
             const std::string& server);
  // Sends requests on one connection until it breaks.
  void RunClient(size_t gateway, int client);

  Trial& trial_;
  std::atomic<bool> stop_{false};
  std::vector<std::thread> clients_;
  std::mutex mutex_;                              // For the members below.
  std::map<std::string, std::string> server_of_;  // Sound server, by id.
  std::vector<Unanswered> unanswered_;
  size_t sent_ = 0;
  std::map<int, size_t> answers_;  // By status.
  size_t timeouts_ = 0;
};

}  // namespace review

#endif  // MANGOYOKE_REVIEW_STANDINS_BOOKINGS_H_
