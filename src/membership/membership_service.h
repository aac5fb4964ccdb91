// Keeps the membership current: probes, merges, finds out about pauses.

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

struct MembershipSettings {
  std::vector<std::string> seed_addresses;  // Asked first, "IP:port".
  std::vector<std::string> own_addresses;
  Millis probe_interval{250};
  Millis pause_threshold{1000};  // A pause of this length is a suspension.
};

struct MembershipContext {
  boost::asio::io_context& io;
  MembershipSettings settings;
  Metrics& metrics;
  PeerClient& peers;
  Membership& membership;
};

class MembershipService {
 public:
  explicit MembershipService(MembershipContext context);

  // Starts probing; contacts the known peers.
  void Start();
  // Addresses at which other instances may be; a hint for joining only, never
  // proof of death.
  void AddSeedAddresses(const std::vector<std::string>& addresses);
  // Announces that this instance stops.
  void Leave();

  // Another instance's probe. Returns the answer.
  Json OnProbe(const Json& message);

  // True from a detected pause until another instance answered again.
  bool suspended() const { return suspended_; }

  // The newest plan revision here, sent with probes.
  void SetPlanRevision(Revision revision) { revision_ = revision; }
  // Probes at once, to spread news.
  void ProbeNow();

  // Fired after any record changed, with the ids.
  Observers<const std::vector<InstanceId>&> on_change;
  // Fired after others declared this run dead: they dropped what it held.
  Observers<> on_declared_dead;
  // Fired when another instance knows a newer plan, with its address.
  Observers<const std::string&, Revision> on_newer_plan;

 private:
  struct PeerProgress {
    uint64_t incarnation = 0;
    uint64_t sent = 0;  // Own version the peer has acknowledged.
    uint64_t seen = 0;  // Peer's version merged here.
  };

  void Tick();
  void DetectPause(TimePoint now);
  void Probe(const InstanceId& id);
  void Contact(const std::string& address);
  void OnAnswer(const Json& answer);
  void Absorb(const Json& message);
  void NoteRevision(const Json& message, const std::string& address);
  Json MakeProbe(uint64_t seen, const Membership::Changes& changes) const;
  void RejoinOne();
  void Changed(const std::vector<InstanceId>& ids);
  void EndSuspension();

  MembershipContext context_;
  Revision revision_ = 0;
  bool suspended_ = false;
  TimePoint last_tick_;
  std::map<InstanceId, PeerProgress> progress_;
  std::set<InstanceId> probing_;
  std::set<std::string> known_addresses_;
  size_t next_rejoin_ = 0;
  std::unique_ptr<PeriodicTimer> tick_timer_;
  std::unique_ptr<PeriodicTimer> rejoin_timer_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_MEMBERSHIP_MEMBERSHIP_SERVICE_H_
