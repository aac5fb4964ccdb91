// Holds and answers long polls. A poll is an object with the fields "c"
// (revision of the configuration), "e" and "g" (era and number of the version
// of the registry), "a" (age of the view, in ms), "w" (how long to hold it, in
// ms) and "d" (present if the requester accepts a difference to its
// configuration). Instances of the release before have no "e".

#include "gateway/control/serving_feed.h"

#include <algorithm>

namespace mangoyoke {
namespace {

// Bounds for what a peer may ask for and for how much it can make this instance
// keep.
constexpr Millis kMaxWait{5000};
constexpr size_t kMaxPendingPolls = 1000;
// A poll is not held if the view here is fresher by more than this. Two readers
// that are confirmed at nearly the same time would otherwise answer at once all
// the time.
constexpr Duration kFreshnessMargin = Millis(100);

}  // namespace

Json EncodeServingPoll(const ServingView& view, Millis max_wait) {
  return Json{{"c", view.versions.config},
              {"e", view.versions.registry.era},
              {"g", view.versions.registry.number},
              {"a", ToMillis(view.age)},
              {"w", max_wait.count()},
              {"d", 1}};
}

ServingFeed::ServingFeed(
    std::function<ServingView()> view,
    std::function<Json(const ServingRequester&)> make_update,
    std::function<bool()> is_current)
    : view_(std::move(view)),
      make_update_(std::move(make_update)),
      is_current_(std::move(is_current)) {}

bool ServingFeed::HasNewer(const ServingVersions& known) const {
  ServingVersions own = view_().versions;
  return own.config > known.config || own.registry > known.registry;
}

bool ServingFeed::ConfirmedLater(Duration age) const {
  return view_().age + kFreshnessMargin < age;
}

void ServingFeed::Poll(const Json& message, PeerResponder respond) {
  bool states_era = message.contains("e");
  StoreEra era = message.value("e", view_().versions.registry.era);
  ServingVersions known{message.value("c", Revision{0}),
                        StoreVersion{era, message.value("g", uint64_t{0})}};
  ServingRequester requester{known, message.contains("d"), states_era};
  Duration age = FromMillis(message.value("a", 0.0));
  Millis wait =
      std::clamp(Millis(message.value("w", int64_t{0})), Millis(0), kMaxWait);
  if (wait == Millis(0) || HasNewer(known) || ConfirmedLater(age) ||
      !is_current_() || pending_.size() >= kMaxPendingPolls) {
    respond(make_update_(requester));
    return;
  }
  pending_.push_back(
      PendingPoll{requester, SteadyClock::now() + wait, std::move(respond)});
}

void ServingFeed::OnChanged() {
  RespondIf([this](const PendingPoll& poll) {
    return HasNewer(poll.requester.known);
  });
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
    it->respond(make_update_(it->requester));
    it = pending_.erase(it);
  }
}

}  // namespace mangoyoke
