// Which instances read the store, and which follow a reader instead.
//
// Each call to the store costs, so only a few instances of each availability
// zone watch its tables: the readers. The others ("followers") send long polls
// to the readers of their zone. No instance is elected: each one derives the
// readers from its list of members, and whoever cannot get a confirmation from
// a reader reads the store itself.

#ifndef MANGOYOKE_GATEWAY_CORE_STORE_READER_ROLE_H_
#define MANGOYOKE_GATEWAY_CORE_STORE_READER_ROLE_H_

#include <optional>
#include <vector>

#include "mangoyoke/clock.h"
#include "mangoyoke/membership.h"

namespace mangoyoke {

// Readers in each availability zone. Followers ask them in turn, so that one
// reader that is cut off delays a change by one poll only.
inline constexpr size_t kReadersPerZone = 2;

// Returns the readers of `zone`, chosen by rendezvous hashing among its members
// that are alive and not leaving, at most kReadersPerZone.
std::vector<MemberRecord> ChooseStoreReaders(
    const ZoneId& zone,
    const std::vector<MemberRecord>& members);

// Limits of StoreReaderRole.
struct StoreReaderOptions {
  // A process waits this long after its start to hear of other instances before
  // it reads the store, so that a fleet that starts does not read it at once.
  Duration discovery_time = Millis(400);
  // A follower whose view was not confirmed for longer reads the store.
  Duration max_unconfirmed = Millis(1300);
  // An instance that need not read any more goes on for this long, so that
  // short changes of the members do not cause reads of whole tables.
  Duration linger = Seconds(2);

  bool operator==(const StoreReaderOptions&) const = default;
};

// Decides whether this instance reads the store.
class StoreReaderRole {
 public:
  StoreReaderRole(StoreReaderOptions options, TimePoint started)
      : options_(options), started_(started), confirmed_at_(started) {}

  // Sets whether this instance is one of its zone's readers, and whether the
  // zone has others.
  void SetReaders(bool is_reader, bool has_other_readers);
  // The view of this instance was current at `as_of`, according to a reader.
  void OnConfirmed(TimePoint as_of);

  // Whether this instance is to read the store now. To be called periodically.
  bool UpdateAndCheckReads(TimePoint now);
  bool is_reader() const { return is_reader_; }
  // Whether a reader confirmed the view recently.
  bool IsConfirmed(TimePoint now) const { return IsCurrentAge(Age(now)); }
  // Whether a view that the store confirmed that long ago is current.
  bool IsCurrentAge(Duration age) const {
    return age <= options_.max_unconfirmed;
  }
  // Time since the last confirmation, or since the start if there was none.
  Duration Age(TimePoint now) const { return now - confirmed_at_; }

 private:
  StoreReaderOptions options_;
  TimePoint started_;
  TimePoint confirmed_at_;
  bool is_reader_ = false;
  bool has_other_readers_ = false;
  std::optional<TimePoint> reads_until_;
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_STORE_READER_ROLE_H_
