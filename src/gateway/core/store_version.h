// Versions of the store. All comparisons of versions are those of StoreVersion.

#ifndef MANGOYOKE_GATEWAY_CORE_STORE_VERSION_H_
#define MANGOYOKE_GATEWAY_CORE_STORE_VERSION_H_

#include <compare>
#include <cstdint>

namespace mangoyoke {

// Rises each time the store comes back from an older copy of itself. 0: the
// store states none.
using StoreEra = uint64_t;

// A version of the store. Numbers are given out again in a later era, so that
// they are compared within one era only.
struct StoreVersion {
  StoreEra era = 0;
  uint64_t number = 0;  // 0: no version. Rises with each change in the era.

  bool operator==(const StoreVersion&) const = default;
  std::strong_ordering operator<=>(const StoreVersion& other) const {
    auto eras = era <=> other.era;
    return eras != std::strong_ordering::equal ? eras : number <=> other.number;
  }

  // Whether there is a version at all.
  bool Known() const { return number > 0; }
};

}  // namespace mangoyoke

#endif  // MANGOYOKE_GATEWAY_CORE_STORE_VERSION_H_
