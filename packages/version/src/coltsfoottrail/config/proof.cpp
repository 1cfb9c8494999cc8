#include "coltsfoottrail/config/proof.hpp"

#include <algorithm>

namespace coltsfoottrail {

void FreshnessProof::addProof(Offset End, TimePoint AsOf) {
  if (End <= OwnNext) {
    ProvedAsOf = ProvedAsOf ? std::max(*ProvedAsOf, AsOf) : AsOf;
    return;
  }
  // Keeps the proof that needs the fewest records. If each read of a busy log
  // replaced it with a newer one, none would ever become valid.
  if (!Pending || End <= Pending->End)
    Pending = Proof{End, AsOf};
  noteNext(End, AsOf);
}

void FreshnessProof::noteNext(Offset Next, TimePoint HeardAt) {
  HighestNext = std::max(HighestNext, Next);
  if (HighestNext > OwnNext && !BehindStart)
    BehindStart = HeardAt;
}

void FreshnessProof::setOwnNext(Offset Next) {
  OwnNext = std::max(OwnNext, Next);
  if (OwnNext >= HighestNext)
    BehindStart.reset();
  if (Pending && Pending->End <= OwnNext) {
    ProvedAsOf =
        ProvedAsOf ? std::max(*ProvedAsOf, Pending->AsOf) : Pending->AsOf;
    Pending.reset();
  }
}

std::optional<TimePoint> FreshnessProof::asOf() const {
  if (!ProvedAsOf)
    return std::nullopt;
  return BehindStart ? std::min(*ProvedAsOf, *BehindStart) : *ProvedAsOf;
}

} // namespace coltsfoottrail
