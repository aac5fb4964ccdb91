// Choice of the instances that a caller is told to use.

#ifndef MANGOYOKE_GATEWAY_CORE_INSTANCE_LIST_H_
#define MANGOYOKE_GATEWAY_CORE_INSTANCE_LIST_H_

#include <random>
#include <string>
#include <vector>

#include "mangoyoke/membership.h"

namespace mangoyoke {

// Where a caller is, as far as it says; empty if unknown.
struct CallerLocation {
  std::string region;
  ZoneId zone;

  bool operator==(const CallerLocation&) const = default;
};

// Sizes of an instance list.
struct InstanceListOptions {
  size_t max_instances = 64;
  // Instances of other zones in every list, if there are any. They serve the
  // caller while all instances of its own zone are down.
  size_t min_remote_instances = 1;
  // A list that the caller's zone cannot fill up to this size is filled with
  // instances of other zones.
  size_t min_instances = 4;

  bool operator==(const InstanceListOptions&) const = default;
};

// Returns the caller addresses of the instances that the caller at `location`
// is to use: those of its own zone, then a few of other zones, of its region
// first. Only instances that accept callers are listed. Where more instances
// qualify than fit, each call makes another random choice, so that the callers
// together use all of them.
std::vector<std::string> ChooseInstances(
    const std::vector<MemberRecord>& members,
    const CallerLocation& location,
    const InstanceListOptions& options,
    std::mt19937_64& random);

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_INSTANCE_LIST_H_
