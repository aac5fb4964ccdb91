// Merging of membership records and failure detection by probes.

#include "mangoyoke/membership.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "mangoyoke/rendezvous.h"

namespace mangoyoke {
namespace {

// Of two records of one instance the one with the higher precedence is kept.
auto Precedence(const MemberRecord& record) {
  return std::tuple(record.incarnation, record.epoch,
                    static_cast<int>(record.state));
}

}  // namespace

std::string_view MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
  }
  return "dead";
}

Membership::Membership(MemberRecord self, MembershipOptions options)
    : self_id_(self.id), options_(options) {
  Member member;
  member.record = std::move(self);
  member.changed_version = version_;
  members_.emplace(self_id_, std::move(member));
}

std::vector<MemberRecord> Membership::All() const {
  std::vector<MemberRecord> records;
  for (const auto& [id, member] : members_) {
    records.push_back(member.record);
  }
  return records;
}

std::optional<MemberRecord> Membership::Find(const InstanceId& id) const {
  auto it = members_.find(id);
  if (it == members_.end()) {
    return std::nullopt;
  }
  return it->second.record;
}

std::vector<InstanceId> Membership::AssignableIn(const ZoneId& zone) const {
  std::vector<InstanceId> in_zone;
  std::vector<InstanceId> all_zones;
  for (const auto& [id, member] : members_) {
    if (!member.record.Usable() || member.record.leaving) {
      continue;
    }
    all_zones.push_back(id);
    if (member.record.zone == zone) {
      in_zone.push_back(id);
    }
  }
  return in_zone.empty() ? all_zones : in_zone;
}

