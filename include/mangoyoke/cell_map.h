// Divides model servers into cells and assigns each cell to one instance, which
// allocates its servers' slots (see slot_allocator.h).
//
// A cell holds backend servers of one model and region. A small pool is one
// cell, so that a single queue with a single view of the load decides. A large
// pool is split, so that the work of one instance is bounded. Rendezvous
// hashing assigns the cells: when an instance joins or stops, only the cells
// that it gains or loses move.

#ifndef MANGOYOKE_CELL_MAP_H_
#define MANGOYOKE_CELL_MAP_H_

#include <map>
#include <string>
#include <vector>

#include "mangoyoke/membership.h"
#include "mangoyoke/plan.h"

namespace mangoyoke {

using CellId = std::string;  // "<region>/<model>/<shard>".

// A group of backend servers whose slots one instance allocates.
struct Cell {
  CellId id;
  std::string region;
  ModelId model;
  std::vector<BackendId> backends;

  bool operator==(const Cell&) const = default;
};

// Target for the number of servers in a cell. It can be exceeded by one, since
// each role is rounded up separately.
inline constexpr size_t kMaxCellBackends = 32;

// Returns the cells of a plan, without its plain services. The servers of each
// role are spread evenly over the shards of their region and model, round robin
// in id order. Zones whose servers are adjacent in that order are spread, too.
std::map<CellId, Cell> BuildCells(const Plan& plan);

// Returns the instances that may allocate `cell`, in order of preference: those
// of the cell's region, or of all regions if it has none. Leaving and suspect
// instances are returned only if there are no others, dead ones never.
std::vector<InstanceId> RankAllocators(
    const Cell& cell,
    const std::vector<MemberRecord>& members);

}  // namespace mangoyoke

#endif  // MANGOYOKE_CELL_MAP_H_
