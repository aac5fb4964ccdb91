// Group membership and failure detection in the manner of SWIM: the records
// that one instance has of all instances, and the rules by which records merge.
//
// - Only an instance itself writes its record in the states alive and leaving.
//   Its peers may only mark the record suspect or dead, at the epoch that they
//   know; the instance refutes that by raising its epoch.
// - An incarnation identifies one process of an instance: it changes with each
//   restart.
// - An instance probes a few successors on a hash ring of its own zone
//   (ProbeTargets), so that the cost does not grow with the zone. For each
//   other zone, one instance of a zone probes one instance there.
// - Changed records are exchanged in both directions with each probe.
//
// The class does no I/O: the host sends the probes and reports their results.

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

// Ordered by precedence: within one incarnation and epoch the higher state
// wins.
enum class MemberState { kAlive = 0, kLeaving = 1, kSuspect = 2, kDead = 3 };

// Returns the lower-case name, as in "suspect".
std::string_view MemberStateName(MemberState state);

// What is known of one instance.
struct MemberRecord {
  InstanceId id;
  uint64_t incarnation = 0;  // Process start, wall clock in ms.
  uint64_t epoch = 0;        // Raised by the instance for each change.
  MemberState state = MemberState::kAlive;
  // The instance drains. Kept while `state` is kSuspect, so that a refutation
  // restores it.
  bool leaving = false;
  ZoneId zone;
  std::string region;
  std::string peer_address;    // "IP:port" for other instances.
  std::string caller_address;  // "IP:port" for callers.

  bool operator==(const MemberRecord&) const = default;

  // True if the instance is not dead, so that it is probed and may get work.
  bool Usable() const { return state != MemberState::kDead; }
  // True if callers may be sent to the instance.
  bool AcceptsCallers() const {
    return state == MemberState::kAlive && !leaving && !caller_address.empty();
  }
};

// Limits of failure detection.
struct MembershipOptions {
  int probe_fanout = 3;                   // Successors probed in own zone.
  Duration suspect_after = Millis(1000);  // Without contact; probes fail.
  Duration dead_after = Millis(750);      // From suspicion, if not refuted.
  Duration forget_after = Seconds(600);   // Dead records are then deleted.
};

// The records that one instance has of all instances. Not thread-safe.
class Membership {
 public:
  // `self` is the record of this instance.
  Membership(MemberRecord self, MembershipOptions options);

  const MemberRecord& self() const { return members_.at(self_id_).record; }
  // Returns all records, including those of this instance and of dead ones.
  std::vector<MemberRecord> All() const;
  // Returns the record of `id`, or nothing if it is unknown.
  std::optional<MemberRecord> Find(const InstanceId& id) const;
  // Returns the ids of the members in `zone` that are neither dead nor leaving,
  // or if there are none, of such members in all zones.
  std::vector<InstanceId> AssignableIn(const ZoneId& zone) const;
  // Returns the ids of the members of all zones that are not dead.
  std::vector<InstanceId> UsableMemberIds() const;

  // Merges the records of another instance; newer ones replace those held.
  // Returns the ids of changed records. Suspicion of this instance is refuted.
  std::vector<InstanceId> Merge(const std::vector<MemberRecord>& records,
                                TimePoint now);
  // Records that `id` responded to a probe or sent one.
  void RecordContact(const InstanceId& id, TimePoint now);
  // Records that a probe of `id` failed. Marks `id` suspect if the last contact
  // is `suspect_after` ago.
  void RecordProbeFailure(const InstanceId& id, TimePoint now);
  // Marks expired suspects dead and deletes dead records that are old enough.
  // Returns the ids newly marked dead. To be called periodically.
  std::vector<InstanceId> Tick(TimePoint now);
  // Publishes that this instance drains and will then stop.
  void Leave();
  // Publishes the address for callers; empty if this instance takes none.
  void SetCallerAddress(const std::string& address);

  // Returns the ids of the instances that this one is to probe now.
  std::vector<InstanceId> ProbeTargets() const;

  // Records changed since some version. `version` is to be passed to the next
  // ChangesSince.
  struct Changes {
    std::vector<MemberRecord> records;
    uint64_t version = 0;
  };
  // Returns the records changed after `version`, oldest change first and at
  // most `limit` of them.
  Changes ChangesSince(uint64_t version, size_t limit) const;
  // Number of the last change; rises with each change of a record.
  uint64_t version() const { return version_; }

  // Returns true if a peer declared this incarnation dead since the last call.
  bool ConsumeDeclaredDead();

 private:
  struct Member {
    MemberRecord record;
    uint64_t changed_version = 0;  // version() after the last change.
    // Last sign of life: a probe from it, a response, or a newer record of it
    // in state alive or of a new incarnation.
    TimePoint last_contact_at;
    TimePoint state_entered_at;  // When `record.state` was entered.
    bool probe_failed = false;   // A probe failed since the last contact.
  };

  // Replaces the record held of a member.
  void Update(Member& member, const MemberRecord& record, TimePoint now);
  // True if the record held changed.
  bool MergeRecord(const MemberRecord& record, TimePoint now);
  // Raises the epoch or incarnation of this instance if `record` claims that it
  // failed or has a later incarnation. True if so.
  bool RefuteIfNeeded(const MemberRecord& record);
  // Changes the state of the record held, without its epoch.
  void SetState(Member& member, MemberState state, TimePoint now);

  InstanceId self_id_;
  MembershipOptions options_;
  std::map<InstanceId, Member> members_;  // Always contains self_id_.
  uint64_t version_ = 1;        // Raised with each change of a record.
  bool declared_dead_ = false;  // Until ConsumeDeclaredDead().
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_MEMBERSHIP_H_
