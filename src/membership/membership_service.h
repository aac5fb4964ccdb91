// Runs the membership protocol: probes peers, merges their records, and detects
// pauses of this process.

#ifndef MANGOYOKE_MEMBERSHIP_MEMBERSHIP_SERVICE_H_
#define MANGOYOKE_MEMBERSHIP_MEMBERSHIP_SERVICE_H_

#include <map>
#include <set>
#include <string>

#include "base/metrics.h"
#include "base/observers.h"
#include "base/periodic_timer.h"
#include "mangoyoke/membership.h"
#include "peer/peer_transport.h"

namespace mangoyoke {

// Settings of the membership protocol.
struct MembershipSettings {
  std::vector<std::string> seed_addresses;  // "IP:port".
  std::vector<std::string> own_addresses;   // Never contacted.
  Millis probe_interval{250};
  Millis pause_threshold{1000};  // From this length on, a pause suspends.
};

// What MembershipService works with. References must outlive it.
struct MembershipContext {
  boost::asio::io_context& io;
  MembershipSettings settings;
  Metrics& metrics;
  PeerClient& peers;
  Membership& membership;
};

// All calls are on the io_context's thread.
class MembershipService {
 public:
  explicit MembershipService(MembershipContext context);

  // Starts probing, and contacts a few seed addresses.
  void Start();
  // Adds addresses at which other instances may listen. They are used for
  // joining only: a missing address never means that an instance is dead.
  void AddSeedAddresses(const std::vector<std::string>& addresses);
  // Announces to the peers that this instance drains.
  void Leave();

  // Handles a probe of another instance and returns the response. Throws
  // nlohmann::json::exception if `message` is malformed.
  Json OnProbe(const Json& message);

  // True from a detected pause of this process until a peer has responded to a
  // probe again.
  bool suspended() const { return suspended_; }

  // Sets the newest plan revision known here, which probes carry.
  void SetPlanRevision(Revision revision) { plan_revision_ = revision; }
  // Sends probes at once, to spread changes without waiting for the interval.
  void ProbeNow();

  // Notified after records have changed, with the ids of the members.
  Observers<const std::vector<InstanceId>&> on_change;
  // Notified after peers declared this incarnation dead, which means that they
  // have released everything it held.
  Observers<> on_declared_dead;
  // Notified when a peer has a newer plan, with its address and the revision.
  Observers<const std::string&, Revision> on_newer_plan;

 private:
  // Which record versions were exchanged with one peer.
  struct PeerSyncState {
    uint64_t incarnation = 0;
    uint64_t acknowledged_version = 0;  // Own version the peer has.
    uint64_t merged_version = 0;        // Peer's version merged here.
  };

  void Tick();
  // Suspends the instance if the process was paused since the last tick and
  // other members are known.
  void DetectPause(TimePoint now);
  void Probe(const InstanceId& id);
  // Probes an address whose instance is unknown or regarded as dead.
  void Contact(const std::string& address);
  void OnProbeResponse(const Json& response);
  // Merges the records of a probe or response, and notes that its sender is
  // alive.
  void MergeMessage(const Json& message);
  // Notifies on_newer_plan if the sender of `message` has a newer plan.
  void CheckPlanRevision(const Json& message, const std::string& address);
  // `merged_version` is the version of the recipient's records merged here.
  Json MakeProbe(uint64_t merged_version,
                 const Membership::Changes& changes) const;
  // Contacts one address, in turn, at which no usable member is known.
  void ContactMissingPeer();
  // Logs the new states and notifies on_change.
  void NotifyChanged(const std::vector<InstanceId>& ids);
  // Ends a suspension, because a peer has responded.
  void EndSuspension();

  MembershipContext context_;
  Revision plan_revision_ = 0;
  bool suspended_ = false;
  TimePoint last_tick_;
  std::map<InstanceId, PeerSyncState> sync_states_;
  std::set<InstanceId> probes_in_flight_;
  std::set<std::string> known_addresses_;
  size_t next_contact_index_ = 0;
  std::unique_ptr<PeriodicTimer> tick_timer_;
  std::unique_ptr<PeriodicTimer> contact_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_MEMBERSHIP_MEMBERSHIP_SERVICE_H_
