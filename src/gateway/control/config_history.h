// The last configurations as the store holds them, and what has changed between
// them. A configuration has hundreds of routes of which a change touches a few,
// and instances have slow links, so an instance that has an earlier one gets
// the difference only.
//
// The part of an update (serving_state.cc) about the configuration has the
// fields "k" (key of the row) and either "c" (its value) or "b" (revision of
// the base), "x" (the difference: pairs [begin, size] of ranges of the base,
// and texts) and "h" (hash of the value).

#ifndef MANGOYOKE_GATEWAY_CONTROL_CONFIG_HISTORY_H_
#define MANGOYOKE_GATEWAY_CONTROL_CONFIG_HISTORY_H_

#include <deque>

#include "gateway/core/codecs.h"
#include "mangoyoke/plan.h"
#include "peer/peer_transport.h"

namespace mangoyoke {

// Keeps the newest configuration and a few before it, within a limit of bytes.
// Not thread-safe.
class ConfigHistory {
 public:
  // Adds the row of a configuration that is newer than all others. Requires a
  // value.
  void Add(Revision revision, const StoreRow& row);
  // Writes the newest configuration into `update`, for an instance that has
  // revision `known`. Requires a configuration.
  void WriteUpdate(Revision known, bool accepts_difference, Json& update) const;
  // Returns the row that `update` contains. Fails with kPeerMalformed if it
  // cannot be made out of what is kept here. Throws nlohmann::json::exception
  // if `update` is malformed.
  Result<StoreRow> ReadUpdate(const Json& update) const;

 private:
  struct Entry {
    Revision revision = 0;
    StoreRow row;  // Has a value.
  };

  // Null if it is not kept.
  const Entry* Find(Revision revision) const;

  std::deque<Entry> entries_;  // By revision, the newest last.
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CONTROL_CONFIG_HISTORY_H_
