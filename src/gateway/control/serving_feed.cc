// Holds and answers long polls. A poll is an object with the fields "c"
// (revision of the configuration), "g" (version of the registry) and "w" (how
// long to hold it, in ms).

#include "gateway/control/serving_feed.h"

#include <algorithm>

namespace mangoyoke {
namespace {

// Bounds for what a peer may ask for and for how much it can make this instance
// keep.
constexpr Millis kMaxWait{5000};
constexpr size_t kMaxPendingPolls = 1000;

}  // namespace

Json EncodeServingPoll(const ServingVersions& known, Millis max_wait) {
  return Json{
      {"c", known.config}, {"g", known.registry}, {"w", max_wait.count()}};
}

ServingFeed::ServingFeed(
    std::function<ServingVersions()> versions,
    std::function<Json(const ServingVersions&)> make_update,
    std::function<bool()> is_current)
    : versions_(std::move(versions)),
      make_update_(std::move(make_update)),
      is_current_(std::move(is_current)) {}

bool ServingFeed::HasNewer(const ServingVersions& known) const {
  ServingVersions own = versions_();
  return own.config > known.config || own.registry > known.registry;
}

void ServingFeed::Poll(const Json& message, PeerResponder respond) {
  ServingVersions known{message.value("c", Revision{0}),
                        message.value("g", uint64_t{0})};
  Millis wait =
      std::clamp(Millis(message.value("w", int64_t{0})), Millis(0), kMaxWait);
  if (wait == Millis(0) || HasNewer(known) || !is_current_() ||
      pending_.size() >= kMaxPendingPolls) {
    respond(make_update_(known));
    return;
  }
  pending_.push_back(
      PendingPoll{known, SteadyClock::now() + wait, std::move(respond)});
}

void ServingFeed::OnChanged() {
  RespondIf([this](const PendingPoll& poll) { return HasNewer(poll.known); });
}

void ServingFeed::OnConfirmed() {
  RespondIf([](const PendingPoll&) { return true; });
}

void ServingFeed::Tick(TimePoint now) {
  bool current = is_current_();
  RespondIf([now, current](const PendingPoll& poll) {
    return !current || now >= poll.deadline;
  });
}

void ServingFeed::RespondIf(
    const std::function<bool(const PendingPoll&)>& is_due) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (!is_due(*it)) {
      ++it;
      continue;
    }
    it->respond(make_update_(it->known));
    it = pending_.erase(it);
  }
}

}  // namespace mangoyoke
