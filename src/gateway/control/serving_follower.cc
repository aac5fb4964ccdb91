// Sends polls to the readers.

#include "gateway/control/serving_follower.h"

#include "base/log.h"

namespace mangoyoke {
namespace {

// How long a reader may hold a poll. Short, so that a reader that is cut off
// from the store delays changes for no longer.
constexpr Millis kPollWait{1000};
// A poll fails if no response came this long after the time for which it may be
// held.
constexpr Millis kPollMargin{400};
// Delay after a response, so that many changes arrive in one response.
constexpr Duration kPollPause = Millis(50);
// Delay after a poll that brought no current view.
constexpr Duration kFailurePause = Millis(200);

}  // namespace

ServingFollower::ServingFollower(boost::asio::io_context& io,
                                 PeerClient& peers,
                                 Callbacks callbacks)
    : peers_(peers), callbacks_(std::move(callbacks)), timer_(io) {}

void ServingFollower::SetTargets(std::vector<std::string> readers,
                                 std::vector<std::string> others) {
  readers_ = std::move(readers);
  others_ = std::move(others);
}

void ServingFollower::SetRunning(bool running) {
  running_ = running;
  if (running_ && !busy_) {
    PollNext();
  }
}

void ServingFollower::PullConfig(const std::string& address,
                                 Revision revision) {
  if (pulling_) {
    waiting_pull_ = WaitingPull{address, revision};
    return;
  }
  pulling_ = true;
  Poll(address, Millis(0), [this](bool) { OnPullEnd(); });
}

void ServingFollower::OnPullEnd() {
  pulling_ = false;
  auto next = std::exchange(waiting_pull_, std::nullopt);
  if (next && next->revision > callbacks_.view().versions.config) {
    PullConfig(next->address, next->revision);
  }
}

std::string ServingFollower::NextTarget() {
  // After all readers were asked in vain, another instance is asked, then the
  // readers again.
  bool ask_other =
      polls_without_confirmation_ % (readers_.size() + 1) == readers_.size();
  if (!others_.empty() && ask_other) {
    next_other_ = (next_other_ + 1) % others_.size();
    return others_[next_other_];
  }
  if (readers_.empty()) {
    return "";
  }
  next_reader_ = (next_reader_ + 1) % readers_.size();
  return readers_[next_reader_];
}

void ServingFollower::PollNext() {
  std::string target = NextTarget();
  if (target.empty()) {
    ++polls_without_confirmation_;
    PollAfter(kFailurePause);
    return;
  }
  busy_ = true;
  // After a failure the view has to be confirmed at once.
  Millis wait = polls_without_confirmation_ == 0 ? kPollWait : Millis(0);
  Poll(target, wait, [this](bool current) {
    polls_without_confirmation_ = current ? 0 : polls_without_confirmation_ + 1;
    PollAfter(current ? kPollPause : kFailurePause);
  });
}

void ServingFollower::PollAfter(Duration delay) {
  busy_ = true;
  timer_.expires_after(delay);
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](
                        const boost::system::error_code& error) {
    if (error || alive.expired()) {
      return;
    }
    busy_ = false;
    if (running_) {
      PollNext();
    }
  });
}

void ServingFollower::Poll(const std::string& address,
                           Millis wait,
                           std::function<void(bool current)> on_end) {
  peers_.Call(address, kServingPollPath,
              EncodeServingPoll(callbacks_.view(), wait), wait + kPollMargin,
              [this, alive = std::weak_ptr<bool>(alive_), address,
               on_end = std::move(on_end)](Result<Json> result) {
                if (alive.expired()) {
                  return;
                }
                bool current = false;
                if (const auto* response = std::get_if<Json>(&result)) {
                  try {
                    current = callbacks_.apply(*response);
                  } catch (const std::exception& exception) {
                    LogEvent("serving_update_malformed", LogLevel::kWarning)
                        .Field("from", address)
                        .Field("why", exception.what());
                  }
                }
                on_end(current);
              });
}

}  // namespace mangoyoke
