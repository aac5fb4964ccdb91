// Keeps rows of servers and encodes their changes.

#include "gateway/control/server_row_history.h"

namespace mangoyoke {
namespace {

// Batches of changes kept for updates; an instance that lacks more gets all
// rows.
constexpr size_t kMaxRecentChanges = 64;

}  // namespace

void ServerRowHistory::Restart(const StoreVersion& version) {
  rows_.clear();
  recent_changes_.clear();
  changes_start_ = version;
}

void ServerRowHistory::Keep(const StoreRow& row, const RegistryChange& change) {
  if (change.server) {
    rows_[row.key] = *row.value;
  } else if (change.names_no_server) {
    rows_[row.key] = "";
  } else {
    rows_.erase(row.key);
  }
}

void ServerRowHistory::RecordChanges(const std::vector<StoreRow>& rows,
                                     const StoreVersion& version) {
  Changes changes{version, {}};
  for (const StoreRow& row : rows) {
    changes.ids.push_back(row.key);
  }
  recent_changes_.push_back(std::move(changes));
  if (recent_changes_.size() > kMaxRecentChanges) {
    changes_start_ = recent_changes_.front().version;
    recent_changes_.pop_front();
  }
}

void ServerRowHistory::WriteUpdate(const StoreVersion& version,
                                   const StoreVersion& known,
                                   bool accepts_changes,
                                   Json& update) const {
  update["g"] = version.number;
  if (accepts_changes && known.Known() && known >= changes_start_) {
    update["d"] = ChangesAfter(known);
  } else {
    update["s"] = rows_;
  }
}

Json ServerRowHistory::ChangesAfter(const StoreVersion& known) const {
  Json changed = Json::object();
  for (const Changes& changes : recent_changes_) {
    if (changes.version <= known) {
      continue;
    }
    for (const BackendId& id : changes.ids) {
      auto row = rows_.find(id);
      changed[id] = row == rows_.end() ? Json() : Json(row->second);
    }
  }
  return changed;
}

}  // namespace mangoyoke
