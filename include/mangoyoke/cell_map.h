// Divides engines into allocation cells and assigns each cell to an instance.
//
// A cell holds engines of one model and region. Small pools are one cell, so
// that one queue and one view decide; large pools are split, so that the work
// of one instance is bounded. Rendezvous hashing assigns cells, so a change
// of members moves only the cells it must.

#ifndef MANGOYOKE_CELL_MAP_H_
#define MANGOYOKE_CELL_MAP_H_

#include <map>
#include <string>
#include <vector>

#include "mangoyoke/membership.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

using CellId = std::string;  // "<region>/<model>/<shard>".

struct Cell {
  CellId id;
  std::string region;
  ModelId model;
  std::vector<BackendId> backends;

  bool operator==(const Cell&) const = default;
};

// Largest number of engines in a cell.
inline constexpr size_t kMaxCellBackends = 32;

// The cells of a plan. Servers of both roles and all zones are spread evenly
// over the shards.
std::map<CellId, Cell> BuildCells(const Plan& plan);

// Instances that may allocate `cell`, first choice first. Instances of the
// cell's region if it has any, else all; leaving ones only as a last resort.
std::vector<InstanceId> RankAllocators(
    const Cell& cell,
    const std::vector<MemberRecord>& members);

}  // namespace mangoyoke

#endif  // MANGOYOKE_CELL_MAP_H_
