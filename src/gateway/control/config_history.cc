// Keeps configurations and encodes differences.

#include "gateway/control/config_history.h"

#include <algorithm>

#include "base/text_delta.h"
#include "mangoyoke/rendezvous.h"

namespace mangoyoke {
namespace {

// What is kept beside the newest configuration. An instance that misses more
// revisions gets the whole one.
constexpr size_t kMaxEntries = 8;
constexpr size_t kMaxBytes = 2 << 20;
// A configuration that a difference makes may not be longer.
constexpr size_t kMaxConfigBytes = 16 << 20;

Json EncodeDelta(const TextDelta& delta) {
  Json parts = Json::array();
  for (const auto& part : delta) {
    if (const auto* range = std::get_if<TextRange>(&part)) {
      parts.push_back(Json::array({range->begin, range->size}));
    } else {
      parts.push_back(std::get<std::string>(part));
    }
  }
  return parts;
}

TextDelta DecodeDelta(const Json& parts) {
  TextDelta delta;
  for (const Json& part : parts) {
    if (part.is_string()) {
      delta.emplace_back(part.get<std::string>());
    } else {
      delta.emplace_back(
          TextRange{part.at(0).get<size_t>(), part.at(1).get<size_t>()});
    }
  }
  return delta;
}

}  // namespace

void ConfigHistory::Add(Revision revision, const StoreRow& row) {
  entries_.push_back(Entry{revision, row});
  size_t bytes = 0;
  for (const Entry& entry : entries_) {
    bytes += entry.row.value->size();
  }
  while (entries_.size() > 1 &&
         (entries_.size() > kMaxEntries || bytes > kMaxBytes)) {
    bytes -= entries_.front().row.value->size();
    entries_.pop_front();
  }
}

const ConfigHistory::Entry* ConfigHistory::Find(Revision revision) const {
  auto found = std::find_if(
      entries_.begin(), entries_.end(),
      [revision](const Entry& entry) { return entry.revision == revision; });
  return found == entries_.end() ? nullptr : &*found;
}

void ConfigHistory::WriteUpdate(Revision known,
                                bool accepts_difference,
                                Json& update) const {
  const StoreRow& row = entries_.back().row;
  update["k"] = row.key;
  const Entry* base = accepts_difference ? Find(known) : nullptr;
  if (base == nullptr) {
    update["c"] = *row.value;
    return;
  }
  update["b"] = known;
  update["x"] = EncodeDelta(MakeTextDelta(*base->row.value, *row.value));
  update["h"] = StableHash(*row.value);
}

Result<StoreRow> ConfigHistory::ReadUpdate(const Json& update) const {
  const Json& key = update.at("k");
  // A row that cannot be read has no text as its key or value.
  StoreRow row{key.is_string() ? key.get<std::string>() : "", ""};
  if (!update.contains("x")) {
    const Json& value = update.at("c");
    row.value = value.is_string() ? value.get<std::string>() : "";
    return row;
  }
  auto base_revision = update.at("b").get<Revision>();
  const Entry* base = Find(base_revision);
  if (base != nullptr) {
    row.value = ApplyTextDelta(*base->row.value, DecodeDelta(update.at("x")),
                               kMaxConfigBytes);
  }
  if (base == nullptr || !row.value ||
      StableHash(*row.value) != update.at("h").get<uint64_t>()) {
    return Error{ErrorCode::kPeerMalformed, "a difference to revision " +
                                                std::to_string(base_revision) +
                                                " does not fit"};
  }
  return row;
}

}  // namespace mangoyoke
