// Building and assigning cells.

#include "mangoyoke/cell_map.h"

#include "mangoyoke/rendezvous.h"

namespace mangoyoke {
namespace {

// Engines of one region and model, split by role for an even spread.
struct Pool {
  std::vector<BackendId> prefill;
  std::vector<BackendId> decode;
};

void Deal(const std::vector<BackendId>& ids,
          const std::vector<CellId>& cells,
          std::map<CellId, Cell>& into) {
  for (size_t i = 0; i < ids.size(); ++i) {
    into[cells[i % cells.size()]].backends.push_back(ids[i]);
  }
}

}  // namespace

std::map<CellId, Cell> BuildCells(const Plan& plan) {
  std::map<std::pair<std::string, ModelId>, Pool> pools;
  for (const auto& [id, backend] : plan.backends) {
    if (backend.role == BackendRole::kService) {
      continue;
    }
    Pool& pool = pools[{backend.region, backend.model}];
    (backend.role == BackendRole::kPrefill ? pool.prefill : pool.decode)
        .push_back(id);
  }
  std::map<CellId, Cell> cells;
  for (const auto& [key, pool] : pools) {
    const auto& [region, model] = key;
    size_t count = pool.prefill.size() + pool.decode.size();
    size_t shards = (count + kMaxCellBackends - 1) / kMaxCellBackends;
    std::vector<CellId> ids;
    for (size_t shard = 0; shard < shards; ++shard) {
      CellId id = region + "/" + model + "/" + std::to_string(shard);
      cells[id] = Cell{id, region, model, {}};
      ids.push_back(id);
    }
    Deal(pool.prefill, ids, cells);
    Deal(pool.decode, ids, cells);
  }
  return cells;
}

std::vector<InstanceId> RankAllocators(
    const Cell& cell,
    const std::vector<MemberRecord>& members) {
  std::vector<InstanceId> regional;
  std::vector<InstanceId> anywhere;
  std::vector<InstanceId> last_resort;
  for (const MemberRecord& member : members) {
    if (!member.Usable()) {
      continue;
    }
    last_resort.push_back(member.id);
    if (member.leaving || member.state == MemberState::kSuspect) {
      continue;
    }
    anywhere.push_back(member.id);
    if (member.region == cell.region) {
      regional.push_back(member.id);
    }
  }
  if (!regional.empty()) {
    return RendezvousOrder(cell.id, std::move(regional));
  }
  if (!anywhere.empty()) {
    return RendezvousOrder(cell.id, std::move(anywhere));
  }
  return RendezvousOrder(cell.id, std::move(last_resort));
}

}  // namespace mangoyoke
