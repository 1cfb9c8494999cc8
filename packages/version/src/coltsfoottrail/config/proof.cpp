#include "coltsfoottrail/config/proof.hpp"

#include <algorithm>

namespace coltsfoottrail {

void FreshnessProof::learn(Offset End, TimePoint AsOf) {
  if (End <= Own) {
    Proved = Proved ? std::max(*Proved, AsOf) : AsOf;
    return;
  }
  // The one that is kept needs the fewest records: with a newer one at each
  // read of a busy log, none would ever be reached.
  if (!Pending || End <= Pending->End)
    Pending = Proof{End, AsOf};
  hear(End, AsOf);
}

void FreshnessProof::hear(Offset Next, TimePoint At) {
  Highest = std::max(Highest, Next);
  if (Highest > Own && !Behind)
    Behind = At;
}

void FreshnessProof::reach(Offset Next) {
  Own = std::max(Own, Next);
  if (Own >= Highest)
    Behind.reset();
  if (Pending && Pending->End <= Own) {
    Proved = Proved ? std::max(*Proved, Pending->AsOf) : Pending->AsOf;
    Pending.reset();
  }
}

std::optional<TimePoint> FreshnessProof::asOf() const {
  if (!Proved)
    return std::nullopt;
  return Behind ? std::min(*Proved, *Behind) : *Proved;
}

} // namespace coltsfoottrail
