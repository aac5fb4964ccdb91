// Patience of a route's callers as a maximum that fades.

#include "gateway/core/caller_patience.h"

namespace mangoyoke {
namespace {

// Part of the difference by which a shorter wait lowers the patience. Repeats
// must not hide first tries, and one odd caller must be forgotten.
constexpr double kFadeShare = 1.0 / 64;
// Callers' patience at a first try differs by less than this part.
constexpr double kSpreadShare = 0.17;

}  // namespace

Duration CallerPatience::NoteWait(const std::string& route, Duration wait) {
  auto [entry, first] = patience_.try_emplace(route, wait);
  Duration& patience = entry->second;
  if (wait >= patience) {
    patience = wait;
    return Duration::zero();
  }
  Duration spent = patience - wait;
  patience -= FromMillis(kFadeShare * ToMillis(spent));
  bool repeat = ToMillis(spent) > kSpreadShare * ToMillis(patience);
  return repeat ? spent : Duration::zero();
}

}  // namespace mangoyoke
