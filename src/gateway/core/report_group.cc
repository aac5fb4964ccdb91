// Assigns instances to cells by availability zone and hash.

#include "gateway/core/report_group.h"

#include <algorithm>
#include <bit>

#include "mangoyoke/rendezvous.h"

namespace mangoyoke {
namespace {

constexpr char kSingleCell[] = "all";

// The number of cells for `instances` instances of one zone.
size_t CellCount(size_t instances) {
  return std::bit_ceil((instances + kMaxCellInstances - 1) / kMaxCellInstances);
}

}  // namespace

ReportGroup ChooseReportGroup(const MemberRecord& self,
                              const std::vector<MemberRecord>& members) {
  std::vector<MemberRecord> peers;
  size_t zone_instances = 1;
  for (const MemberRecord& member : members) {
    if (member.id != self.id && member.Usable()) {
      peers.push_back(member);
      zone_instances += member.zone == self.zone ? 1 : 0;
    }
  }
  ReportGroup group;
  if (peers.size() < kMaxCellInstances) {
    group.cell = kSingleCell;
    group.cell_peers = std::move(peers);
    return group;
  }
  size_t cells = CellCount(zone_instances);
  size_t own_cell = StableHash(self.id) % cells;
  group.cell =
      self.zone + "/" + std::to_string(cells) + "/" + std::to_string(own_cell);
  for (MemberRecord& peer : peers) {
    if (peer.zone != self.zone) {
      group.remote_peers.push_back(std::move(peer));
    } else if (StableHash(peer.id) % cells == own_cell) {
      group.cell_peers.push_back(std::move(peer));
    } else {
      group.zone_peers.push_back(std::move(peer));
    }
  }
  return group;
}

}  // namespace mangoyoke
