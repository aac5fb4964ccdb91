// Follows the readers of the store: asks them, one after the other, for newer
// configurations and servers.

#ifndef MANGOYOKE_GATEWAY_CONTROL_SERVING_FOLLOWER_H_
#define MANGOYOKE_GATEWAY_CONTROL_SERVING_FOLLOWER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/control/serving_feed.h"

namespace mangoyoke {

// Path of the polls at other instances.
inline constexpr char kServingPollPath[] = "/serving/poll";

// Sends polls while it runs: to each reader in turn, and to one other instance
// whenever no reader had a current view. Not thread-safe.
class ServingFollower {
 public:
  // What to poll with and what to do with the response.
  struct Callbacks {
    std::function<ServingView()> view;
    // Applies a response. Returns whether the view of the other instance is
    // current. May throw nlohmann::json::exception.
    std::function<bool(const Json&)> apply;
  };

  // `io` and `peers` must outlive the follower.
  ServingFollower(boost::asio::io_context& io,
                  PeerClient& peers,
                  Callbacks callbacks);

  // Sets the addresses of the readers, and of the instances to ask while no
  // reader has a current view.
  void SetTargets(std::vector<std::string> readers,
                  std::vector<std::string> others);
  // Starts or stops polling. A poll in progress still counts.
  void SetRunning(bool running);
  // Asks the instance at `address`, which has configuration `revision`, for it.
  // While such a poll is in progress, the next waits: two transfers of the same
  // configuration would delay each other.
  void PullConfig(const std::string& address, Revision revision);

 private:
  // Polls the next target.
  void PollNext();
  void PollAfter(Duration delay);
  void Poll(const std::string& address,
            Millis wait,
            std::function<void(bool current)> on_end);
  void OnPullEnd();
  // The address to poll next; empty if there is none.
  std::string NextTarget();

  PeerClient& peers_;
  Callbacks callbacks_;
  boost::asio::steady_timer timer_;
  std::vector<std::string> readers_;
  std::vector<std::string> others_;
  size_t next_reader_ = 0;
  size_t next_other_ = 0;
  // Polls in a row that brought no current view.
  size_t polls_without_confirmation_ = 0;
  bool running_ = false;
  bool busy_ = false;  // A poll or a delay is in progress.
  // The last request to pull that had to wait for the one in progress.
  struct WaitingPull {
    std::string address;
    Revision revision = 0;
  };
  std::optional<WaitingPull> waiting_pull_;
  bool pulling_ = false;
  // Callbacks that come after the destruction find it expired.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_SERVING_FOLLOWER_H_
