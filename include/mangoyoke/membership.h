// What one instance knows of all instances, and how that knowledge merges.
//
// Each instance speaks for itself: it alone writes records with its own
// incarnation and epoch in state alive or leaving. Others may only mark it
// suspect or dead at the epoch they saw, and it refutes that with a higher
// epoch. An incarnation is one run of a process.
//
// Monitoring: an instance probes a few successors on a hash ring of its own
// zone (ProbeTargets), so the cost does not grow with the zone. One chosen
// instance of a zone probes one of each other zone. Records that changed
// travel with probes in both directions.

#ifndef MANGOYOKE_MEMBERSHIP_H_
#define MANGOYOKE_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangoyoke/clock.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

// Ordered by precedence within one epoch.
enum class MemberState { kAlive = 0, kLeaving = 1, kSuspect = 2, kDead = 3 };

std::string_view MemberStateName(MemberState state);

struct MemberRecord {
  InstanceId id;
  uint64_t incarnation = 0;  // Start time of the process, milliseconds.
  uint64_t epoch = 0;        // Raised by the instance to refute suspicion.
  MemberState state = MemberState::kAlive;
  bool leaving = false;  // Kept while suspect, so that refuting restores it.
  ZoneId zone;
  std::string region;
  std::string peer_address;    // "IP:port" for other instances.
  std::string caller_address;  // "IP:port" for callers.

  bool operator==(const MemberRecord&) const = default;

  // Serves as a member: assignments and probes include it.
  bool Usable() const { return state != MemberState::kDead; }
  // May be given to callers.
  bool AcceptsCallers() const {
    return state == MemberState::kAlive && !leaving && !caller_address.empty();
  }
};

struct MembershipOptions {
  int probe_fanout = 3;                   // Successors probed in the own zone.
  Duration suspect_after = Millis(1000);  // Without an answer to probes.
  Duration dead_after = Millis(750);      // Suspect without refutation.
  Duration forget_after = Seconds(600);   // Dead records are dropped.
};

class Membership {
 public:
  Membership(MemberRecord self, MembershipOptions options);

  const MemberRecord& self() const { return members_.at(self_id_).record; }
  // All records, including self and dead ones.
  std::vector<MemberRecord> All() const;
  std::optional<MemberRecord> Find(const InstanceId& id) const;
  // Ids of usable members in `zone` that are not leaving; if the zone has
  // none, of all zones.
  std::vector<InstanceId> AssignableIn(const ZoneId& zone) const;
  // Ids of usable members of all zones.
  std::vector<InstanceId> UsableMemberIds() const;

  // Merges what another instance knows. Returns the ids that changed.
  std::vector<InstanceId> Merge(const std::vector<MemberRecord>& records,
                                TimePoint now);
  // `id` answered a probe or sent one.
  void RecordContact(const InstanceId& id, TimePoint now);
  // A probe of `id` failed.
  void RecordProbeFailure(const InstanceId& id, TimePoint now);
  // Moves suspects on. Returns the ids that changed.
  std::vector<InstanceId> Tick(TimePoint now);
  // Announces that this instance stops.
  void Leave();
  // Announces where this instance takes callers; empty: nowhere.
  void SetCallerAddress(const std::string& address);

  // Whom this instance probes now.
  std::vector<InstanceId> ProbeTargets() const;

  // Counts changes of records; ChangesSince(v) are the records changed after
  // the version was v, at most `limit`, with the version they reach.
  struct Changes {
    std::vector<MemberRecord> records;
    uint64_t version = 0;
  };
  Changes ChangesSince(uint64_t version, size_t limit) const;
  uint64_t version() const { return version_; }

  // True once after others declared this incarnation dead.
  bool ConsumeDeclaredDead();

 private:
  struct Member {
    MemberRecord record;
    uint64_t changed_at = 0;    // Version of the last change.
    TimePoint last_contact_at;  // Last sign of life seen by this instance.
    TimePoint state_since;      // When the state was entered.
    bool probe_failed = false;  // A probe failed since it was heard.
  };

  void Update(Member& member, const MemberRecord& record, TimePoint now);
  bool MergeOne(const MemberRecord& record, TimePoint now);
  bool RefuteIfNeeded(const MemberRecord& record);
  void SetState(Member& member, MemberState state, TimePoint now);

  InstanceId self_id_;
  MembershipOptions options_;
  std::map<InstanceId, Member> members_;  // Always contains self_id_.
  uint64_t version_ = 1;
  bool declared_dead_ = false;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_MEMBERSHIP_H_
