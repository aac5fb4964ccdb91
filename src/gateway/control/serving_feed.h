// Long polls of other instances for newer configurations and servers.

#ifndef MANGOYOKE_GATEWAY_CONTROL_SERVING_FEED_H_
#define MANGOYOKE_GATEWAY_CONTROL_SERVING_FEED_H_

#include <functional>
#include <list>

#include "gateway/core/store_version.h"
#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"
#include "peer/peer_transport.h"

namespace mangoyoke {

// What an instance already knows.
struct ServingVersions {
  Revision config = 0;
  StoreVersion registry;

  bool operator==(const ServingVersions&) const = default;
};

// An instance that polls.
struct ServingRequester {
  ServingVersions known;
  // Whether it can read a difference to its configuration.
  bool accepts_difference = false;
  // Whether it states eras. If not, known.registry is taken for one of the era
  // here: it is of the release before eras were known.
  bool states_era = false;

  bool operator==(const ServingRequester&) const = default;
};

// What an instance knows, and how long ago the store confirmed it.
struct ServingView {
  ServingVersions versions;
  Duration age{};

  bool operator==(const ServingView&) const = default;
};

// Holds polls until something newer than the requester knows is available or
// their time is over. Not thread-safe.
class ServingFeed {
 public:
  // `view` returns what this instance has, `make_update` the response to an
  // instance that polls. While `is_current` returns false,
  // this instance may have missed changes, so no poll is held.
  ServingFeed(std::function<ServingView()> view,
              std::function<Json(const ServingRequester&)> make_update,
              std::function<bool()> is_current);

  // Responds at once or later. Throws nlohmann::json::exception if `message` is
  // malformed.
  void Poll(const Json& message, PeerResponder respond);
  // Responds to the polls that something newer is available for. To be called
  // after each change.
  void OnChanged();
  // Responds to all polls: the store has just confirmed the view of this
  // instance, and the requesters' views grow old.
  void OnConfirmed();
  // Responds to the polls whose time is over.
  void Tick(TimePoint now);

 private:
  struct PendingPoll {
    ServingRequester requester;
    TimePoint deadline;
    PeerResponder respond;
  };

  bool HasNewer(const ServingVersions& known) const;
  // Whether this instance's view was confirmed later than one of that age.
  bool ConfirmedLater(Duration age) const;
  // Responds to all pending polls that `is_due` selects.
  void RespondIf(const std::function<bool(const PendingPoll&)>& is_due);

  std::function<ServingView()> view_;
  std::function<Json(const ServingRequester&)> make_update_;
  std::function<bool()> is_current_;
  std::list<PendingPoll> pending_;
};

// The poll of an instance that has `view`, to be held for `max_wait`.
Json EncodeServingPoll(const ServingView& view, Millis max_wait);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_SERVING_FEED_H_
