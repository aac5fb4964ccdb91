// Division of a plan's servers into cells and ranking of their allocators.

#include "mangoyoke/cell_map.h"

#include "mangoyoke/rendezvous.h"

namespace mangoyoke {
namespace {

// Model servers of one region and model, by role. Each role is distributed over
// the cells separately, so that every cell gets a similar mix.
struct Pool {
  std::vector<BackendId> prefill;
  std::vector<BackendId> decode;
};

// Adds `backend_ids` to the cells `cell_ids` round robin.
void DistributeEvenly(const std::vector<BackendId>& backend_ids,
                      const std::vector<CellId>& cell_ids,
                      std::map<CellId, Cell>& cells) {
  for (size_t i = 0; i < backend_ids.size(); ++i) {
    cells[cell_ids[i % cell_ids.size()]].backends.push_back(backend_ids[i]);
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
    std::vector<CellId> cell_ids;
    for (size_t shard = 0; shard < shards; ++shard) {
      CellId id = region + "/" + model + "/" + std::to_string(shard);
      cells[id] = Cell{id, region, model, {}};
      cell_ids.push_back(id);
    }
    DistributeEvenly(pool.prefill, cell_ids, cells);
    DistributeEvenly(pool.decode, cell_ids, cells);
  }
  return cells;
}

std::vector<InstanceId> RankAllocators(
    const Cell& cell,
    const std::vector<MemberRecord>& members) {
  std::vector<InstanceId> regional;
  std::vector<InstanceId> all_regions;
  std::vector<InstanceId> last_resort;
  for (const MemberRecord& member : members) {
    if (!member.Usable()) {
      continue;
    }
    last_resort.push_back(member.id);
    if (member.leaving || member.state == MemberState::kSuspect) {
      continue;
    }
    all_regions.push_back(member.id);
    if (member.region == cell.region) {
      regional.push_back(member.id);
    }
  }
  if (!regional.empty()) {
    return RendezvousOrder(cell.id, std::move(regional));
  }
  if (!all_regions.empty()) {
    return RendezvousOrder(cell.id, std::move(all_regions));
  }
  return RendezvousOrder(cell.id, std::move(last_resort));
}

}  // namespace mangoyoke
