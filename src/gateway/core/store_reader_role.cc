// Choice of the readers and the fallback of followers.

#include "gateway/core/store_reader_role.h"

#include <algorithm>
#include <map>

#include "mangoyoke/rendezvous.h"

namespace mangoyoke {

std::vector<MemberRecord> ChooseStoreReaders(
    const ZoneId& zone,
    const std::vector<MemberRecord>& members) {
  std::map<InstanceId, const MemberRecord*> candidates;
  std::vector<InstanceId> ids;
  for (const MemberRecord& member : members) {
    if (member.zone == zone && member.state == MemberState::kAlive &&
        !member.leaving) {
      candidates[member.id] = &member;
      ids.push_back(member.id);
    }
  }
  std::vector<MemberRecord> readers;
  for (const InstanceId& id : RendezvousOrder("store/" + zone, ids)) {
    if (readers.size() == kReadersPerZone) {
      break;
    }
    readers.push_back(*candidates[id]);
  }
  return readers;
}

void StoreReaderRole::SetReaders(bool is_reader, bool has_other_readers) {
  is_reader_ = is_reader;
  has_other_readers_ = has_other_readers;
}

void StoreReaderRole::OnConfirmed(TimePoint as_of) {
  confirmed_at_ = std::max(confirmed_at_, as_of);
}

bool StoreReaderRole::UpdateAndCheckReads(TimePoint now) {
  bool alone = !has_other_readers_;
  if (alone && now - started_ < options_.discovery_time) {
    return false;
  }
  if (is_reader_ || alone || !IsConfirmed(now)) {
    reads_until_ = now + options_.linger;
  }
  return reads_until_ && now < *reads_until_;
}

}  // namespace mangoyoke
