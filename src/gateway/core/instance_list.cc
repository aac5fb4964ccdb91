// Orders the instances by their distance to the caller and takes the nearest.

#include "gateway/core/instance_list.h"

#include <algorithm>

namespace mangoyoke {
namespace {

using Addresses = std::vector<std::string>;

// Moves up to `count` addresses from the front of `source` to `list`.
void MoveFront(Addresses& source, size_t count, Addresses& list) {
  auto end =
      source.begin() + static_cast<ptrdiff_t>(std::min(count, source.size()));
  std::move(source.begin(), end, std::back_inserter(list));
  source.erase(source.begin(), end);
}

}  // namespace

std::vector<std::string> ChooseInstances(
    const std::vector<MemberRecord>& members,
    const CallerLocation& location,
    const InstanceListOptions& options,
    std::mt19937_64& random) {
  Addresses in_zone;
  Addresses in_region;
  Addresses elsewhere;
  for (const MemberRecord& member : members) {
    if (!member.AcceptsCallers()) {
      continue;
    }
    if (member.zone == location.zone) {
      in_zone.push_back(member.caller_address);
    } else if (member.region == location.region) {
      in_region.push_back(member.caller_address);
    } else {
      elsewhere.push_back(member.caller_address);
    }
  }
  for (Addresses* group : {&in_zone, &in_region, &elsewhere}) {
    std::shuffle(group->begin(), group->end(), random);
  }
  Addresses remote = std::move(in_region);
  std::move(elsewhere.begin(), elsewhere.end(), std::back_inserter(remote));

  size_t reserved = std::min(options.min_remote_instances, remote.size());
  Addresses list;
  MoveFront(in_zone, options.max_instances - reserved, list);
  size_t missing =
      options.min_instances - std::min(options.min_instances, list.size());
  // Without an instance in its zone, a caller may use all others.
  size_t remote_count =
      list.empty() ? options.max_instances : std::max(reserved, missing);
  MoveFront(remote, remote_count, list);
  return list;
}

}  // namespace mangoyoke
