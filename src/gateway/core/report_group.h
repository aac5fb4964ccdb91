// Choice of the instances that exchange load reports.
//
// Reports from every instance to every other one cost the square of their
// number, so a large deployment is divided into cells: the instances of one
// availability zone, or a part of them. Within a cell each instance reports its
// load to all others; to other cells it sends sums, less often.

#ifndef MANGOYOKE_GATEWAY_CORE_REPORT_GROUP_H_
#define MANGOYOKE_GATEWAY_CORE_REPORT_GROUP_H_

#include <string>
#include <vector>

#include "mangoyoke/membership.h"

namespace mangoyoke {

// Instances up to this number form one cell.
inline constexpr size_t kMaxCellInstances = 24;

// The peers of one instance by how load is reported to them.
struct ReportGroup {
  std::string cell;                        // Name of the own cell.
  std::vector<MemberRecord> cell_peers;    // The other instances of the cell.
  std::vector<MemberRecord> zone_peers;    // Of other cells of the own zone.
  std::vector<MemberRecord> remote_peers;  // Of other zones' cells.

  bool operator==(const ReportGroup&) const = default;

  // Number of instances, this one included.
  size_t instance_count() const {
    return 1 + cell_peers.size() + zone_peers.size() + remote_peers.size();
  }
};

// Divides the members that are not dead. Instances with the same list of
// members agree on the cells. The number of cells of a zone is a power of two,
// chosen by hash: when the zone grows or shrinks, cells are split or joined as
// a whole.
ReportGroup ChooseReportGroup(const MemberRecord& self,
                              const std::vector<MemberRecord>& members);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_REPORT_GROUP_H_