std::vector<InstanceId> Membership::UsableMemberIds() const {
  std::vector<InstanceId> ids;
  for (const auto& [id, member] : members_) {
    if (member.record.Usable()) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<InstanceId> Membership::Merge(
    const std::vector<MemberRecord>& records,
    TimePoint now) {
  std::vector<InstanceId> changed;
  for (const MemberRecord& record : records) {
    if (MergeRecord(record, now)) {
      changed.push_back(record.id);
    }
  }
  return changed;
}

bool Membership::MergeRecord(const MemberRecord& record, TimePoint now) {
  if (record.id == self_id_) {
    return RefuteIfNeeded(record);
  }
  auto [it, inserted] = members_.try_emplace(record.id);
  Member& member = it->second;
  if (!inserted && Precedence(record) <= Precedence(member.record)) {
    return false;
  }
  bool new_incarnation =
      inserted || record.incarnation != member.record.incarnation;
  if (new_incarnation || record.state == MemberState::kAlive) {
    member.last_contact_at = now;
    member.probe_failed = false;
  }
  Update(member, record, now);
  return true;
}

bool Membership::RefuteIfNeeded(const MemberRecord& record) {
  Member& member = members_.at(self_id_);
  // Left by an earlier process of this instance whose wall clock was ahead. The
  // incarnation must exceed it, or peers would ignore the records of this one.
  if (record.incarnation > member.record.incarnation) {
    member.record.incarnation = record.incarnation + 1;
    member.changed_version = ++version_;
    return true;
  }
  bool same_incarnation = record.incarnation == member.record.incarnation;
  bool claims_failure = record.state == MemberState::kSuspect ||
                        record.state == MemberState::kDead;
  if (!same_incarnation || !claims_failure ||
      record.epoch < member.record.epoch) {
    return false;
  }
  declared_dead_ = declared_dead_ || record.state == MemberState::kDead;
  member.record.epoch = record.epoch + 1;
  member.changed_version = ++version_;
  return true;
}

void Membership::RecordContact(const InstanceId& id, TimePoint now) {
  if (auto it = members_.find(id); it != members_.end()) {
    it->second.last_contact_at = now;
    it->second.probe_failed = false;
  }
}

void Membership::RecordProbeFailure(const InstanceId& id, TimePoint now) {
  auto it = members_.find(id);
  if (it == members_.end() || id == self_id_) {
    return;
  }
  Member& member = it->second;
  member.probe_failed = true;
  bool considered_alive = member.record.state == MemberState::kAlive ||
                          member.record.state == MemberState::kLeaving;
  if (considered_alive &&
      now - member.last_contact_at >= options_.suspect_after) {
    SetState(member, MemberState::kSuspect, now);
  }
}

std::vector<InstanceId> Membership::Tick(TimePoint now) {
  std::vector<InstanceId> changed;
  for (auto it = members_.begin(); it != members_.end();) {
    Member& member = it->second;
    Duration age = now - member.state_entered_at;
    if (member.record.state == MemberState::kSuspect &&
        age >= options_.dead_after) {
      SetState(member, MemberState::kDead, now);
      changed.push_back(it->first);
    }
    bool expired = member.record.state == MemberState::kDead &&
                   age >= options_.forget_after;
    it = expired ? members_.erase(it) : std::next(it);
  }
  return changed;
}

void Membership::Leave() {
  Member& member = members_.at(self_id_);
  member.record.state = MemberState::kLeaving;
  member.record.leaving = true;
  ++member.record.epoch;
  member.changed_version = ++version_;
}

void Membership::SetCallerAddress(const std::string& address) {
  Member& member = members_.at(self_id_);
  if (member.record.caller_address == address) {
    return;
  }
  member.record.caller_address = address;
  ++member.record.epoch;
  member.changed_version = ++version_;
}

std::vector<InstanceId> Membership::ProbeTargets() const {
  const ZoneId& own_zone = self().zone;
  std::map<ZoneId, std::vector<InstanceId>> zones;
  for (const auto& [id, member] : members_) {
    if (member.record.Usable()) {
      zones[member.record.zone].push_back(id);
    }
  }
  std::set<InstanceId> targets;
  // Hash ring of the own zone: the members ordered by hash. The successors of
  // this instance are probed.
  std::vector<InstanceId> ring = zones[own_zone];
  std::sort(ring.begin(), ring.end(),
            [](const InstanceId& left, const InstanceId& right) {
              return std::pair(StableHash(left), left) <
                     std::pair(StableHash(right), right);
            });
  size_t position = static_cast<size_t>(
      std::find(ring.begin(), ring.end(), self_id_) - ring.begin());
  size_t count =
      std::min(ring.size() - 1, static_cast<size_t>(options_.probe_fanout));
  for (size_t step = 1; step <= count; ++step) {
    targets.insert(ring[(position + step) % ring.size()]);
  }
  for (const auto& [zone, ids] : zones) {
    if (zone == own_zone) {
      continue;
    }
    // Rendezvous hashing picks the one member of the own zone that probes the
    // other zone, and the member that it probes.
    std::string key = own_zone + ">" + zone;
    if (RendezvousPick(key, ring) == self_id_) {
      targets.insert(RendezvousPick(key, ids));
    }
  }
  return {targets.begin(), targets.end()};
}

Membership::Changes Membership::ChangesSince(uint64_t version,
                                             size_t limit) const {
  std::vector<const Member*> changed;
  for (const auto& [id, member] : members_) {
    if (member.changed_version > version) {
      changed.push_back(&member);
    }
  }
  std::sort(changed.begin(), changed.end(),
            [](const Member* left, const Member* right) {
              return left->changed_version < right->changed_version;
            });
  Changes changes;
  changes.version = version_;
  for (const Member* member : changed) {
    if (changes.records.size() == limit) {
      changes.version = member->changed_version - 1;
      break;
    }
    changes.records.push_back(member->record);
  }
  return changes;
}

bool Membership::ConsumeDeclaredDead() {
  return std::exchange(declared_dead_, false);
}

void Membership::Update(Member& member,
                        const MemberRecord& record,
                        TimePoint now) {
  if (member.record.state != record.state ||
      member.record.incarnation != record.incarnation) {
    member.state_entered_at = now;
  }
  member.record = record;
  member.changed_version = ++version_;
}

void Membership::SetState(Member& member, MemberState state, TimePoint now) {
  member.record.state = state;
  member.state_entered_at = now;
  member.changed_version = ++version_;
}

}  // namespace mangoyoke
